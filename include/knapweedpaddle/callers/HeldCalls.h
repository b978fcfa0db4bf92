#pragma once

#include "knapweedpaddle/runtime/Scheduler.h"

#include <map>

namespace knapweedpaddle::callers {

/**
 * Holds calls that can't go anywhere yet: the node has no configuration, or
 * knows no server of their service. Each goes on with the next routing view,
 * or is given up after its time.
 *
 * Thread safety: one thread.
 */
class HeldCalls
{
public:
  using Task = std::function<void()>;
  using HoldId = std::uint64_t;

  explicit HeldCalls(runtime::Scheduler& aScheduler)
    : mScheduler(aScheduler)
  {
  }

  ~HeldCalls();
  HeldCalls(const HeldCalls&) = delete;
  HeldCalls& operator=(const HeldCalls&) = delete;

  /**
   * Holds a call; one of the two tasks runs later, once.
   *
   * @return 0 when too many are held; neither task runs then.
   */
  HoldId Hold(Milliseconds aMaxWait, Task aResume, Task aReject);

  /** Forgets a call whose caller left. */
  void Remove(HoldId aId);

  /** Lets all go on; those that can't may be held anew. */
  void ResumeAll();

  /** Gives all up. */
  void RejectAll();

private:
  struct Entry
  {
    Task resume;
    Task reject;
    runtime::Scheduler::TimerId timer = 0;
  };

  std::map<HoldId, Entry> TakeAll();

  runtime::Scheduler& mScheduler;
  HoldId mLastId = 0;
  std::map<HoldId, Entry> mEntries;
};

} // namespace knapweedpaddle::callers
