#include "knapweedpaddle/backends/SlotQueue.h"

#include <algorithm>
#include <utility>

namespace knapweedpaddle::backends {

namespace {

constexpr std::size_t kMaxQueuedPerSlot = 4;
/** Calls are refused this long before their deadline, so that the refusal
 * reaches the caller in time. */
constexpr Milliseconds kRefusalLeadTime{ 30 };
/** Hardly any call takes less than this fraction of the expected service time;
 * with less time left, a call would be cut off at the server. */
constexpr double kMinServiceFraction = 0.3;
/** Multiple of the expected service time that is reserved within the target. */
constexpr double kServiceTimeMargin = 1.6;
/** Maximum wait, as a fraction of the target time that remains after that. */
constexpr double kMaxWaitFraction = 0.8;
/** Lower bound of the maximum wait, as a fraction of the latency target. */
constexpr double kWaitFloorFraction = 0.2;
/** How long a late call stays queued at most, as a fraction of the latency
 * target. */
constexpr double kLateWaitFraction = 0.5;
/** Length of the moving average of the service time, in calls. */
constexpr double kMaxAveragedCalls = 12;

/** Returns the time left until the target deadline; negative once it passed. */
Milliseconds
RemainingTarget(const SlotRequest& aRequest, Timestamp aNow)
{
  return aRequest.targetDeadline == Timestamp{}
           ? aRequest.targetLatency
           : std::chrono::duration_cast<Milliseconds>(aRequest.targetDeadline -
                                                      aNow);
}

/** Returns true if a call would miss its target even with a slot now. */
bool
IsLate(const SlotRequest& aRequest, Timestamp aNow)
{
  return aRequest.targetLatency > Milliseconds(0) &&
         static_cast<double>(RemainingTarget(aRequest, aNow).count()) <
           aRequest.serviceMs;
}

/** Returns true if too little time is left to run a call before its deadline.
 */
bool
IsDeadlineTooNear(const SlotRequest& aRequest, Timestamp aNow)
{
  const Milliseconds minService(
    static_cast<std::int64_t>(aRequest.serviceMs * kMinServiceFraction));
  return aRequest.deadline <= aNow + std::max(kRefusalLeadTime, minService);
}

Milliseconds
FractionOf(Milliseconds aTime, double aFraction)
{
  return Milliseconds(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aFraction));
}

} // namespace

SlotQueue::SlotQueue(std::uint32_t aCheckSlots,
                     ServerRateLimit& aRateLimit,
                     WarmupLimit& aWarmup,
                     SlotCallback aCallback)
  : mCheckSlots(aCheckSlots)
  , mRateLimit(aRateLimit)
  , mWarmup(aWarmup)
  , mCallback(std::move(aCallback))
{
}

void
SlotQueue::SetSlots(std::uint32_t aSlots)
{
  mSlots = aSlots;
  if (mSlots == 0) {
    RefuseQueued();
  }
}

std::optional<SlotQueue::Admission>
SlotQueue::Request(const SlotRequest& aRequest,
                   Timestamp aNow,
                   SlotRefusal& aRefusal)
{
  if (mDraining) {
    aRefusal = SlotRefusal::kDraining;
    return std::nullopt;
  }
  Update(aNow);
  if (IsDeadlineTooNear(aRequest, aNow)) {
    aRefusal = SlotRefusal::kDeadlineTooNear;
    return std::nullopt;
  }
  const bool isLate = IsLate(aRequest, aNow);
  const bool hasSlot = TakeSlot(aRequest.callClass, aNow);
  const auto refusal =
    hasSlot ? std::nullopt : RefusalFor(aRequest, isLate, aNow);
  if (!isLate) {
    mFairness.Record(aRequest.route, aRequest.priority, !refusal, aNow);
  }
  if (hasSlot) {
    return Admission::kSlotGranted;
  }
  if (refusal) {
    aRefusal = *refusal;
    return std::nullopt;
  }
  if (aRequest.callClass == config::CallClass::kCheck) {
    mQueuedChecks.push_back(aRequest);
  } else if (isLate) {
    QueueLate(aRequest, aNow);
  } else {
    mQueuedRegular.insert(InsertPosition(aRequest), aRequest);
  }
  return Admission::kQueued;
}

std::optional<SlotRefusal>
SlotQueue::CheckRefusal(const SlotRequest& aRequest, Timestamp aNow)
{
  if (mDraining) {
    return SlotRefusal::kDraining;
  }
  if (HasSlotFor(aRequest.callClass)) {
    return std::nullopt;
  }
  const bool isLate = IsLate(aRequest, aNow);
  const auto refusal = RefusalFor(aRequest, isLate, aNow);
  if (refusal && !isLate) {
    mFairness.Record(aRequest.route, aRequest.priority, false, aNow);
  }
  return refusal;
}

void
SlotQueue::Release(config::CallClass aClass,
                   std::optional<Milliseconds> aServiceTime,
                   Timestamp aNow)
{
  std::uint32_t& busy = BusyOf(aClass);
  busy -= busy > 0 ? 1 : 0;
  if (aServiceTime) {
    mAveragedCalls = std::min(mAveragedCalls + 1, kMaxAveragedCalls);
    mServiceMs += (static_cast<double>(aServiceTime->count()) - mServiceMs) /
                  mAveragedCalls;
  }
  Update(aNow);
}

bool
SlotQueue::Cancel(std::uint64_t aId)
{
  const auto hasId = [aId](const SlotRequest& aRequest) {
    return aRequest.id == aId;
  };
  std::size_t erased = 0;
  for (auto* queue : Queues()) {
    erased += std::erase_if(*queue, hasId);
  }
  return erased > 0;
}

void
SlotQueue::Expire(Timestamp aNow)
{
  std::vector<std::pair<std::uint64_t, SlotRefusal>> expired;
  const auto expire =
    [&](RequestQueue& aQueue, SlotRefusal aRefusal, auto aIsExpired) {
      std::erase_if(aQueue, [&](const SlotRequest& aRequest) {
        if (!aIsExpired(aRequest)) {
          return false;
        }
        expired.emplace_back(aRequest.id, aRefusal);
        return true;
      });
    };
  for (auto* queue : Queues()) {
    expire(*queue, SlotRefusal::kDeadlineTooNear, [aNow](const auto& aRequest) {
      return IsDeadlineTooNear(aRequest, aNow);
    });
  }
  expire(mQueuedLate, SlotRefusal::kWaitTooLong, [aNow](const auto& aRequest) {
    return aRequest.giveUpAt <= aNow;
  });
  for (const auto& [id, refusal] : expired) {
    mCallback(id, refusal);
  }
}

void
SlotQueue::Drain()
{
  mDraining = true;
  RefuseQueued();
}

void
SlotQueue::RefuseQueued()
{
  for (auto* queue : Queues()) {
    for (const auto& it : std::exchange(*queue, {})) {
      mCallback(it.id, SlotRefusal::kDraining);
    }
  }
}

void
SlotQueue::QueueLate(SlotRequest aRequest, Timestamp aNow)
{
  aRequest.giveUpAt =
    aNow + FractionOf(aRequest.targetLatency, kLateWaitFraction);
  mQueuedLate.push_back(std::move(aRequest));
}

void
SlotQueue::MoveLateCalls(Timestamp aNow)
{
  while (!mQueuedRegular.empty() && IsLate(mQueuedRegular.front(), aNow)) {
    QueueLate(std::move(mQueuedRegular.front()), aNow);
    mQueuedRegular.pop_front();
  }
}

bool
SlotQueue::HasSlotFor(config::CallClass aClass) const
{
  if (Busy() >= mSlots) {
    return false;
  }
  const std::uint32_t reserved = std::min(mCheckSlots, mSlots - 1);
  return aClass == config::CallClass::kCheck ||
         mBusyRegular < mSlots - reserved;
}

bool
SlotQueue::TakeSlot(config::CallClass aClass, Timestamp aNow)
{
  if (!HasSlotFor(aClass) || !mWarmup.HasRoom(aNow) ||
      !mRateLimit.TakeCall(Busy(), aNow)) {
    return false;
  }
  mWarmup.CountCall(aNow);
  ++BusyOf(aClass);
  return true;
}

std::uint32_t&
SlotQueue::BusyOf(config::CallClass aClass)
{
  return aClass == config::CallClass::kCheck ? mBusyChecks : mBusyRegular;
}

std::optional<SlotRefusal>
SlotQueue::RefusalFor(const SlotRequest& aRequest,
                      bool aLate,
                      Timestamp aNow) const
{
  if (Queued() >= kMaxQueuedPerSlot * mSlots) {
    return SlotRefusal::kQueueFull;
  }
  const std::size_t ahead = CallsAhead(aRequest, aLate);
  const Milliseconds slotWait = SlotWait(ahead);
  const auto rateWait = std::chrono::ceil<Milliseconds>(RateWait(ahead, aNow));
  const Milliseconds wait = std::max(slotWait, rateWait);
  if (aNow + wait >= aRequest.deadline) {
    return SlotRefusal::kDeadlineTooNear;
  }
  if (aRequest.targetLatency > Milliseconds(0) &&
      wait > MaxWait(aRequest, aLate, aNow)) {
    if (rateWait <= slotWait) {
      return SlotRefusal::kWaitTooLong;
    }
    return mWarmup.IsCold(aNow) ? SlotRefusal::kWarmingUp
                                : SlotRefusal::kRateLimited;
  }
  return std::nullopt;
}

std::deque<SlotRequest>::const_iterator
SlotQueue::InsertPosition(const SlotRequest& aRequest) const
{
  return std::ranges::upper_bound(
    mQueuedRegular, aRequest.targetDeadline, {}, &SlotRequest::targetDeadline);
}

Milliseconds
SlotQueue::MaxWait(const SlotRequest& aRequest,
                   bool aLate,
                   Timestamp aNow) const
{
  const Milliseconds waitFloor =
    FractionOf(aRequest.targetLatency, kWaitFloorFraction);
  if (aLate) {
    return waitFloor;
  }
  const Milliseconds service(
    static_cast<std::int64_t>(aRequest.serviceMs * kServiceTimeMargin));
  const Milliseconds wait = std::max(
    FractionOf(RemainingTarget(aRequest, aNow) - service, kMaxWaitFraction),
    waitFloor);
  return FractionOf(
    wait, mFairness.WaitFactor(aRequest.route, aRequest.priority, aNow));
}

std::size_t
SlotQueue::CallsAhead(const SlotRequest& aRequest, bool aLate) const
{
  return aLate ? Queued()
               : mQueuedChecks.size() +
                   static_cast<std::size_t>(InsertPosition(aRequest) -
                                            mQueuedRegular.begin());
}

Milliseconds
SlotQueue::SlotWait(std::size_t aCallsAhead) const
{
  const double rounds = static_cast<double>(aCallsAhead + 1) /
                        static_cast<double>(std::max(mSlots, 1U));
  return Milliseconds(static_cast<std::int64_t>(mServiceMs * rounds));
}

void
SlotQueue::Update(Timestamp aNow)
{
  Expire(aNow);
  MoveLateCalls(aNow);
  for (auto* queue : Queues()) {
    while (!queue->empty() && TakeSlot(queue->front().callClass, aNow)) {
      const std::uint64_t id = queue->front().id;
      queue->pop_front();
      mCallback(id, std::nullopt);
    }
  }
}

} // namespace knapweedpaddle::backends
