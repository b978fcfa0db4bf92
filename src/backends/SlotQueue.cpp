#include "knapweedpaddle/backends/SlotQueue.h"

#include <algorithm>
#include <utility>

namespace knapweedpaddle::backends {

namespace {

constexpr std::size_t kQueuePerSlot = 4;
constexpr double kServiceWeight = 0.1;

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
    return Answer::kTaken;
  }
  if (Queued() >= kQueuePerSlot * mSlots) {
    aRefusal = SlotRefusal::kQueueFull;
    return std::nullopt;
  }
  if (aNow + ExpectedWait() >= aRequest.deadline) {
    aRefusal = SlotRefusal::kDeadlineTooNear;
    return std::nullopt;
  }
  auto& queue =
    aRequest.callClass == config::CallClass::kCheck ? mChecks : mOthers;
  queue.push_back(aRequest);
  return Answer::kQueued;
}

void
SlotQueue::Release(config::CallClass aClass,
                   Milliseconds aServiceTime,
                   Timestamp aNow)
{
  std::uint32_t& busy = BusyOf(aClass);
  busy -= busy > 0 ? 1 : 0;
  mServiceMs +=
    kServiceWeight * (static_cast<double>(aServiceTime.count()) - mServiceMs);
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
      if (aRequest.deadline > aNow) {
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

Milliseconds
SlotQueue::ExpectedWait() const
{
  const double rounds = static_cast<double>(Queued() + 1) /
                        static_cast<double>(std::max(mSlots, 1U));
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
