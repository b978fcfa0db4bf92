#include "knapweedpaddle/moves/RolloutEvaluator.h"

#include <algorithm>

namespace knapweedpaddle::moves {

namespace {

double
ShareOf(std::uint64_t aBad, std::uint64_t aCalls)
{
  return aCalls == 0 ? 0
                     : static_cast<double>(aBad) / static_cast<double>(aCalls);
}

std::string
Describe(const char* aFault,
         std::uint64_t aBad,
         std::uint64_t aCalls,
         double aOldShare,
         const std::string& aWhere)
{
  constexpr double kPercent = 100;
  return std::to_string(aBad) + " of " + std::to_string(aCalls) + " calls " +
         aFault + " on " + aWhere + ", " +
         std::to_string(static_cast<int>(aOldShare * kPercent)) +
         "% with the old version";
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
    OwnerCounts& known =
      mOwners[{ static_cast<std::uint64_t>(aReport.node), it.route }];
    if (known.incarnation != aReport.incarnation) {
      known = { aReport.incarnation, {} };
    }
    const Counts news{ Difference(it.before, known.counts.before),
                       Difference(it.after, known.counts.after) };
    known.counts = { it.before, it.after };
    for (Counts* sum : { &mTotal, &mRoutes[it.route] }) {
      Add(sum->before, news.before);
      Add(sum->after, news.after);
    }
    mRecent.push_back({ aNow, it.route, news });
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
  std::string verdict = Test(mTotal, "all routes");
  if (verdict.empty()) {
    verdict = Test(recentTotal, "all routes lately");
  }
  for (const auto* table : { &mRoutes, &recent }) {
    for (const auto& [route, counts] : *table) {
      if (verdict.empty()) {
        verdict = Test(counts, "route " + route);
      }
    }
  }
  return verdict;
}

std::string
RolloutEvaluator::Test(const Counts& aCounts, const std::string& aWhere) const
{
  const VersionCounts& after = aCounts.after;
  const VersionCounts& before = aCounts.before;
  const double oldFailures = ShareOf(before.failures, before.calls);
  if (after.failures >= mOptions.minFailures &&
      ShareOf(after.failures, after.calls) >=
        mOptions.failureTolerance + 2 * oldFailures) {
    return Describe("failed", after.failures, after.calls, oldFailures, aWhere);
  }
  const double oldSlow = ShareOf(before.slow, before.calls);
  if (after.slow >= mOptions.minSlowCalls &&
      ShareOf(after.slow, after.calls) >= mOptions.slowTolerance + oldSlow) {
    return Describe("were slow", after.slow, after.calls, oldSlow, aWhere);
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
RolloutEvaluator::Difference(const VersionCounts& aNow,
                             const VersionCounts& aThen)
{
  const auto less = [](std::uint64_t aLeft, std::uint64_t aRight) {
    return aLeft - std::min(aLeft, aRight);
  };
  return { less(aNow.calls, aThen.calls),
           less(aNow.failures, aThen.failures),
           less(aNow.slow, aThen.slow) };
}

} // namespace knapweedpaddle::moves
