#pragma once

#include "knapweedpaddle/runtime/Scheduler.h"

#include <algorithm>
#include <functional>
#include <map>

namespace knapweedpaddle::fakes {

/**
 * Simulated time with a queue of tasks. Time advances only while RunFor() or
 * RunUntil() runs; tasks due at the same time run in the order in which they
 * were scheduled.
 */
class FakeClock
{
public:
  using Task = std::function<void()>;

  Timestamp Now() const { return mNow; }
  WallMilliseconds WallTime() const
  {
    return kWallStart +
           std::chrono::duration_cast<Milliseconds>(mNow - kStart + mSuspended)
             .count();
  }
  Microseconds BootTime() const
  {
    return std::chrono::duration_cast<Microseconds>(mNow - kStart) + mSuspended;
  }

  /** Advances the clocks that count the time in which a VM is suspended; Now()
   * does not. */
  void Suspend(Milliseconds aTime) { mSuspended += aTime; }

  /**
   * Schedules a task; a time in the past means now.
   *
   * @return an id for Cancel().
   */
  std::uint64_t ScheduleAt(Timestamp aWhen, Task aTask)
  {
    const std::uint64_t id = ++mLastId;
    mQueue.emplace(Key{ std::max(aWhen, mNow), id }, std::move(aTask));
    mDueTimes[id] = std::max(aWhen, mNow);
    return id;
  }

  void Cancel(std::uint64_t aId)
  {
    if (const auto it = mDueTimes.find(aId); it != mDueTimes.end()) {
      mQueue.erase(Key{ it->second, aId });
      mDueTimes.erase(it);
    }
  }

  void RunFor(Milliseconds aTime) { RunUntil(mNow + aTime); }

  /** Runs all tasks that are due up to a time, then sets the clock to it. */
  void RunUntil(Timestamp aWhen)
  {
    while (!mQueue.empty() && mQueue.begin()->first.when <= aWhen) {
      const auto it = mQueue.begin();
      const Key key = it->first;
      const Task task = std::move(it->second);
      mQueue.erase(it);
      mDueTimes.erase(key.id);
      mNow = key.when;
      task();
    }
    mNow = aWhen;
  }

private:
  struct Key
  {
    Timestamp when;
    std::uint64_t id = 0;

    auto operator<=>(const Key&) const = default;
  };

  static constexpr WallMilliseconds kWallStart = 1'800'000'000'000;
  static constexpr Timestamp kStart{ std::chrono::hours(1) };

  Timestamp mNow = kStart;
  Milliseconds mSuspended{ 0 };
  std::uint64_t mLastId = 0;
  std::map<Key, Task> mQueue;
  std::map<std::uint64_t, Timestamp> mDueTimes;
};

/** Scheduler whose timers run on a FakeClock. */
class FakeScheduler : public runtime::Scheduler
{
public:
  explicit FakeScheduler(FakeClock& aClock)
    : mClock(aClock)
  {
  }

  Timestamp Now() const override { return mClock.Now(); }
  WallMilliseconds WallTime() const override { return mClock.WallTime(); }
  Microseconds BootTime() const override { return mClock.BootTime(); }

  TimerId RunAfter(Milliseconds aDelay, Task aTask) override
  {
    return mClock.ScheduleAt(mClock.Now() + aDelay, std::move(aTask));
  }

  void Cancel(TimerId aTimer) override { mClock.Cancel(aTimer); }

private:
  FakeClock& mClock;
};

} // namespace knapweedpaddle::fakes
