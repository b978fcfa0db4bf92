#include "knapweedpaddle/moves/ZoneMoveEvaluator.h"

#include "knapweedpaddle/moves/MoveSchedule.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace knapweedpaddle::moves {

using config::MoveEntry;
using nodes::MoveProgress;

namespace {

/** Calls of the new version that a stage asks for. */
constexpr std::uint64_t kEnoughCalls = 20;

/** Evidence against the version, as a share of the threshold, that holds a
 * stage. */
constexpr double kHoldSuspicion = 0.25;

/** Name of the test of all routes together. */
const std::string kAllRoutes = "all routes";

/** The higher of what the old version showed on the route and on all routes. */
std::optional<double>
Highest(const OldVersionBadRate& aRoute, const OldVersionBadRate& aAll)
{
  const auto route = aRoute.Share();
  const auto all = aAll.Share();
  return route && all ? std::max(*route, *all) : (route ? route : all);
}

CusumOptions
SlowOptions()
{
  CusumOptions options;
  options.alwaysAllowedShare = 0.05;
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
        const CusumDetector& aTest,
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
                aTest.AllowedShare() * 100);
  return buf.data();
}

} // namespace

ZoneMoveEvaluator::RouteState::RouteState()
  : failures(CusumOptions{})
  , slow(SlowOptions())
{
}

ZoneMoveEvaluator::ZoneMoveEvaluator(std::string aZone)
  : mZone(std::move(aZone))
{
}

void
ZoneMoveEvaluator::Report(const EvidenceReport& aReport)
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
ZoneMoveEvaluator::Evaluate(const config::Snapshot& aSnapshot,
                            const MoveTracker& aBoard,
                            WallMilliseconds aNow)
{
  std::vector<MoveProgress> changes;
  std::map<std::string, MoveAssessment> opinions;
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
    MoveAssessment& opinion = opinions[id.name];
    opinion.stage = stage;
    opinion.late = IsLate(*move, stage, aNow);
    opinion.suspicion = Suspicion(item);
    if (aBoard.CondemnationReason(*move)) {
      continue;
    }
    MoveProgress progress{ id.name, item.revision, mZone, stage, false, "" };
    if (!verdict.empty()) {
      progress.condemned = true;
      progress.reason = verdict + " (zone " + mZone + ")";
      changes.push_back(progress);
    } else if (MayAdvance(item, *move, aNow)) {
      ++progress.stage;
      changes.push_back(progress);
    }
    for (const auto& [rid, candidate] : aSnapshot.entries) {
      const auto* route = std::get_if<config::RouteEntry>(&candidate);
      if (route && route->service == move->service &&
          item.routes[rid.name].stageCalls < kEnoughCalls) {
        opinion.routesWithoutEnoughCalls.push_back(rid.name);
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
ZoneMoveEvaluator::Test(MoveCase& aCase, const MoveEntry& aMove)
{
  const auto& intervals = mIntervals[aMove.header.name];
  Interval sum;
  for (const auto& [name, interval] : intervals) {
    AddGrowth(sum.before, interval.before, VersionCounts{});
    AddGrowth(sum.after, interval.after, VersionCounts{});
  }
  std::string verdict = TestRoute(aCase.all, aCase.all, kAllRoutes, sum);
  for (const auto& [name, interval] : intervals) {
    std::string text = TestRoute(aCase.routes[name], aCase.all, name, interval);
    if (!text.empty()) {
      verdict = std::move(text);
    }
  }
  return verdict;
}

std::string
ZoneMoveEvaluator::TestRoute(RouteState& aRoute,
                             const RouteState& aAll,
                             const std::string& aName,
                             const Interval& aInterval)
{
  const VersionCounts& before = aInterval.before;
  const VersionCounts& after = aInterval.after;
  aRoute.oldFailures.Add({ before.calls, before.failures });
  aRoute.oldSlow.Add({ before.calls, before.slow });
  aRoute.stageCalls += after.calls;
  const CallCounts failed{ after.calls, after.failures };
  const CallCounts slow{ after.calls, after.slow };
  if (aRoute.failures.Add(Highest(aRoute.oldFailures, aAll.oldFailures),
                          failed)) {
    return Verdict(aName, "failed", aRoute.failures, failed);
  }
  if (aRoute.slow.Add(Highest(aRoute.oldSlow, aAll.oldSlow), slow)) {
    return Verdict(aName, "slow", aRoute.slow, slow);
  }
  return {};
}

double
ZoneMoveEvaluator::Suspicion(const MoveCase& aCase)
{
  double most =
    std::max(aCase.all.failures.Suspicion(), aCase.all.slow.Suspicion());
  for (const auto& [name, route] : aCase.routes) {
    most =
      std::max({ most, route.failures.Suspicion(), route.slow.Suspicion() });
  }
  return most;
}

bool
ZoneMoveEvaluator::MayAdvance(const MoveCase& aCase,
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
  if (dwelt < (baking ? aMove.bake.count() : kMinStageTime.count())) {
    return false;
  }
  if (Suspicion(aCase) >= kHoldSuspicion) {
    return false;
  }
  // A stage with too few calls to judge waits for one more step of the
  // schedule; a quiet route alone does not hold it.
  return aCase.all.stageCalls >= kEnoughCalls ||
         aNow >= StageStart(aMove, aCase.stage + 2);
}

} // namespace knapweedpaddle::moves
