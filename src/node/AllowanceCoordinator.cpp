#include "knapweedpaddle/node/AllowanceCoordinator.h"

#include <algorithm>
#include <cmath>

namespace knapweedpaddle::node {

using nodes::NodeId;

namespace {

/** A new coordinator decides nothing for this long: until all nodes report to
 * it, it does not know what a team's other calls are. */
constexpr Milliseconds kSettleTime{ 700 };
/** Without any report for longer, this node was no coordinator meanwhile. */
constexpr Milliseconds kMaxReportGap{ 2000 };
/** A node that reported longer ago may have another coordinator or none. */
constexpr Milliseconds kMaxReportAge{ 1000 };
/** How long the rate of such a node is set aside; at least as long as the node
 * goes on at that rate. */
constexpr Milliseconds kHeldRateTime{ 10'000 };
constexpr double kHeldRateFactor = 1.1;
/** Length of the moving averages of the nodes' rates. */
constexpr double kRateSeconds = 0.6;
/** The same for the rate that a node without a coordinator holds. */
constexpr double kLongRateSeconds = 8;
/** Interval between two decisions about a team. */
constexpr Milliseconds kDecisionInterval{ 100 };
/** Time in which a decision reaches all nodes. A team is limited once its calls
 * could use up the bucket within it. */
constexpr double kReactionSeconds = 0.8;
/** Mean age of the calls that nodes have admitted and not reported yet. */
constexpr double kUnreportedSeconds = 0.2;
/** Calls that a team may make at once, whatever its allowance. With less, a
 * team that sends few calls would be limited by mere chance. */
constexpr double kMinBurst = 10;
/** Time in which a debt is paid. */
constexpr double kSettlementSeconds = 1;
/** A team that asks for less than this share of its rate has room to spare. */
constexpr double kSpareShare = 0.85;
/** Share of a limited team's rate that all nodes get alike, so that a node
 * whose first callers come now admits some of them. */
constexpr double kEvenShare = 0.05;

double
SecondsBetween(Microseconds aFrom, Microseconds aTo)
{
  return std::chrono::duration<double>(aTo - aFrom).count();
}

} // namespace

AllowanceCoordinator::AllowanceCoordinator(Lookup aLookup)
  : mLookup(std::move(aLookup))
{
}

void
AllowanceCoordinator::SetNodes(std::vector<NodeId> aNodes, Microseconds aNow)
{
  mExpected = std::move(aNodes);
  std::erase_if(mNodes, [aNow](const auto& aItem) {
    return aNow - aItem.second.reportedAt > kHeldRateTime;
  });
  mPresent = PresentShare(aNow);
}

AllowanceCoordinator::Answer
AllowanceCoordinator::OnReport(NodeId aNode,
                               std::uint64_t aIncarnation,
                               const std::vector<TeamUsage>& aUsages,
                               Microseconds aNow)
{
  if (mNodes.empty() || aNow - mLastReportAt > kMaxReportGap) {
    mDutySince = aNow;
    mNodes.clear();
    mTeams.clear();
  }
  mLastReportAt = aNow;
  const auto [node, isNew] = mNodes.try_emplace(aNode);
  const bool isRestarted = !isNew && node->second.incarnation != aIncarnation;
  node->second = { aIncarnation, aNow };
  if (isRestarted) {
    for (auto& [id, team] : mTeams) {
      team.parts.erase(aNode);
    }
  }
  if (isNew) {
    mPresent = PresentShare(aNow);
  }
  Answer answer;
  answer.decided = aNow - mDutySince >= kSettleTime;
  for (const auto& it : aUsages) {
    const auto [team, added] = mTeams.try_emplace(it.team);
    if (added) {
      // A coordinator that has its duty for some time would know of calls.
      const auto allowance = mLookup(it.team);
      team->second.level = answer.decided && allowance
                             ? std::max(kMinBurst, allowance->burst) * mPresent
                             : 0;
      team->second.filledAt = aNow;
    }
    CountPart(team->second, aNode, it, isNew, aNow);
  }
  const double nodeCount = static_cast<double>(mNodes.size());
  for (auto it = mTeams.begin(); it != mTeams.end();) {
    auto& [id, team] = *it;
    const auto allowance = mLookup(id);
    if (!allowance) {
      it = mTeams.erase(it);
      continue;
    }
    if (aNow - team.decidedAt >= kDecisionInterval) {
      Decide(team, *allowance, aNow);
    }
    if (answer.decided && team.granted) {
      const auto part = team.parts.find(aNode);
      const double asked =
        part == team.parts.end()
          ? 0
          : part->second.askedRate * Decay(part->second, aNow);
      const double share =
        kEvenShare / nodeCount +
        (team.demand > 0 ? (1 - kEvenShare) * std::min(1.0, asked / team.demand)
                         : 0);
      answer.limited.push_back({ id, *team.granted * share });
    }
    ++it;
  }
  return answer;
}

std::size_t
AllowanceCoordinator::LimitedTeams() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mTeams, [](const auto& aItem) {
      return aItem.second.granted.has_value();
    }));
}

void
AllowanceCoordinator::CountPart(Team& aTeam,
                                NodeId aNode,
                                const TeamUsage& aUsage,
                                bool aIsBaseline,
                                Microseconds aNow)
{
  const auto [it, isNew] = aTeam.parts.try_emplace(aNode);
  Part& part = it->second;
  if (isNew) {
    part.updatedAt = aNow - Milliseconds(300);
  }
  if (aIsBaseline) {
    // Other calls were counted by another coordinator.
    part.counted = aUsage;
    part.updatedAt = aNow;
    aTeam.level -= static_cast<double>(aUsage.uncounted);
    return;
  }
  const double seconds = std::max(0.05, SecondsBetween(part.updatedAt, aNow));
  const double weight = 1 - std::exp(-seconds / kRateSeconds);
  const auto asked =
    static_cast<double>(aUsage.asked) - static_cast<double>(part.counted.asked);
  const auto used =
    static_cast<double>(aUsage.used) - static_cast<double>(part.counted.used);
  const double change =
    weight * (std::max(0.0, asked) / seconds - part.askedRate);
  part.askedRate += change;
  aTeam.demand = std::max(0.0, aTeam.demand + change);
  const double usedNow = std::max(0.0, used) / seconds;
  part.usedRate += weight * (usedNow - part.usedRate);
  part.longUsedRate +=
    (1 - std::exp(-seconds / kLongRateSeconds)) * (usedNow - part.longUsedRate);
  part.counted = aUsage;
  part.updatedAt = aNow;
  aTeam.level -= used;
}

void
AllowanceCoordinator::Decide(Team& aTeam,
                             const TeamAllowance& aAllowance,
                             Microseconds aNow)
{
  const double evenRate =
    aAllowance.callsPerSecond /
    static_cast<double>(std::max<std::size_t>(1, mExpected.size()));
  double demand = 0;
  double used = 0;
  double setAside = 0;
  std::erase_if(aTeam.parts, [&](const auto& aItem) {
    const auto& [node, part] = aItem;
    if (IsReporting(node, aNow)) {
      demand += part.askedRate * Decay(part, aNow);
      used += part.usedRate * Decay(part, aNow);
      return false;
    }
    const auto silent = mNodes.find(node);
    if (silent == mNodes.end() ||
        aNow - silent->second.reportedAt > kHeldRateTime) {
      return true;
    }
    // An even part is set aside for each node that does not report here.
    const double heldRate =
      std::max(part.usedRate * Decay(part, silent->second.reportedAt),
               part.longUsedRate) *
      kHeldRateFactor;
    setAside += std::max(0.0, heldRate - evenRate);
    return false;
  });
  const double rate =
    std::max(0.0, aAllowance.callsPerSecond * mPresent - setAside);
  const double burst = std::max(kMinBurst, aAllowance.burst) * mPresent;
  aTeam.level =
    std::min(burst, aTeam.level + rate * SecondsBetween(aTeam.filledAt, aNow));
  aTeam.filledAt = aNow;
  aTeam.decidedAt = aNow;
  aTeam.demand = demand;
  // The rate of a team with few calls is known within a wide margin only.
  const double certain =
    std::max(0.0, demand - std::sqrt(demand / (2 * kRateSeconds)));
  const bool isWithinRate = aTeam.level >= 0 && certain <= rate * kSpareShare;
  if (isWithinRate || aTeam.level >= certain * kReactionSeconds) {
    aTeam.granted.reset();
    return;
  }
  const double left = aTeam.level - used * kUnreportedSeconds;
  aTeam.granted = std::max(0.0, rate + left / kSettlementSeconds);
}

double
AllowanceCoordinator::PresentShare(Microseconds aNow) const
{
  if (mExpected.empty()) {
    return 1;
  }
  const auto present = std::ranges::count_if(
    mExpected, [this, aNow](NodeId aNode) { return IsReporting(aNode, aNow); });
  return static_cast<double>(present) / static_cast<double>(mExpected.size());
}

double
AllowanceCoordinator::Decay(const Part& aPart, Microseconds aNow)
{
  // A report leaves out teams without new calls.
  return std::exp(
    -std::max(0.0, SecondsBetween(aPart.updatedAt, aNow) - kRateSeconds) /
    kRateSeconds);
}

bool
AllowanceCoordinator::IsReporting(NodeId aNode, Microseconds aNow) const
{
  const auto it = mNodes.find(aNode);
  return it != mNodes.end() && aNow - it->second.reportedAt <= kMaxReportAge;
}

} // namespace knapweedpaddle::node
