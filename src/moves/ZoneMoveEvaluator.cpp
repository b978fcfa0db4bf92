#include "knapweedpaddle/moves/ZoneMoveEvaluator.h"

#include "knapweedpaddle/moves/MoveSchedule.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace knapweedpaddle::moves {

using config::MoveEntry;
using nodes::MoveProgress;

namespace {

/** Calls that the new version must get in a stage to be judged. */
constexpr std::uint64_t kMinStageCalls = 20;

/** Suspicion from which on a move stays in its stage; 1 would condemn it. */
constexpr double kHoldSuspicion = 0.25;

/** Name of all routes together in messages. */
const std::string kAllRoutes = "all routes";

/** Returns the higher of the old version's shares of bad calls on a route and
 * on all routes. */
std::optional<double>
HigherShare(const OldVersionBadRate& aRoute, const OldVersionBadRate& aAll)
{
  const auto route = aRoute.Share();
  const auto all = aAll.Share();
  return route && all ? std::max(*route, *all) : (route ? route : all);
}

/** Returns options that allow a higher share for slow calls than for failures.
 */
CusumOptions
SlowCallOptions()
{
  CusumOptions options;
  options.alwaysAllowedShare = 0.05;
  return options;
}

std::uint64_t
Increase(std::uint64_t aNow, std::uint64_t aEarlier)
{
  return aNow > aEarlier ? aNow - aEarlier : 0;
}

void
AddIncrease(VersionCounts& aSum,
            const VersionCounts& aNow,
            const VersionCounts& aEarlier)
{
  aSum.calls += Increase(aNow.calls, aEarlier.calls);
  aSum.failures += Increase(aNow.failures, aEarlier.failures);
  aSum.slow += Increase(aNow.slow, aEarlier.slow);
}

std::string
DescribeRegression(const std::string& aRoute,
                   const char* aFault,
                   const CusumDetector& aDetector,
                   const CallCounts& aInterval)
{
  std::array<char, 256> buf{};
  std::snprintf(buf.data(),
                buf.size(),
                "%s calls on route \"%.100s\": %llu of the last %llu, more "
                "than the %.1f%% allowed",
                aFault,
                aRoute.c_str(),
                static_cast<unsigned long long>(aInterval.bad),
                static_cast<unsigned long long>(aInterval.calls),
                aDetector.AllowedShare() * 100);
  return buf.data();
}

} // namespace

ZoneMoveEvaluator::RouteAnalysis::RouteAnalysis()
  : failures(CusumOptions{})
  , slow(SlowCallOptions())
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
    const ReporterKey key{ static_cast<std::uint64_t>(aReport.node),
                           it.move,
                           it.route };
    const auto [known, added] = mReported.try_emplace(key);
    ReportedCounts& counts = known->second;
    if (counts.incarnation != aReport.incarnation) {
      // A first report counts as the baseline, as it is not known when its
      // calls were made. A restarted node has counted from zero.
      const bool restarted = !added;
      counts = ReportedCounts{ aReport.incarnation,
                               restarted ? VersionCounts{} : it.before,
                               restarted ? VersionCounts{} : it.after };
    }
    Interval& interval = mIntervals[it.move][it.route];
    AddIncrease(interval.before, it.before, counts.before);
    AddIncrease(interval.after, it.after, counts.after);
    counts.before = it.before;
    counts.after = it.after;
  }
}

std::vector<MoveProgress>
ZoneMoveEvaluator::Evaluate(const config::Snapshot& aSnapshot,
                            const MoveTracker& aTracker,
                            WallMilliseconds aNow)
{
  std::vector<MoveProgress> changes;
  std::map<std::string, MoveAssessment> assessments;
  for (const auto& [id, entry] : aSnapshot.entries) {
    const auto* move = std::get_if<MoveEntry>(&entry);
    if (!move || move->state != config::MoveState::kOpen) {
      continue;
    }
    MoveAnalysis& analysis = mAnalyses[id.name];
    if (analysis.revision != move->header.revision) {
      analysis = MoveAnalysis{};
      analysis.revision = move->header.revision;
    }
    const std::uint32_t stage = aTracker.StageIn(*move, mZone);
    if (stage != analysis.stage || analysis.stageSince == 0) {
      analysis.stage = stage;
      analysis.stageSince = aNow;
      for (auto& [name, route] : analysis.routes) {
        route.stageCalls = 0;
      }
    }
    const std::string regression = FindRegression(analysis, *move);
    MoveAssessment& assessment = assessments[id.name];
    assessment.stage = stage;
    assessment.late = IsLate(*move, stage, aNow);
    assessment.suspicion = Suspicion(analysis);
    if (aTracker.CondemnationReason(*move)) {
      continue;
    }
    MoveProgress progress{
      id.name, analysis.revision, mZone, stage, false, ""
    };
    if (!regression.empty()) {
      progress.condemned = true;
      progress.reason = regression + " (zone " + mZone + ")";
      changes.push_back(progress);
    } else if (MayAdvance(analysis, *move, aNow)) {
      ++progress.stage;
      changes.push_back(progress);
    }
    for (const auto& [routeId, candidate] : aSnapshot.entries) {
      const auto* route = std::get_if<config::RouteEntry>(&candidate);
      if (route && route->service == move->service &&
          analysis.routes[routeId.name].stageCalls < kMinStageCalls) {
        assessment.routesWithoutEnoughCalls.push_back(routeId.name);
      }
    }
  }
  mAssessments = std::move(assessments);
  std::erase_if(mAnalyses, [this](const auto& aItem) {
    return !mAssessments.contains(aItem.first);
  });
  std::erase_if(mReported, [this](const auto& aItem) {
    return !mAssessments.contains(aItem.first.move);
  });
  mIntervals.clear();
  return changes;
}

std::string
ZoneMoveEvaluator::FindRegression(MoveAnalysis& aAnalysis,
                                  const MoveEntry& aMove)
{
  const auto& intervals = mIntervals[aMove.header.name];
  Interval sum;
  for (const auto& [name, interval] : intervals) {
    AddIncrease(sum.before, interval.before, VersionCounts{});
    AddIncrease(sum.after, interval.after, VersionCounts{});
  }
  std::string regression =
    FindRouteRegression(aAnalysis.all, aAnalysis.all, kAllRoutes, sum);
  for (const auto& [name, interval] : intervals) {
    std::string text = FindRouteRegression(
      aAnalysis.routes[name], aAnalysis.all, name, interval);
    if (!text.empty()) {
      regression = std::move(text);
    }
  }
  return regression;
}

std::string
ZoneMoveEvaluator::FindRouteRegression(RouteAnalysis& aRoute,
                                       const RouteAnalysis& aAll,
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
  if (aRoute.failures.Add(HigherShare(aRoute.oldFailures, aAll.oldFailures),
                          failed)) {
    return DescribeRegression(aName, "failed", aRoute.failures, failed);
  }
  if (aRoute.slow.Add(HigherShare(aRoute.oldSlow, aAll.oldSlow), slow)) {
    return DescribeRegression(aName, "slow", aRoute.slow, slow);
  }
  return {};
}

double
ZoneMoveEvaluator::Suspicion(const MoveAnalysis& aAnalysis)
{
  double highest = std::max(aAnalysis.all.failures.Suspicion(),
                            aAnalysis.all.slow.Suspicion());
  for (const auto& [name, route] : aAnalysis.routes) {
    highest =
      std::max({ highest, route.failures.Suspicion(), route.slow.Suspicion() });
  }
  return highest;
}

bool
ZoneMoveEvaluator::MayAdvance(const MoveAnalysis& aAnalysis,
                              const MoveEntry& aMove,
                              WallMilliseconds aNow)
{
  if (aAnalysis.stage >= kLastStage ||
      aNow < StageStart(aMove, aAnalysis.stage + 1)) {
    return false;
  }
  if (aAnalysis.stage == 0) {
    return true;
  }
  const WallMilliseconds timeInStage = aNow - aAnalysis.stageSince;
  const bool baking =
    aAnalysis.stage == static_cast<std::uint32_t>(Stage::kAll);
  if (timeInStage < (baking ? aMove.bake.count() : kMinStageTime.count())) {
    return false;
  }
  if (Suspicion(aAnalysis) >= kHoldSuspicion) {
    return false;
  }
  // With too few calls in this stage, the move waits for the start time of the
  // stage after the next. Few calls on a single route do not delay it.
  return aAnalysis.all.stageCalls >= kMinStageCalls ||
         aNow >= StageStart(aMove, aAnalysis.stage + 2);
}

} // namespace knapweedpaddle::moves
