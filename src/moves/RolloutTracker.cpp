#include "knapweedpaddle/moves/RolloutTracker.h"

#include "knapweedpaddle/store/Revision.h"

#include <algorithm>

namespace knapweedpaddle::moves {

namespace {

/** Shares of calls from RolloutStage::kCanary to kAll. */
constexpr std::array<double, 4> kShares{ 0.05, 0.25, 0.5, 1 };
/** Prefix of rollouts in MoveProgress::move; moves of the catalogue have
 * none. */
constexpr std::string_view kProgressPrefix = "rollout/";

double
ShareAtStage(RolloutStage aStage)
{
  const auto n = static_cast<std::size_t>(aStage);
  return kShares[std::min(n, kShares.size() - 1)];
}

/** Returns true if a later order is an earlier one that was written again, or
 * merely read again, after the store was restored. */
bool
IsRewritten(const operators::RolloutOrder& aEarlier,
            const operators::RolloutOrder& aLater)
{
  return store::HistoryOf(aEarlier.revision) !=
           store::HistoryOf(aLater.revision) &&
         aEarlier.toVersion == aLater.toVersion;
}

} // namespace

bool
RolloutTracker::AddOrder(const operators::RolloutOrder& aOrder, Timestamp aNow)
{
  const auto it = mRollouts.find(aOrder.service);
  if (it != mRollouts.end()) {
    Rollout& known = it->second;
    if (known.order.revision > aOrder.revision) {
      return false;
    }
    const bool isRewritten = IsRewritten(known.order, aOrder);
    if (isRewritten || known.order.revision == aOrder.revision) {
      known.isStatusInDoubt |= isRewritten;
      // An order from a peer's progress has no duration.
      const Milliseconds duration =
        std::max(known.order.duration, aOrder.duration);
      known.order = aOrder;
      known.order.duration = duration;
      return false;
    }
  }
  Rollout rollout;
  rollout.order = aOrder;
  rollout.firstRevision = aOrder.revision;
  rollout.orderSeenAt = aNow;
  rollout.stageSeenAt = aNow;
  mRollouts.insert_or_assign(aOrder.service, std::move(rollout));
  return true;
}

void
RolloutTracker::ConfirmStatus(const std::string& aService)
{
  if (const auto it = mRollouts.find(aService); it != mRollouts.end()) {
    it->second.isStatusInDoubt = false;
  }
}

bool
RolloutTracker::Merge(const nodes::MoveProgress& aProgress, Timestamp aNow)
{
  if (!aProgress.move.starts_with(kProgressPrefix) ||
      aProgress.stage > static_cast<std::uint32_t>(RolloutStage::kRecorded)) {
    return false;
  }
  const std::string name = aProgress.move.substr(kProgressPrefix.size());
  const auto slash = std::min(name.find('/'), name.size());
  const std::string service = name.substr(0, slash);
  const auto it = mRollouts.find(service);
  if (it == mRollouts.end() || it->second.order.revision < aProgress.revision) {
    operators::RolloutOrder order;
    order.service = service;
    order.toVersion = name.substr(std::min(slash + 1, name.size()));
    order.revision = aProgress.revision;
    AddOrder(order, aNow);
  } else if (it->second.order.revision > aProgress.revision) {
    return false;
  }
  return Advance(service,
                 static_cast<RolloutStage>(aProgress.stage),
                 aProgress.condemned,
                 aProgress.reason,
                 aNow);
}

bool
RolloutTracker::Advance(const std::string& aService,
                        RolloutStage aStage,
                        bool aCondemned,
                        const std::string& aReason,
                        Timestamp aNow)
{
  const auto it = mRollouts.find(aService);
  if (it == mRollouts.end()) {
    return false;
  }
  Rollout& rollout = it->second;
  const bool changes =
    aStage > rollout.stage || (aCondemned && !rollout.condemned &&
                               rollout.stage < RolloutStage::kRecorded);
  if (!changes) {
    return false;
  }
  if (aStage > rollout.stage) {
    rollout.stage = aStage;
    rollout.stageSeenAt = aNow;
  }
  if (aCondemned && !rollout.condemned) {
    rollout.condemned = true;
    rollout.reason = aReason;
  }
  return true;
}

std::vector<nodes::MoveProgress>
RolloutTracker::Progress() const
{
  std::vector<nodes::MoveProgress> out;
  for (const auto& [service, rollout] : mRollouts) {
    nodes::MoveProgress progress;
    progress.move =
      std::string(kProgressPrefix) + service + "/" + rollout.order.toVersion;
    progress.revision = rollout.order.revision;
    progress.stage = static_cast<std::uint32_t>(rollout.stage);
    progress.condemned = rollout.condemned;
    progress.reason = rollout.reason;
    out.push_back(std::move(progress));
  }
  return out;
}

routing::VersionSplit
RolloutTracker::SplitOf(const std::string& aService) const
{
  routing::VersionSplit split;
  split.exclusive = true;
  const auto it = mRollouts.find(aService);
  if (it == mRollouts.end()) {
    return split;
  }
  const Rollout& rollout = it->second;
  split.fromVersions =
    routing::VersionSelector::AllBut({ rollout.order.toVersion });
  split.toVersion = rollout.order.toVersion;
  split.condemned = rollout.condemned;
  split.share = ShareAtStage(rollout.stage);
  split.atMostOnceShare = split.share;
  if (rollout.stage == RolloutStage::kRecorded && !rollout.condemned) {
    split.exclusive = false;
  }
  return split;
}

} // namespace knapweedpaddle::moves
