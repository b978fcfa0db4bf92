#pragma once

#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <functional>
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
class EventLoop
{
public:
  using Task = std::function<void()>;
  using TimerId = std::uint64_t;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Runs until Stop(). */
  void Run();
  void Stop();

  /** Queues a task; tasks run in the order in which they were posted. */
  void Post(Task aTask);

  /** Runs a task once, after a delay. */
  TimerId RunAfter(Milliseconds aDelay, Task aTask);

  /** Runs a task at a fixed interval, first after one interval. */
  TimerId RunEvery(Milliseconds aInterval, Task aTask);

  /** Forgets a timer; does nothing for one that already ran or was cancelled. */
  void Cancel(TimerId aTimer);

  /** Calls back whenever a descriptor is readable, for the life of the loop. */
  void WatchReadable(int aDescriptor, Task aTask);

  event_base* Base() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::runtime
