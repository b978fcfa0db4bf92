#include "knapweedpaddle/moves/ZoneJudge.h"

#include "knapweedpaddle/moves/MoveSchedule.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace knapweedpaddle::moves {

using config::MoveEntry;
using nodes::MoveProgress;

namespace {

/** Calls of the new version on a route that a stage asks for. */
constexpr std::uint64_t kEnoughCalls = 20;

/** Evidence against the version, as a share of the threshold, that holds a
 * stage. */
constexpr double kHoldSuspicion = 0.5;

/** How long a stage waits for calls on quiet routes. */
constexpr Milliseconds kQuietWait{ 5000 };

VersionTestOptions
SlowOptions()
{
  VersionTestOptions options;
  options.tolerance = 0.05;
  options.aloneTolerance = 0.1;
  return options;
}

std::uint64_t
Grown(std::uint64_t aNow, std::uint64_t aBefore)
{
  return aNow > aBefore ? aNow - aBefore : 0;
}

void
AddGrowth(VersionCounts& aSum,
          const VersionCounts& aNow,
          const VersionCounts& aBefore)
{
  aSum.calls += Grown(aNow.calls, aBefore.calls);
  aSum.failures += Grown(aNow.failures, aBefore.failures);
  aSum.slow += Grown(aNow.slow, aBefore.slow);
}

std::string
Verdict(const std::string& aRoute,
        const char* aWhat,
        const VersionTest& aTest,
        const CallCounts& aLast)
{
  std::array<char, 256> buf{};
  std::snprintf(buf.data(),
                buf.size(),
                "%s calls on route \"%.100s\": %llu of the last %llu, more "
                "than the %.1f%% allowed",
                aWhat,
                aRoute.c_str(),
                static_cast<unsigned long long>(aLast.bad),
                static_cast<unsigned long long>(aLast.calls),
                aTest.Allowed() * 100);
  return buf.data();
}

} // namespace

ZoneJudge::RouteState::RouteState()
  : failures(VersionTestOptions{})
  , slow(SlowOptions())
{
}

ZoneJudge::ZoneJudge(std::string aZone)
  : mZone(std::move(aZone))
{
}

void
ZoneJudge::Report(const EvidenceReport& aReport)
{
  for (const auto& it : aReport.routes) {
    const OwnerKey key{ static_cast<std::uint64_t>(aReport.node),
                        it.move,
                        it.route };
    const auto [known, added] = mOwners.try_emplace(key);
    OwnerCounts& counts = known->second;
    if (counts.incarnation != aReport.incarnation) {
      // A new judge can't tell when an owner's earlier calls were made, but a
      // restarted owner counts from zero.
      const bool restarted = !added;
      counts = OwnerCounts{ aReport.incarnation,
                            restarted ? VersionCounts{} : it.before,
                            restarted ? VersionCounts{} : it.after };
    }
    Interval& interval = mIntervals[it.move][it.route];
    AddGrowth(interval.before, it.before, counts.before);
    AddGrowth(interval.after, it.after, counts.after);
    counts.before = it.before;
    counts.after = it.after;
  }
}

std::vector<MoveProgress>
ZoneJudge::Judge(const config::Snapshot& aSnapshot,
                 const MoveBoard& aBoard,
                 WallMilliseconds aNow)
{
  std::vector<MoveProgress> changes;
  std::map<std::string, MoveOpinion> opinions;
  for (const auto& [id, entry] : aSnapshot.entries) {
    const auto* move = std::get_if<MoveEntry>(&entry);
    if (!move || move->state != config::MoveState::kOpen) {
      continue;
    }
    MoveCase& item = mCases[id.name];
    if (item.revision != move->header.revision) {
      item = MoveCase{};
      item.revision = move->header.revision;
    }
    const std::uint32_t stage = aBoard.StageIn(*move, mZone);
    if (stage != item.stage || item.stageSince == 0) {
      item.stage = stage;
      item.stageSince = aNow;
      for (auto& [name, route] : item.routes) {
        route.stageCalls = 0;
      }
    }
    const std::string verdict = Test(item, *move);
    MoveOpinion& opinion = opinions[id.name];
    opinion.move = id.name;
    opinion.stage = stage;
    opinion.late = IsLate(*move, stage, aNow);
    for (const auto& [name, route] : item.routes) {
      opinion.suspicion = std::max({ opinion.suspicion,
                                     route.failures.Suspicion(),
                                     route.slow.Suspicion() });
    }
    if (aBoard.Verdict(*move)) {
      continue;
    }
    MoveProgress progress{ id.name, item.revision, mZone, stage, false, "" };
    if (!verdict.empty()) {
      progress.condemned = true;
      progress.reason = verdict + " (zone " + mZone + ")";
      changes.push_back(progress);
    } else if (MayAdvance(item, aSnapshot, *move, aNow)) {
      ++progress.stage;
      changes.push_back(progress);
    }
    for (const auto& [rid, candidate] : aSnapshot.entries) {
      const auto* route = std::get_if<config::RouteEntry>(&candidate);
      if (route && route->service == move->service &&
          item.routes[rid.name].stageCalls < kEnoughCalls) {
        opinion.unproven.push_back(rid.name);
      }
    }
  }
  mOpinions = std::move(opinions);
  std::erase_if(mCases, [this](const auto& aItem) {
    return !mOpinions.contains(aItem.first);
  });
  std::erase_if(mOwners, [this](const auto& aItem) {
    return !mOpinions.contains(aItem.first.move);
  });
  mIntervals.clear();
  return changes;
}

std::string
ZoneJudge::Test(MoveCase& aCase, const MoveEntry& aMove)
{
  std::string verdict;
  for (const auto& [name, interval] : mIntervals[aMove.header.name]) {
    RouteState& route = aCase.routes[name];
    const VersionCounts& before = interval.before;
    const VersionCounts& after = interval.after;
    route.stageCalls += after.calls;
    const CallCounts failed{ after.calls, after.failures };
    const CallCounts slow{ after.calls, after.slow };
    if (route.failures.Add({ before.calls, before.failures }, failed)) {
      verdict = Verdict(name, "failed", route.failures, failed);
    } else if (route.slow.Add({ before.calls, before.slow }, slow)) {
      verdict = Verdict(name, "slow", route.slow, slow);
    }
  }
  return verdict;
}

bool
ZoneJudge::MayAdvance(MoveCase& aCase,
                      const config::Snapshot& aSnapshot,
                      const MoveEntry& aMove,
                      WallMilliseconds aNow)
{
  if (aCase.stage >= kLastStage || aNow < StageStart(aMove, aCase.stage + 1)) {
    return false;
  }
  if (aCase.stage == 0) {
    return true;
  }
  const WallMilliseconds dwelt = aNow - aCase.stageSince;
  const bool baking = aCase.stage == static_cast<std::uint32_t>(Stage::kAll);
  if (dwelt < (baking ? aMove.bake.count() : kLeastDwell.count())) {
    return false;
  }
  for (const auto& [id, entry] : aSnapshot.entries) {
    const auto* route = std::get_if<config::RouteEntry>(&entry);
    if (!route || route->service != aMove.service) {
      continue;
    }
    const RouteState& state = aCase.routes[id.name];
    if (std::max(state.failures.Suspicion(), state.slow.Suspicion()) >=
        kHoldSuspicion) {
      return false;
    }
    if (state.stageCalls < kEnoughCalls && dwelt < kQuietWait.count()) {
      return false;
    }
  }
  return true;
}

} // namespace knapweedpaddle::moves
