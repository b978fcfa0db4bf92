#include "knapweedpaddle/backends/SlotQueue.h"

#include <algorithm>
#include <utility>

namespace knapweedpaddle::backends {

namespace {

constexpr std::size_t kQueuePerSlot = 4;
/** Waiting calls are refused so long before their deadline, for the refusal to
 * reach the caller in time. */
constexpr Milliseconds kExpiryLead{ 30 };
constexpr double kServiceMargin = 1.6; ///< over the mean, kept of the target
constexpr double kWaitPart = 0.8;      ///< of what is left of the target then
constexpr double kLeastWaitPart = 0.2; ///< of the target, always allowed
constexpr double kServiceSpan = 12;    ///< calls that the average remembers

} // namespace

SlotQueue::SlotQueue(std::uint32_t aCheckSlots, Granted aGranted)
  : mCheckSlots(aCheckSlots)
  , mGranted(std::move(aGranted))
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

std::optional<SlotQueue::Answer>
SlotQueue::Request(const SlotRequest& aRequest,
                   Timestamp aNow,
                   SlotRefusal& aRefusal)
{
  if (mDraining) {
    aRefusal = SlotRefusal::kDraining;
    return std::nullopt;
  }
  if (HasSlotFor(aRequest.callClass)) {
    ++BusyOf(aRequest.callClass);
    mBalance.Note(aRequest.route, aRequest.priority, true, aNow);
    return Answer::kTaken;
  }
  const auto refusal = RefusalFor(aRequest, aNow);
  mBalance.Note(aRequest.route, aRequest.priority, !refusal, aNow);
  if (refusal) {
    aRefusal = *refusal;
    return std::nullopt;
  }
  if (aRequest.callClass == config::CallClass::kCheck) {
    mChecks.push_back(aRequest);
  } else {
    mOthers.insert(PlaceOf(aRequest), aRequest);
  }
  return Answer::kQueued;
}

void
SlotQueue::Release(config::CallClass aClass,
                   std::optional<Milliseconds> aServiceTime,
                   Timestamp aNow)
{
  std::uint32_t& busy = BusyOf(aClass);
  busy -= busy > 0 ? 1 : 0;
  if (aServiceTime) {
    mServed = std::min(mServed + 1, kServiceSpan);
    mServiceMs +=
      (static_cast<double>(aServiceTime->count()) - mServiceMs) / mServed;
  }
  GrantNext(aNow);
}

bool
SlotQueue::Abandon(std::uint64_t aId)
{
  const auto isIt = [aId](const SlotRequest& aRequest) {
    return aRequest.id == aId;
  };
  return std::erase_if(mChecks, isIt) + std::erase_if(mOthers, isIt) > 0;
}

void
SlotQueue::Expire(Timestamp aNow)
{
  std::vector<std::uint64_t> expired;
  for (auto* queue : { &mChecks, &mOthers }) {
    std::erase_if(*queue, [&](const SlotRequest& aRequest) {
      if (aRequest.deadline > aNow + kExpiryLead) {
        return false;
      }
      expired.push_back(aRequest.id);
      return true;
    });
  }
  for (const auto id : expired) {
    mGranted(id, SlotRefusal::kDeadlineTooNear);
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
  for (auto* queue : { &mChecks, &mOthers }) {
    for (const auto& it : std::exchange(*queue, {})) {
      mGranted(it.id, SlotRefusal::kDraining);
    }
  }
}

bool
SlotQueue::HasSlotFor(config::CallClass aClass) const
{
  if (Busy() >= mSlots) {
    return false;
  }
  const std::uint32_t kept = std::min(mCheckSlots, mSlots - 1);
  return aClass == config::CallClass::kCheck || mOthersBusy < mSlots - kept;
}

std::uint32_t&
SlotQueue::BusyOf(config::CallClass aClass)
{
  return aClass == config::CallClass::kCheck ? mChecksBusy : mOthersBusy;
}

std::optional<SlotRefusal>
SlotQueue::RefusalFor(const SlotRequest& aRequest, Timestamp aNow) const
{
  if (Queued() >= kQueuePerSlot * mSlots) {
    return SlotRefusal::kQueueFull;
  }
  const Milliseconds wait = ExpectedWait(aRequest);
  if (aNow + wait >= aRequest.deadline) {
    return SlotRefusal::kDeadlineTooNear;
  }
  if (aRequest.target > Milliseconds(0) && wait > LongestWait(aRequest, aNow)) {
    return SlotRefusal::kWaitTooLong;
  }
  return std::nullopt;
}

std::deque<SlotRequest>::const_iterator
SlotQueue::PlaceOf(const SlotRequest& aRequest) const
{
  return std::ranges::upper_bound(
    mOthers, aRequest.targetAt, {}, &SlotRequest::targetAt);
}

Milliseconds
SlotQueue::LongestWait(const SlotRequest& aRequest, Timestamp aNow) const
{
  const auto target = static_cast<double>(aRequest.target.count());
  const double service = aRequest.serviceMs * kServiceMargin;
  const double wait =
    std::max((target - service) * kWaitPart, target * kLeastWaitPart);
  const double factor =
    mBalance.WaitFactor(aRequest.route, aRequest.priority, aNow);
  return Milliseconds(static_cast<std::int64_t>(wait * factor));
}

Milliseconds
SlotQueue::ExpectedWait(const SlotRequest& aRequest) const
{
  const auto ahead = mChecks.size() + static_cast<std::size_t>(
                                        PlaceOf(aRequest) - mOthers.begin());
  const double rounds =
    static_cast<double>(ahead + 1) / static_cast<double>(std::max(mSlots, 1U));
  return Milliseconds(static_cast<std::int64_t>(mServiceMs * rounds));
}

void
SlotQueue::GrantNext(Timestamp aNow)
{
  Expire(aNow);
  for (auto* queue : { &mChecks, &mOthers }) {
    if (!queue->empty() && HasSlotFor(queue->front().callClass)) {
      const SlotRequest next = queue->front();
      queue->pop_front();
      ++BusyOf(next.callClass);
      mGranted(next.id, std::nullopt);
      return;
    }
  }
}

} // namespace knapweedpaddle::backends
