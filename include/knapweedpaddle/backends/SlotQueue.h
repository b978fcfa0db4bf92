#pragma once

#include "knapweedpaddle/backends/AdmissionFairness.h"
#include "knapweedpaddle/backends/ServerRateLimit.h"
#include "knapweedpaddle/backends/WarmupLimit.h"
#include "knapweedpaddle/common/Time.h"
#include "knapweedpaddle/config/Entry.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>

/** The backend server of this node: its state, its slots and its calls. */
namespace knapweedpaddle::backends {

/** Reason why a call gets no slot. */
enum class SlotRefusal
{
  kQueueFull,
  kDeadlineTooNear, ///< the deadline would pass while the call waits
  kWaitTooLong,     ///< the call would wait too long for its latency target
  kRateLimited,     ///< the same, for the rate that the server takes
  kWarmingUp,       ///< the same, as the server is cold
  kDraining,        ///< no calls are accepted, or there is no backend server
};

inline constexpr std::array<EnumName<SlotRefusal>, 6> kSlotRefusalNames{ {
  { SlotRefusal::kQueueFull, "queue_full" },
  { SlotRefusal::kDeadlineTooNear, "deadline_too_near" },
  { SlotRefusal::kWaitTooLong, "wait_too_long" },
  { SlotRefusal::kRateLimited, "rate_limited" },
  { SlotRefusal::kWarmingUp, "warming_up" },
  { SlotRefusal::kDraining, "draining" },
} };

/** Request of a call for a slot. */
struct SlotRequest
{
  std::uint64_t id = 0; ///< unique among the requests in the queue
  config::CallClass callClass = config::CallClass::kIdempotent;
  Timestamp deadline;
  std::uint32_t priority = 0;      ///< 0 is the highest priority
  Milliseconds targetLatency{ 0 }; ///< latency target of the call; 0: none
  /** When the latency target ends, counted from the caller's first try; if
   * unset, targetLatency counts from now. */
  Timestamp targetDeadline{};
  std::string route;    ///< name of the route, for the fairness between routes
  double serviceMs = 0; ///< expected service time at the backend server
  Timestamp giveUpAt{}; ///< when a late call is refused; set by the queue
};

/**
 * Admits calls to the slots of the backend server and queues calls while no
 * slot is free or the server's rate limit is reached. Some slots are reserved
 * for calls of class check, which also go first in the queue; other calls are
 * ordered by target deadline.
 *
 * A call is refused immediately when its expected wait, estimated from the
 * recent service times and the rate limit, exceeds its deadline or most of the
 * time left until its target deadline. A call that can no longer meet its
 * target is late: it waits behind all others, for a short time only, because in
 * overload slots are best used for calls that can still be answered on time.
 *
 * Thread safety: the traffic thread only.
 */
class SlotQueue
{
public:
  /** Called when a queued call is granted a slot, or refused with a reason. */
  using SlotCallback =
    std::function<void(std::uint64_t aId, std::optional<SlotRefusal>)>;

  /**
   * @param aRateLimit  must outlive the queue, as must aWarmup.
   */
  SlotQueue(std::uint32_t aCheckSlots,
            ServerRateLimit& aRateLimit,
            WarmupLimit& aWarmup,
            SlotCallback aCallback);

  /**
   * Sets the number of slots. With 0 slots, while no backend server is known,
   * all queued calls are refused.
   */
  void SetSlots(std::uint32_t aSlots);

  /** How a call was admitted. */
  enum class Admission
  {
    kSlotGranted, ///< the call holds a slot now
    kQueued,      ///< the callback reports the grant or the refusal
  };

  /**
   * Requests a slot for a call.
   *
   * @return nothing when the call is refused, with the reason in aRefusal.
   */
  std::optional<Admission> Request(const SlotRequest& aRequest,
                                   Timestamp aNow,
                                   SlotRefusal& aRefusal);

  /**
   * Returns the reason for which Request() would refuse a call now, apart from
   * the rate limit, and records the refusal for the fairness between routes.
   */
  std::optional<SlotRefusal> CheckRefusal(const SlotRequest& aRequest,
                                          Timestamp aNow);

  /**
   * Releases the slot of a call of the given class and grants slots to queued
   * calls.
   *
   * @param aServiceTime  time at the backend server; nothing for a call that
   * the server did not complete.
   */
  void Release(config::CallClass aClass,
               std::optional<Milliseconds> aServiceTime,
               Timestamp aNow);

  /** Removes a queued call; false when the call was not queued. */
  bool Cancel(std::uint64_t aId);

  /** Refuses queued calls that can no longer be answered in time, and grants
   * free slots to those that the rate limit allows by now. */
  void Update(Timestamp aNow);

  /** Returns the time until the rate limit and the server's warm-up allow a
   * call that has a number of others ahead of it. */
  Microseconds RateWait(std::size_t aCallsAhead, Timestamp aNow) const
  {
    return std::max(mRateLimit.WaitFor(aCallsAhead, aNow),
                    mWarmup.WaitFor(aCallsAhead, aNow));
  }

  /** Refuses all new and queued calls from now on. */
  void Drain();

  /** Returns the number of calls that hold a slot. */
  std::uint32_t Busy() const { return mBusyChecks + mBusyRegular; }
  /** Returns the number of slots; 0 without a backend server. */
  std::uint32_t Slots() const { return mSlots; }
  /** Returns the moving average of the service time at the backend server. */
  double ServiceMs() const { return mServiceMs; }
  /** Returns the number of queued calls. */
  std::size_t Queued() const
  {
    return mQueuedChecks.size() + mQueuedRegular.size() + mQueuedLate.size();
  }

private:
  /** Returns true if a slot is free for a call of that class. */
  bool HasSlotFor(config::CallClass aClass) const;
  /** Takes a slot for a call of that class if one is free and the rate limit
   * allows the call. */
  bool TakeSlot(config::CallClass aClass, Timestamp aNow);
  std::uint32_t& BusyOf(config::CallClass aClass);
  /** Returns how many queued calls would go before a call. */
  std::size_t CallsAhead(const SlotRequest& aRequest, bool aLate) const;
  /** Returns the expected wait for a slot with a number of calls ahead. */
  Milliseconds SlotWait(std::size_t aCallsAhead) const;
  /** Returns the expected wait up to which a call is admitted. */
  Milliseconds MaxWait(const SlotRequest& aRequest,
                       bool aLate,
                       Timestamp aNow) const;
  std::optional<SlotRefusal> RefusalFor(const SlotRequest& aRequest,
                                        bool aLate,
                                        Timestamp aNow) const;
  std::deque<SlotRequest>::const_iterator InsertPosition(
    const SlotRequest& aRequest) const;
  using RequestQueue = std::deque<SlotRequest>;

  std::array<RequestQueue*, 3> Queues()
  {
    return { &mQueuedChecks, &mQueuedRegular, &mQueuedLate };
  }
  void RefuseQueued();
  /** Queues a late call and sets when it is refused. */
  void QueueLate(SlotRequest aRequest, Timestamp aNow);
  /** Moves regular calls that became late to the queue of late calls. */
  void MoveLateCalls(Timestamp aNow);
  void Expire(Timestamp aNow);

  std::uint32_t mCheckSlots;
  ServerRateLimit& mRateLimit;
  WarmupLimit& mWarmup;
  AdmissionFairness mFairness;
  SlotCallback mCallback;
  std::uint32_t mSlots = 0;
  std::uint32_t mBusyChecks = 0;
  std::uint32_t mBusyRegular = 0;
  double mServiceMs = 0;     ///< moving average of the service time
  double mAveragedCalls = 0; ///< calls in the moving average, up to its length
  bool mDraining = false;
  std::deque<SlotRequest> mQueuedChecks;
  std::deque<SlotRequest> mQueuedRegular; ///< ordered by targetDeadline
  /** Calls that will miss their latency target, first in first out. */
  std::deque<SlotRequest> mQueuedLate;
};

} // namespace knapweedpaddle::backends
