#pragma once

#include "knapweedpaddle/runtime/Scheduler.h"

#include <memory>

struct event_base;

/** Event loop, timers and an HTTP client that runs on an event loop. */
namespace knapweedpaddle::runtime {

/**
 * The event loop of one thread: posted tasks, timers and file descriptors.
 *
 * Thread safety: Post() and Stop() may be called from any thread; all other
 * methods only from the thread inside Run(), or from any thread before Run()
 * starts.
 */
class EventLoop : public Scheduler
{
public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Processes events on the calling thread until Stop() is called. */
  void Run();

  /** Makes Run() return after the callback that is running. */
  void Stop();

  /** Returns an upper bound of the time that input which is handled now waited
   * until this loop read it: the current turn of the loop and the one before.
   */
  Milliseconds MaxInputLag() const;

  /** Queues a task for the loop's thread; tasks run in the order of posting. */
  void Post(Task aTask);

  Timestamp Now() const override { return std::chrono::steady_clock::now(); }
  WallMilliseconds WallTime() const override { return WallNow(); }
  Microseconds BootTime() const override { return knapweedpaddle::BootTime(); }
  TimerId RunAfter(Milliseconds aDelay, Task aTask) override;

  /** Runs a task repeatedly; the first run is after one interval. */
  TimerId RunEvery(Milliseconds aInterval, Task aTask);

  /** Cancels a timer; no effect if it has already run or was cancelled. */
  void Cancel(TimerId aTimer) override;

  /** Runs a task whenever a descriptor is readable, until the loop is
   * destroyed. */
  void WatchReadable(int aDescriptor, Task aTask);

  /** Returns the underlying libevent loop. */
  event_base* Base() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::runtime
