#include "knapweedpaddle/runtime/EventLoop.h"

#include <array>
#include <atomic>
#include <event2/event.h>
#include <event2/thread.h>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace knapweedpaddle::runtime {

namespace {

timeval
ToTimeval(Milliseconds aDelay)
{
  const auto milliseconds = std::max<std::int64_t>(aDelay.count(), 0);
  return timeval{ static_cast<time_t>(milliseconds / 1000),
                  static_cast<suseconds_t>((milliseconds % 1000) * 1000) };
}

struct EventDeleter
{
  void operator()(event* aEvent) const { event_free(aEvent); }
};

using EventPtr = std::unique_ptr<event, EventDeleter>;

/** Makes libevent thread-safe, once per process. */
void
EnableThreadSupport()
{
  static const int kResult = evthread_use_pthreads();
  static_cast<void>(kResult);
}

} // namespace

class EventLoop::Impl
{
public:
  struct Timer
  {
    Impl* owner;
    TimerId id;
    bool repeats;
    Task task;
    EventPtr event;
  };

  struct Watch
  {
    Task task;
    EventPtr event;
  };

  Impl()
  {
    EnableThreadSupport();
    mBase = event_base_new();
    mWakeEvent.reset(event_new(mBase, -1, EV_PERSIST, &Impl::OnWake, this));
  }

  ~Impl()
  {
    // Tasks may own sockets, which must be destroyed before the event base.
    mTasks.clear();
    mTimers.clear();
    mWatches.clear();
    mWakeEvent.reset();
    event_base_free(mBase);
  }

  void Run()
  {
    mStopped = false;
    while (!mStopped) {
      mTurnBegins = { mTurnBegins[1], std::chrono::steady_clock::now() };
      event_base_loop(mBase, EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
    }
  }

  void Stop()
  {
    mStopped = true;
    Post([] {}); // A break between two turns would have no effect.
    event_base_loopbreak(mBase);
  }

  Milliseconds MaxInputLag() const
  {
    return std::chrono::ceil<Milliseconds>(std::chrono::steady_clock::now() -
                                           mTurnBegins[0]);
  }

  void Post(Task aTask)
  {
    bool wasEmpty = false;
    {
      const std::scoped_lock lock(mMutex);
      wasEmpty = mTasks.empty();
      mTasks.push_back(std::move(aTask));
    }
    if (wasEmpty) {
      event_active(mWakeEvent.get(), EV_READ, 0);
    }
  }

  TimerId AddTimer(Milliseconds aDelay, bool aRepeats, Task aTask)
  {
    const TimerId id = ++mLastTimer;
    auto timer = std::make_unique<Timer>(
      Timer{ this, id, aRepeats, std::move(aTask), nullptr });
    const short flags = aRepeats ? EV_PERSIST : 0;
    timer->event.reset(
      event_new(mBase, -1, flags, &Impl::OnTimer, timer.get()));
    const timeval delay = ToTimeval(aDelay);
    event_add(timer->event.get(), &delay);
    mTimers.emplace(id, std::move(timer));
    return id;
  }

  void Cancel(TimerId aTimer) { mTimers.erase(aTimer); }

  void Watch(int aDescriptor, Task aTask)
  {
    auto watch = std::make_unique<struct Watch>();
    watch->task = std::move(aTask);
    watch->event.reset(event_new(mBase,
                                 aDescriptor,
                                 EV_READ | EV_PERSIST,
                                 &Impl::OnReadable,
                                 watch.get()));
    event_add(watch->event.get(), nullptr);
    mWatches.push_back(std::move(watch));
  }

  event_base* mBase = nullptr;

private:
  static void OnWake(evutil_socket_t, short, void* aSelf)
  {
    auto* self = static_cast<Impl*>(aSelf);
    std::vector<Task> tasks;
    {
      const std::scoped_lock lock(self->mMutex);
      tasks.swap(self->mTasks);
    }
    for (auto& it : tasks) {
      it();
    }
  }

  static void OnTimer(evutil_socket_t, short, void* aTimer)
  {
    auto* timer = static_cast<Timer*>(aTimer);
    if (timer->repeats) {
      // The task is copied, because it may cancel its own timer.
      const Task task = timer->task;
      task();
      return;
    }
    const Task task = std::move(timer->task);
    timer->owner->Cancel(timer->id);
    task();
  }

  static void OnReadable(evutil_socket_t, short, void* aWatch)
  {
    static_cast<struct Watch*>(aWatch)->task();
  }

  std::atomic<bool> mStopped{ false };
  std::array<Timestamp, 2> mTurnBegins{}; ///< of the previous turn and this one
  EventPtr mWakeEvent;
  std::mutex mMutex;
  std::vector<Task> mTasks;
  TimerId mLastTimer = 0;
  std::unordered_map<TimerId, std::unique_ptr<Timer>> mTimers;
  std::vector<std::unique_ptr<struct Watch>> mWatches;
};

EventLoop::EventLoop()
  : mImpl(std::make_unique<Impl>())
{
}

EventLoop::~EventLoop() = default;

void
EventLoop::Run()
{
  mImpl->Run();
}

void
EventLoop::Stop()
{
  mImpl->Stop();
}

Milliseconds
EventLoop::MaxInputLag() const
{
  return mImpl->MaxInputLag();
}

void
EventLoop::Post(Task aTask)
{
  mImpl->Post(std::move(aTask));
}

EventLoop::TimerId
EventLoop::RunAfter(Milliseconds aDelay, Task aTask)
{
  return mImpl->AddTimer(aDelay, false, std::move(aTask));
}

EventLoop::TimerId
EventLoop::RunEvery(Milliseconds aInterval, Task aTask)
{
  return mImpl->AddTimer(aInterval, true, std::move(aTask));
}

void
EventLoop::Cancel(TimerId aTimer)
{
  mImpl->Cancel(aTimer);
}

void
EventLoop::WatchReadable(int aDescriptor, Task aTask)
{
  mImpl->Watch(aDescriptor, std::move(aTask));
}

event_base*
EventLoop::Base() const
{
  return mImpl->mBase;
}

} // namespace knapweedpaddle::runtime
