#pragma once

#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <functional>

namespace knapweedpaddle::runtime {

/**
 * Clock and timers of one thread, so that decisions can run on a simulated
 * clock as well as on an event loop. Thread safety: one thread.
 */
class Scheduler
{
public:
  using Task = std::function<void()>;
  using TimerId = std::uint64_t;

  virtual ~Scheduler() = default;

  virtual Timestamp Now() const = 0;

  /** Milliseconds since the epoch. */
  virtual WallMilliseconds WallTime() const = 0;

  /** Runs a task once, after a delay. */
  virtual TimerId RunAfter(Milliseconds aDelay, Task aTask) = 0;

  /** Forgets a timer; does nothing for one that already ran or was cancelled.
   */
  virtual void Cancel(TimerId aTimer) = 0;
};

} // namespace knapweedpaddle::runtime
