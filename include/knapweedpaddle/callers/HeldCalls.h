#pragma once

#include "knapweedpaddle/runtime/Scheduler.h"

#include <map>

namespace knapweedpaddle::callers {

/**
 * Holds calls that can't be forwarded yet because the node has no
 * configuration, or knows no backend server of their service. Each call resumes
 * with the next routing view, or is rejected when its maximum wait has passed.
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
   * Holds a call; later one of the two tasks runs once.
   *
   * @return 0 when too many calls are held; neither task runs then.
   */
  HoldId Hold(Milliseconds aMaxWait, Task aResume, Task aReject);

  /** Removes a held call; neither of its tasks runs. */
  void Remove(HoldId aId);

  /** Resumes all held calls; their tasks may hold them again. */
  void ResumeAll();

  /** Rejects all held calls. */
  void RejectAll();

private:
  struct Entry
  {
    Task resume;
    Task reject;
    runtime::Scheduler::TimerId timer = 0;
  };

  /** Removes and returns all entries, with their timers cancelled. */
  std::map<HoldId, Entry> TakeAll();

  runtime::Scheduler& mScheduler;
  HoldId mLastId = 0;
  std::map<HoldId, Entry> mEntries;
};

} // namespace knapweedpaddle::callers
