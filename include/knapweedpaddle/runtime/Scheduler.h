#pragma once

#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <functional>

namespace knapweedpaddle::runtime {

/**
 * Clock and timers of one thread. Code that uses this interface runs on an
 * event loop as well as on a simulated clock in tests.
 *
 * Thread safety: one thread.
 */
class Scheduler
{
public:
  using Task = std::function<void()>;
  using TimerId = std::uint64_t;

  virtual ~Scheduler() = default;

  /** Returns the current monotonic time. */
  virtual Timestamp Now() const = 0;

  /** Returns the current wall clock time. */
  virtual WallMilliseconds WallTime() const = 0;

  /** Returns the time since the VM was started, including the time during which
   * it was suspended. */
  virtual Microseconds BootTime() const = 0;

  /** Schedules a task to run once after a delay. */
  virtual TimerId RunAfter(Milliseconds aDelay, Task aTask) = 0;

  /** Cancels a timer; no effect if it has already run or was cancelled. */
  virtual void Cancel(TimerId aTimer) = 0;
};

} // namespace knapweedpaddle::runtime
