#include "knapweedpaddle/routing/Picker.h"

#include <algorithm>

namespace knapweedpaddle::routing {

Picker::Picker(PickerOptions aOptions, std::uint64_t aSeed)
  : mOptions(aOptions)
  , mRandom(aSeed)
{
}

const Target*
Picker::Pick(const RoutingView& aView, const PickQuery& aQuery, Timestamp aNow)
{
  const auto it = aView.targets.find(aQuery.service);
  if (it == aView.targets.end()) {
    return nullptr;
  }
  Candidates all;
  for (const auto& target : it->second) {
    if (target.version == aQuery.version &&
        std::ranges::find(aQuery.excluding, target.node) ==
          aQuery.excluding.end()) {
      all.push_back(&target);
    }
  }
  const Candidates usable = WithoutEjected(all, aNow);
  Candidates local;
  std::ranges::copy_if(
    usable, std::back_inserter(local), [&aQuery](const Target* aTarget) {
      return aTarget->zone == aQuery.zone;
    });
  if (!local.empty() && !IsZoneBusy(local, aNow)) {
    return BetterOfTwo(local, aNow);
  }
  return BetterOfTwo(usable, aNow);
}

void
Picker::Start(nodes::NodeId aNode)
{
  ++mStates[static_cast<std::uint64_t>(aNode)].outstanding;
}

void
Picker::Finish(nodes::NodeId aNode, bool aReached, Timestamp aNow)
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
  if (++state.failures < mOptions.failuresToEject) {
    return;
  }
  state.failures = 0;
  const auto doubled =
    mOptions.ejectionBase * (1LL << std::min(state.ejections, 10U));
  state.ejectedUntil =
    aNow + std::min<Milliseconds>(doubled, mOptions.ejectionMost);
  ++state.ejections;
}

void
Picker::ReportLoad(nodes::NodeId aNode,
                   std::uint32_t aBusySlots,
                   Timestamp aNow)
{
  State& state = mStates[static_cast<std::uint64_t>(aNode)];
  state.reportedBusy = aBusySlots;
  state.reportedAt = aNow;
}

bool
Picker::IsEjected(nodes::NodeId aNode, Timestamp aNow) const
{
  const auto it = mStates.find(static_cast<std::uint64_t>(aNode));
  return it != mStates.end() && it->second.ejectedUntil > aNow;
}

double
Picker::Utilisation(const Target& aTarget, Timestamp aNow) const
{
  const auto it = mStates.find(static_cast<std::uint64_t>(aTarget.node));
  if (it == mStates.end()) {
    return 0;
  }
  const State& state = it->second;
  std::uint32_t busy = state.outstanding;
  if (aNow - state.reportedAt < mOptions.loadFresh) {
    busy = std::max(busy, state.reportedBusy);
  }
  return static_cast<double>(busy) / std::max(aTarget.slots, 1U);
}

bool
Picker::IsUsable(const Target& aTarget, Timestamp aNow) const
{
  return !aTarget.suspect && !IsEjected(aTarget.node, aNow);
}

Picker::Candidates
Picker::WithoutEjected(const Candidates& aAll, Timestamp aNow) const
{
  Candidates usable;
  std::ranges::copy_if(
    aAll, std::back_inserter(usable), [&](const Target* aTarget) {
      return IsUsable(*aTarget, aNow);
    });
  const auto ejected = static_cast<double>(aAll.size() - usable.size());
  return ejected > mOptions.panicShare * static_cast<double>(aAll.size())
           ? aAll
           : usable;
}

bool
Picker::IsZoneBusy(const Candidates& aLocal, Timestamp aNow) const
{
  double busy = 0;
  for (const Target* it : aLocal) {
    busy += Utilisation(*it, aNow);
  }
  return busy / static_cast<double>(aLocal.size()) > mOptions.spillUtilisation;
}

const Target*
Picker::BetterOfTwo(const Candidates& aCandidates, Timestamp aNow)
{
  if (aCandidates.empty()) {
    return nullptr;
  }
  const Target* first = aCandidates[mRandom() % aCandidates.size()];
  const Target* second = aCandidates[mRandom() % aCandidates.size()];
  return Utilisation(*second, aNow) < Utilisation(*first, aNow) ? second
                                                                : first;
}

} // namespace knapweedpaddle::routing
