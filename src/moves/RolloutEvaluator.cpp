#include "knapweedpaddle/moves/RolloutEvaluator.h"

#include <algorithm>

namespace knapweedpaddle::moves {

namespace {

double
BadShare(std::uint64_t aBad, std::uint64_t aCalls)
{
  return aCalls == 0 ? 0
                     : static_cast<double>(aBad) / static_cast<double>(aCalls);
}

std::string
DescribeRegression(const char* aFault,
                   std::uint64_t aBad,
                   std::uint64_t aCalls,
                   double aOldShare,
                   const std::string& aWhere)
{
  constexpr double kPercent = 100;
  return std::to_string(aBad) + " of " + std::to_string(aCalls) + " calls " +
         aFault + " on " + aWhere + "; old version: " +
         std::to_string(static_cast<int>(aOldShare * kPercent)) + "%";
}

} // namespace

RolloutEvaluator::RolloutEvaluator(RolloutEvaluatorOptions aOptions)
  : mOptions(aOptions)
{
}

void
RolloutEvaluator::Report(const EvidenceReport& aReport, Timestamp aNow)
{
  for (const auto& it : aReport.routes) {
    ReportedCounts& known =
      mReported[{ static_cast<std::uint64_t>(aReport.node), it.route }];
    if (known.incarnation != aReport.incarnation) {
      known = { aReport.incarnation, {} };
    }
    const Counts added{ Difference(it.before, known.counts.before),
                        Difference(it.after, known.counts.after) };
    known.counts = { it.before, it.after };
    for (Counts* sum : { &mTotal, &mRoutes[it.route] }) {
      Add(sum->before, added.before);
      Add(sum->after, added.after);
    }
    mRecent.push_back({ aNow, it.route, added });
  }
}

std::string
RolloutEvaluator::FindRegression(Timestamp aNow)
{
  while (!mRecent.empty() &&
         aNow - mRecent.front().at > mOptions.recentWindow) {
    mRecent.pop_front();
  }
  std::map<std::string, Counts> recent;
  Counts recentTotal;
  for (const auto& it : mRecent) {
    for (Counts* sum : { &recentTotal, &recent[it.route] }) {
      Add(sum->before, it.counts.before);
      Add(sum->after, it.counts.after);
    }
  }
  std::string regression = FindRegressionIn(mTotal, "all routes");
  if (regression.empty()) {
    regression = FindRegressionIn(recentTotal, "all routes recently");
  }
  for (const auto* table : { &mRoutes, &recent }) {
    for (const auto& [route, counts] : *table) {
      if (regression.empty()) {
        regression = FindRegressionIn(counts, "route " + route);
      }
    }
  }
  return regression;
}

std::string
RolloutEvaluator::FindRegressionIn(const Counts& aCounts,
                                   const std::string& aWhere) const
{
  const VersionCounts& after = aCounts.after;
  const VersionCounts& before = aCounts.before;
  const double oldFailures = BadShare(before.failures, before.calls);
  if (after.failures >= mOptions.minFailures &&
      BadShare(after.failures, after.calls) >=
        mOptions.failureTolerance + 2 * oldFailures) {
    return DescribeRegression(
      "failed", after.failures, after.calls, oldFailures, aWhere);
  }
  const double oldSlow = BadShare(before.slow, before.calls);
  if (after.slow >= mOptions.minSlowCalls &&
      BadShare(after.slow, after.calls) >= mOptions.slowTolerance + oldSlow) {
    return DescribeRegression(
      "were slow", after.slow, after.calls, oldSlow, aWhere);
  }
  return {};
}

void
RolloutEvaluator::Add(VersionCounts& aSum, const VersionCounts& aPart)
{
  aSum.calls += aPart.calls;
  aSum.failures += aPart.failures;
  aSum.slow += aPart.slow;
}

VersionCounts
RolloutEvaluator::Difference(const VersionCounts& aLater,
                             const VersionCounts& aEarlier)
{
  // Returns 0 if a count fell.
  const auto difference = [](std::uint64_t aLeft, std::uint64_t aRight) {
    return aLeft - std::min(aLeft, aRight);
  };
  return { difference(aLater.calls, aEarlier.calls),
           difference(aLater.failures, aEarlier.failures),
           difference(aLater.slow, aEarlier.slow) };
}

} // namespace knapweedpaddle::moves
