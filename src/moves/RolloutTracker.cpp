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

/** Earlier rollouts that are kept for each service. */
constexpr std::size_t kMaxEarlierRollouts = 8;

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

Rollout
NewRollout(const operators::RolloutOrder& aOrder, Timestamp aNow)
{
  Rollout rollout;
  rollout.order = aOrder;
  rollout.firstRevision = aOrder.revision;
  rollout.orderSeenAt = aNow;
  rollout.stageSeenAt = aNow;
  return rollout;
}

/** Replaces a rollout's order by one that is the same, but was read again. */
void
RenewOrder(Rollout& aRollout, const operators::RolloutOrder& aOrder)
{
  aRollout.isStatusInDoubt |= IsRewritten(aRollout.order, aOrder);
  // An order from a peer's progress has no duration.
  const Milliseconds duration =
    std::max(aRollout.order.duration, aOrder.duration);
  aRollout.order = aOrder;
  aRollout.order.duration = duration;
}

/** Moves a rollout forward. Returns true if that changes it. */
bool
AdvanceRollout(Rollout& aRollout,
               RolloutStage aStage,
               bool aCondemned,
               const std::string& aReason,
               Timestamp aNow)
{
  const bool changes =
    aStage > aRollout.stage || (aCondemned && !aRollout.condemned &&
                                aRollout.stage < RolloutStage::kRecorded);
  if (!changes) {
    return false;
  }
  if (aStage > aRollout.stage) {
    aRollout.stage = aStage;
    aRollout.stageSeenAt = aNow;
  }
  if (aCondemned && !aRollout.condemned) {
    aRollout.condemned = true;
    aRollout.reason = aReason;
  }
  return true;
}

nodes::MoveProgress
ProgressOf(const Rollout& aRollout)
{
  nodes::MoveProgress progress;
  progress.move = RolloutName(aRollout.order.service, aRollout.order.toVersion);
  progress.revision = aRollout.order.revision;
  progress.stage = static_cast<std::uint32_t>(aRollout.stage);
  progress.condemned = aRollout.condemned;
  progress.reason = aRollout.reason;
  return progress;
}

} // namespace

std::string
RolloutName(const std::string& aService, const std::string& aVersion)
{
  return std::string(kProgressPrefix) + aService + "/" + aVersion;
}

bool
RolloutTracker::AddOrder(const operators::RolloutOrder& aOrder, Timestamp aNow)
{
  const auto it = mRollouts.find(aOrder.service);
  if (it != mRollouts.end()) {
    Rollout& known = it->second;
    if (known.order.revision > aOrder.revision) {
      return false;
    }
    if (known.order.revision == aOrder.revision ||
        IsRewritten(known.order, aOrder)) {
      RenewOrder(known, aOrder);
      return false;
    }
    KeepEarlier(std::move(known));
    mRollouts.erase(it);
  }
  Rollout rollout = NewRollout(aOrder, aNow);
  RolloutsByVersion& earlier = mEarlier[aOrder.service];
  if (const auto same = earlier.find(aOrder.toVersion); same != earlier.end()) {
    if (IsRewritten(same->second.order, aOrder)) {
      rollout = std::move(same->second);
      RenewOrder(rollout, aOrder);
    } else {
      rollout.isRepeated = true;
    }
    earlier.erase(same);
  }
  mRollouts.insert_or_assign(aOrder.service, std::move(rollout));
  return true;
}

void
RolloutTracker::KeepEarlier(Rollout aRollout)
{
  RolloutsByVersion& earlier = mEarlier[aRollout.order.service];
  const std::string version = aRollout.order.toVersion;
  earlier.insert_or_assign(version, std::move(aRollout));
  if (earlier.size() > kMaxEarlierRollouts) {
    earlier.erase(std::ranges::min_element(earlier, {}, [](const auto& aItem) {
      return aItem.second.order.revision;
    }));
  }
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
  operators::RolloutOrder order;
  order.service = service;
  order.toVersion = name.substr(std::min(slash + 1, name.size()));
  order.revision = aProgress.revision;
  if (order.service.empty() || order.toVersion.empty()) {
    return false;
  }
  const auto it = mRollouts.find(service);
  if (it != mRollouts.end() && it->second.order.revision > order.revision) {
    return MergeEarlier(order, aProgress, aNow);
  }
  const bool isNew = AddOrder(order, aNow);
  const bool advances = Advance(service,
                                static_cast<RolloutStage>(aProgress.stage),
                                aProgress.condemned,
                                aProgress.reason,
                                aNow);
  return isNew || advances;
}

bool
RolloutTracker::MergeEarlier(const operators::RolloutOrder& aOrder,
                             const nodes::MoveProgress& aProgress,
                             Timestamp aNow)
{
  if (mRollouts.at(aOrder.service).order.toVersion == aOrder.toVersion) {
    return false; // The version was ordered again.
  }
  RolloutsByVersion& earlier = mEarlier[aOrder.service];
  const auto it = earlier.find(aOrder.toVersion);
  if (it != earlier.end() && it->second.order.revision > aOrder.revision) {
    return false;
  }
  const bool isNew =
    it == earlier.end() || it->second.order.revision < aOrder.revision;
  Rollout rollout = isNew ? NewRollout(aOrder, aNow) : it->second;
  const bool advances =
    AdvanceRollout(rollout,
                   static_cast<RolloutStage>(aProgress.stage),
                   aProgress.condemned,
                   aProgress.reason,
                   aNow);
  if (isNew || advances) {
    KeepEarlier(std::move(rollout));
  }
  // A rollout that is older than all that are kept is not kept itself.
  return (isNew || advances) && earlier.contains(aOrder.toVersion);
}

bool
RolloutTracker::Advance(const std::string& aService,
                        RolloutStage aStage,
                        bool aCondemned,
                        const std::string& aReason,
                        Timestamp aNow)
{
  const auto it = mRollouts.find(aService);
  return it != mRollouts.end() &&
         AdvanceRollout(it->second, aStage, aCondemned, aReason, aNow);
}

std::vector<nodes::MoveProgress>
RolloutTracker::Progress() const
{
  return ProgressWithEarlier([](const Rollout&) { return true; });
}

std::vector<nodes::MoveProgress>
RolloutTracker::OpenProgress() const
{
  return ProgressWithEarlier([](const Rollout& aNewest) {
    return aNewest.stage != RolloutStage::kRecorded;
  });
}

std::vector<nodes::MoveProgress>
RolloutTracker::ProgressWithEarlier(
  const std::function<bool(const Rollout&)>& aHasEarlier) const
{
  std::vector<nodes::MoveProgress> out;
  for (const auto& [service, rollout] : mRollouts) {
    out.push_back(ProgressOf(rollout));
    const auto it = mEarlier.find(service);
    if (it == mEarlier.end() || !aHasEarlier(rollout)) {
      continue;
    }
    for (const auto& [version, earlier] : it->second) {
      out.push_back(ProgressOf(earlier));
    }
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
  std::vector<std::string> notOld{ rollout.order.toVersion };
  std::vector<std::string> untested;
  if (const auto earlier = mEarlier.find(aService); earlier != mEarlier.end()) {
    for (const auto& [version, ended] : earlier->second) {
      const bool isTested = ended.stage >= RolloutStage::kDecided;
      if (ended.condemned || !isTested) {
        notOld.push_back(version);
      }
      if (!ended.condemned && !isTested) {
        untested.push_back(version);
      }
    }
  }
  split.fromVersions = routing::VersionSelector::AllBut(std::move(notOld));
  if (!untested.empty()) {
    split.lastResort =
      routing::VersionSelector{ std::move(untested), /* negated */ false };
  }
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
