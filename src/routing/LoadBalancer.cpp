#include "knapweedpaddle/routing/LoadBalancer.h"

#include "knapweedpaddle/routing/VersionSelector.h"

#include <algorithm>
#include <cmath>

namespace knapweedpaddle::routing {

namespace {

constexpr double kTieNoise = 0.05;      ///< spreads calls over equal candidates
constexpr double kCrowdingWeight = 0.5; ///< slowdown of a full server
constexpr double kFailureWeight = 4;    ///< cost of a failure, in service times
constexpr double kRouteWeight = 0.05;   ///< of one report in a route's average
constexpr double kPercent = 100;

} // namespace

LoadBalancer::LoadBalancer(LoadBalancerOptions aOptions, std::uint64_t aSeed)
  : mOptions(aOptions)
  , mRandom(aSeed)
{
}

const Target*
LoadBalancer::Pick(const RoutingView& aView,
                   const PickCriteria& aQuery,
                   Timestamp aNow)
{
  const auto it = aView.targets.find(aQuery.service);
  if (it == aView.targets.end()) {
    return nullptr;
  }
  const VersionSelector selector = VersionSelector::Parse(aQuery.version);
  Candidates all;
  for (const auto& target : it->second) {
    if (selector.Matches(target.version) &&
        std::ranges::find(aQuery.excludedNodes, target.node) ==
          aQuery.excludedNodes.end()) {
      all.push_back(&target);
    }
  }
  Candidates usable = WithoutEjected(all, aNow);
  Sample(usable, aQuery.zone);
  const Target* best = nullptr;
  double bestCost = 0;
  std::uniform_real_distribution<double> noise(1, 1 + kTieNoise);
  for (const Target* target : usable) {
    const double cost = Cost(*target, aQuery, aNow) * noise(mRandom);
    if (!best || cost < bestCost) {
      best = target;
      bestCost = cost;
    }
  }
  return best;
}

void
LoadBalancer::Start(nodes::NodeId aNode)
{
  ++mStates[static_cast<std::uint64_t>(aNode)].outstanding;
}

void
LoadBalancer::Finish(nodes::NodeId aNode, bool aReached, Timestamp aNow)
{
  State& state = mStates[static_cast<std::uint64_t>(aNode)];
  if (state.outstanding > 0) {
    --state.outstanding;
  }
  if (aReached) {
    state.failures = 0;
    state.ejections = 0;
    return;
  }
  if (++state.failures < mOptions.failuresBeforeEjection) {
    return;
  }
  state.failures = 0;
  const auto doubled =
    mOptions.baseEjectionTime * (1LL << std::min(state.ejections, 10U));
  state.ejectedUntil =
    aNow + std::min<Milliseconds>(doubled, mOptions.maxEjectionTime);
  ++state.ejections;
}

void
LoadBalancer::ReportLoad(nodes::NodeId aNode,
                         const std::string& aRoute,
                         const backends::ServerLoad& aLoad,
                         Timestamp aNow)
{
  State& state = mStates[static_cast<std::uint64_t>(aNode)];
  state.load = aLoad;
  state.outstandingAtReport = state.outstanding;
  state.reportedAt = aNow;
  if (aLoad.routeMs > 0) {
    state.routeMs[aRoute] = aLoad.routeMs;
    const auto [it, isNew] = mRouteMs.try_emplace(aRoute, aLoad.routeMs);
    it->second += kRouteWeight * (aLoad.routeMs - it->second);
  }
}

double
LoadBalancer::RouteMs(const std::string& aRoute) const
{
  const auto it = mRouteMs.find(aRoute);
  return it == mRouteMs.end() ? 0 : it->second;
}

double
LoadBalancer::ServiceMs(const State& aState, const std::string& aRoute) const
{
  if (const auto own = aState.routeMs.find(aRoute);
      own != aState.routeMs.end()) {
    return own->second;
  }
  // What is not known of this node is taken from the others.
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
LoadBalancer::OthersCalls(const State& aState, Timestamp aNow) const
{
  const double reported = aState.load.busy + aState.load.queued;
  const double others =
    std::max(0.0, reported - static_cast<double>(aState.outstandingAtReport));
  const std::chrono::duration<double, std::milli> age =
    aNow - aState.reportedAt;
  return others * std::exp2(-age.count() /
                            static_cast<double>(mOptions.loadHalfLife.count()));
}

double
LoadBalancer::Cost(const Target& aTarget,
                   const PickCriteria& aQuery,
                   Timestamp aNow) const
{
  static const State kUnknown;
  const auto it = mStates.find(static_cast<std::uint64_t>(aTarget.node));
  const State& state = it == mStates.end() ? kUnknown : it->second;
  const double slots = std::max(aTarget.slots, 1U);
  const double calls = state.outstanding + OthersCalls(state, aNow);
  const double service = ServiceMs(state, aQuery.route);
  const double turn = state.load.serviceMs > 0 ? state.load.serviceMs : service;
  const double crowding = 1 + kCrowdingWeight * std::min(1.0, calls / slots);
  const double wait = turn * std::max(0.0, calls + 1 - slots) / slots;
  const double failures =
    1 + kFailureWeight * state.load.failedPercent / kPercent;
  const double away = aTarget.zone == aQuery.zone
                        ? 0
                        : std::max(service * mOptions.serviceTimeZonePenalty,
                                   static_cast<double>(aQuery.target.count()) *
                                     mOptions.targetLatencyZonePenalty);
  return (service * crowding + wait) * failures + away;
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
  // Half of the sample from the own zone, if it has so many.
  const auto away = std::stable_partition(
    aCandidates.begin(), aCandidates.end(), [&aZone](const Target* aTarget) {
      return aTarget->zone == aZone;
    });
  const auto local = static_cast<std::size_t>(away - aCandidates.begin());
  const std::size_t kept = std::min(local, mOptions.maxCandidates / 2);
  std::rotate(aCandidates.begin() + static_cast<std::ptrdiff_t>(kept),
              away,
              aCandidates.end());
  aCandidates.resize(mOptions.maxCandidates);
}

} // namespace knapweedpaddle::routing
