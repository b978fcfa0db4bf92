#include "knapweedpaddle/backends/TransferGate.h"

#include <algorithm>

namespace knapweedpaddle::backends {

namespace {

/** Bodies on their way fill the link for this long at most, unless it is only
 * one. */
constexpr Milliseconds kMaxLinkTime{ 60 };
/** Share of the link that is left to bodies; the rest is for short calls,
 * responses and control traffic. */
constexpr double kBodyShare = 0.8;
/** A transfer that takes this many times as long as expected has stalled at its
 * sender, and no longer counts as using the link. */
constexpr double kStallFactor = 3;
constexpr Milliseconds kMinStallTime{ 200 };

Milliseconds
ToMilliseconds(double aMs)
{
  return Milliseconds(static_cast<std::int64_t>(aMs));
}

} // namespace

TransferGate::TransferGate(double aBytesPerMs)
  : mBytesPerMs(aBytesPerMs * kBodyShare)
{
}

std::optional<TransferRefusal>
TransferGate::Add(const Transfer& aTransfer, Timestamp aNow)
{
  if (const auto refusal =
        RefusalFor(aTransfer, ArrivalTime(aTransfer, aNow), aNow)) {
    return refusal;
  }
  mTransfers[aTransfer.id] = { aTransfer, aNow, std::nullopt };
  return std::nullopt;
}

void
TransferGate::Remove(std::uint64_t aId)
{
  mTransfers.erase(aId);
}

std::vector<std::uint64_t>
TransferGate::Grant(Timestamp aNow)
{
  std::vector<State*> waiting;
  for (auto& [id, state] : mTransfers) {
    if (!state.grantedAt) {
      waiting.push_back(&state);
    }
  }
  std::ranges::sort(waiting, {}, [](const State* aState) {
    return aState->transfer.targetDeadline;
  });
  std::size_t bytes = BytesOnLink(aNow);
  std::vector<std::uint64_t> granted;
  for (State* it : waiting) {
    const std::size_t total = bytes + it->transfer.bytes;
    if (bytes > 0 &&
        TransferMs(total) > static_cast<double>(kMaxLinkTime.count())) {
      break;
    }
    bytes = total;
    it->grantedAt = aNow;
    granted.push_back(it->transfer.id);
  }
  return granted;
}

std::vector<std::uint64_t>
TransferGate::TakeExpired(Timestamp aNow)
{
  std::vector<std::uint64_t> expired;
  std::erase_if(mTransfers, [&](const auto& aItem) {
    const State& state = aItem.second;
    if (state.grantedAt || aNow - state.addedAt <= kMaxLinkTime ||
        EarliestEnd(state.transfer, aNow) <= state.transfer.targetDeadline) {
      return false;
    }
    expired.push_back(state.transfer.id);
    return true;
  });
  return expired;
}

Milliseconds
TransferGate::ArrivalTime(const Transfer& aTransfer, Timestamp aNow) const
{
  std::size_t bytes = BytesOnLink(aNow) + aTransfer.bytes;
  for (const auto& [id, state] : mTransfers) {
    if (!state.grantedAt &&
        state.transfer.targetDeadline <= aTransfer.targetDeadline) {
      bytes += state.transfer.bytes;
    }
  }
  return ToMilliseconds(TransferMs(bytes));
}

Timestamp
TransferGate::EarliestEnd(const Transfer& aTransfer, Timestamp aNow) const
{
  return aNow + ToMilliseconds(TransferMs(aTransfer.bytes)) +
         ToMilliseconds(aTransfer.serviceMs);
}

double
TransferGate::TransferMs(std::size_t aBytes) const
{
  return mBytesPerMs > 0 ? static_cast<double>(aBytes) / mBytesPerMs : 0;
}

bool
TransferGate::IsOnLink(const State& aState, Timestamp aNow) const
{
  const Milliseconds stallTime =
    std::max(kMinStallTime,
             ToMilliseconds(kStallFactor * TransferMs(aState.transfer.bytes)));
  return aState.grantedAt && aNow - *aState.grantedAt < stallTime;
}

std::size_t
TransferGate::BytesOnLink(Timestamp aNow) const
{
  std::size_t bytes = 0;
  for (const auto& [id, state] : mTransfers) {
    bytes += IsOnLink(state, aNow) ? state.transfer.bytes : 0;
  }
  return bytes;
}

std::optional<TransferRefusal>
TransferGate::RefusalFor(const Transfer& aTransfer,
                         Milliseconds aArrival,
                         Timestamp aNow) const
{
  const Timestamp end = aNow + aArrival + ToMilliseconds(aTransfer.serviceMs);
  if (end >= aTransfer.deadline) {
    return TransferRefusal::kDeadlineTooNear;
  }
  // A call that is late in any case may wait for a short time.
  if (end > aTransfer.targetDeadline &&
      end > EarliestEnd(aTransfer, aNow) + kMaxLinkTime) {
    return TransferRefusal::kWaitTooLong;
  }
  return std::nullopt;
}

} // namespace knapweedpaddle::backends
