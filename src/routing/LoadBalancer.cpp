#include "knapweedpaddle/routing/LoadBalancer.h"

#include <algorithm>
#include <cmath>

namespace knapweedpaddle::routing {

namespace {

/** Random part of each cost, so that calls spread over equal candidates. */
constexpr double kTieBreakNoise = 0.05;
/** Share by which calls take longer if all slots of a server are busy. */
constexpr double kCrowdingPenalty = 0.5;
/** Added to the cost factor of a server whose calls all fail. */
constexpr double kFailurePenalty = 4;
/** Weight of one report in the moving average of a route's service time. */
constexpr double kRouteAverageWeight = 0.05;
constexpr double kPercent = 100;
constexpr double kMicrosecondsPerMs = 1000;

} // namespace

LoadBalancer::LoadBalancer(LoadBalancerOptions aOptions, std::uint64_t aSeed)
  : mOptions(aOptions)
  , mRandom(aSeed)
{
}

const Target*
LoadBalancer::Pick(const RoutingView& aView,
                   const PickCriteria& aCriteria,
                   Timestamp aNow)
{
  const auto it = aView.targets.find(aCriteria.service);
  if (it == aView.targets.end()) {
    return nullptr;
  }
  Candidates all;
  for (const auto& target : it->second) {
    if (!target.evacuated && aCriteria.versions.Matches(target.version) &&
        std::ranges::find(aCriteria.excludedNodes, target.node) ==
          aCriteria.excludedNodes.end()) {
      all.push_back(&target);
    }
  }
  RemoveUnreachable(all, aNow);
  Candidates usable = WithoutEjected(all, aNow);
  Sample(usable, aCriteria.zone);
  const Target* best = nullptr;
  double bestCost = 0;
  std::uniform_real_distribution<double> noise(1, 1 + kTieBreakNoise);
  for (const Target* target : usable) {
    const double cost = Cost(*target, aCriteria, aNow) * noise(mRandom);
    if (!best || cost < bestCost) {
      best = target;
      bestCost = cost;
    }
  }
  if (best) {
    mStates[static_cast<std::uint64_t>(best->node)].zone = best->zone;
    if (IsUnreachable(best->zone)) {
      mZones.at(best->zone).nextProbeAt = aNow + mOptions.zoneProbeInterval;
    }
  }
  return best;
}

void
LoadBalancer::RemoveUnreachable(Candidates& aCandidates, Timestamp aNow) const
{
  const auto isUsed = [&](const Target* aTarget) {
    return !IsUnreachable(aTarget->zone) ||
           aNow >= mZones.at(aTarget->zone).nextProbeAt;
  };
  if (std::ranges::any_of(aCandidates, isUsed)) {
    std::erase_if(aCandidates,
                  [&](const Target* aTarget) { return !isUsed(aTarget); });
  }
}

bool
LoadBalancer::IsUnreachable(const std::string& aZone) const
{
  const auto it = mZones.find(aZone);
  return it != mZones.end() && it->second.failedNodes.size() >=
                                 mOptions.failuresBeforeZoneIsUnreachable;
}

void
LoadBalancer::Abandon(nodes::NodeId aNode)
{
  NodeState& state = mStates[static_cast<std::uint64_t>(aNode)];
  state.outstanding -= state.outstanding > 0 ? 1 : 0;
}

void
LoadBalancer::Start(nodes::NodeId aNode)
{
  ++mStates[static_cast<std::uint64_t>(aNode)].outstanding;
}

void
LoadBalancer::Finish(nodes::NodeId aNode, bool aReached, Timestamp aNow)
{
  Abandon(aNode);
  NodeState& state = mStates[static_cast<std::uint64_t>(aNode)];
  ZoneState& zone = mZones[state.zone];
  if (aReached) {
    state.consecutiveFailures = 0;
    state.consecutiveEjections = 0;
    zone.failedNodes.clear();
    return;
  }
  const bool isNew =
    zone.failedNodes.insert(static_cast<std::uint64_t>(aNode)).second;
  if (isNew &&
      zone.failedNodes.size() == mOptions.failuresBeforeZoneIsUnreachable) {
    zone.nextProbeAt = aNow + mOptions.zoneProbeInterval;
  }
  if (++state.consecutiveFailures < mOptions.failuresBeforeEjection) {
    return;
  }
  state.consecutiveFailures = 0;
  const auto doubled = mOptions.baseEjectionTime *
                       (1LL << std::min(state.consecutiveEjections, 10U));
  state.ejectedUntil =
    aNow + std::min<Milliseconds>(doubled, mOptions.maxEjectionTime);
  ++state.consecutiveEjections;
}

void
LoadBalancer::ReportLoad(nodes::NodeId aNode,
                         const std::string& aRoute,
                         const backends::ServerLoad& aLoad,
                         Timestamp aNow)
{
  NodeState& state = mStates[static_cast<std::uint64_t>(aNode)];
  state.load = aLoad;
  state.outstandingAtReport = state.outstanding;
  state.reportedAt = aNow;
  if (aLoad.routeMs > 0) {
    state.routeMs[aRoute] = aLoad.routeMs;
    const auto [it, isNew] = mRouteMs.try_emplace(aRoute, aLoad.routeMs);
    it->second += kRouteAverageWeight * (aLoad.routeMs - it->second);
  }
}

double
LoadBalancer::RouteMs(const std::string& aRoute) const
{
  const auto it = mRouteMs.find(aRoute);
  return it == mRouteMs.end() ? 0 : it->second;
}

double
LoadBalancer::ServiceMs(const NodeState& aState,
                        const std::string& aRoute) const
{
  if (const auto own = aState.routeMs.find(aRoute);
      own != aState.routeMs.end()) {
    return own->second;
  }
  // Without a report of this node, the average of all nodes is used.
  const auto all = mRouteMs.find(aRoute);
  return all == mRouteMs.end()
           ? static_cast<double>(mOptions.defaultServiceTime.count())
           : all->second;
}

bool
LoadBalancer::IsEjected(nodes::NodeId aNode, Timestamp aNow) const
{
  const auto it = mStates.find(static_cast<std::uint64_t>(aNode));
  return it != mStates.end() && it->second.ejectedUntil > aNow;
}

double
LoadBalancer::OtherNodesCalls(const NodeState& aState, Timestamp aNow) const
{
  const double reported = aState.load.busy + aState.load.queued;
  const double otherCalls =
    std::max(0.0, reported - static_cast<double>(aState.outstandingAtReport));
  return otherCalls * ReportDecay(aState, aNow);
}

double
LoadBalancer::ReportDecay(const NodeState& aState, Timestamp aNow) const
{
  const std::chrono::duration<double, std::milli> age =
    aNow - aState.reportedAt;
  return std::exp2(-age.count() /
                   static_cast<double>(mOptions.loadHalfLife.count()));
}

double
LoadBalancer::RateWaitMs(const NodeState& aState, Timestamp aNow) const
{
  if (aState.load.rateIntervalUs == 0) {
    return 0;
  }
  const std::uint32_t sentSinceReport =
    aState.outstanding -
    std::min(aState.outstanding, aState.outstandingAtReport);
  return aState.load.rateWaitMs * ReportDecay(aState, aNow) +
         sentSinceReport * aState.load.rateIntervalUs / kMicrosecondsPerMs;
}

double
LoadBalancer::Cost(const Target& aTarget,
                   const PickCriteria& aCriteria,
                   Timestamp aNow) const
{
  static const NodeState kNoReport;
  const auto it = mStates.find(static_cast<std::uint64_t>(aTarget.node));
  const NodeState& state = it == mStates.end() ? kNoReport : it->second;
  const double slots = std::max(aTarget.slots, 1U);
  const double calls = state.outstanding + OtherNodesCalls(state, aNow);
  const double service = ServiceMs(state, aCriteria.route);
  const double slotHoldMs =
    state.load.serviceMs > 0 ? state.load.serviceMs : service;
  const double crowding = 1 + kCrowdingPenalty * std::min(1.0, calls / slots);
  const double waitMs =
    std::max(slotHoldMs * std::max(0.0, calls + 1 - slots) / slots,
             RateWaitMs(state, aNow));
  const double failures =
    1 + kFailurePenalty * state.load.failedPercent / kPercent;
  const double zonePenaltyMs =
    aTarget.zone == aCriteria.zone
      ? 0
      : std::max(service * mOptions.serviceTimeZonePenalty,
                 static_cast<double>(aCriteria.targetLatency.count()) *
                   mOptions.targetLatencyZonePenalty);
  return (service * crowding + waitMs) * failures + zonePenaltyMs;
}

bool
LoadBalancer::IsUsable(const Target& aTarget, Timestamp aNow) const
{
  return !aTarget.suspect && !IsEjected(aTarget.node, aNow);
}

LoadBalancer::Candidates
LoadBalancer::WithoutEjected(const Candidates& aAll, Timestamp aNow) const
{
  Candidates usable;
  std::ranges::copy_if(
    aAll, std::back_inserter(usable), [&](const Target* aTarget) {
      return IsUsable(*aTarget, aNow);
    });
  const auto ejected = static_cast<double>(aAll.size() - usable.size());
  return ejected > mOptions.panicThreshold * static_cast<double>(aAll.size())
           ? aAll
           : usable;
}

void
LoadBalancer::Sample(Candidates& aCandidates, const std::string& aZone)
{
  if (aCandidates.size() <= mOptions.maxCandidates) {
    return;
  }
  std::shuffle(aCandidates.begin(), aCandidates.end(), mRandom);
  // Half of the sample comes from the own zone, if that has enough nodes.
  const auto otherZones = std::stable_partition(
    aCandidates.begin(), aCandidates.end(), [&aZone](const Target* aTarget) {
      return aTarget->zone == aZone;
    });
  const auto local = static_cast<std::size_t>(otherZones - aCandidates.begin());
  const std::size_t kept = std::min(local, mOptions.maxCandidates / 2);
  std::rotate(aCandidates.begin() + static_cast<std::ptrdiff_t>(kept),
              otherZones,
              aCandidates.end());
  aCandidates.resize(mOptions.maxCandidates);
}

} // namespace knapweedpaddle::routing
