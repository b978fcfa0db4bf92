#pragma once

#include "knapweedpaddle/runtime/Scheduler.h"

#include <memory>

struct event_base;

/** Threads' event loops and the HTTP client that runs on them. */
namespace knapweedpaddle::runtime {

/**
 * One thread's event loop: posted tasks, timers and file descriptors.
 *
 * Thread safety: Post() and Stop() may be called from any thread, everything
 * else from the thread inside Run(), or from any thread before Run() starts.
 */
class EventLoop : public Scheduler
{
public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Runs until Stop(). */
  void Run();
  void Stop();

  /** Queues a task; tasks run in the order in which they were posted. */
  void Post(Task aTask);

  Timestamp Now() const override { return std::chrono::steady_clock::now(); }
  WallMilliseconds WallTime() const override { return WallNow(); }
  TimerId RunAfter(Milliseconds aDelay, Task aTask) override;

  /** Runs a task at a fixed interval, first after one interval. */
  TimerId RunEvery(Milliseconds aInterval, Task aTask);

  /** Forgets a timer; does nothing for one that already ran or was cancelled.
   */
  void Cancel(TimerId aTimer) override;

  /** Calls back whenever a descriptor is readable, for the life of the loop. */
  void WatchReadable(int aDescriptor, Task aTask);

  event_base* Base() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::runtime
