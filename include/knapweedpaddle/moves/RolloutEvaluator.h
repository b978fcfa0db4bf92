#pragma once

#include "knapweedpaddle/common/Time.h"
#include "knapweedpaddle/moves/EvidenceReport.h"

#include <deque>
#include <map>
#include <string>

namespace knapweedpaddle::moves {

/** Limits of the comparison. */
struct RolloutEvaluatorOptions
{
  /** Length of the recent time that is also tested alone, so that a fault which
   * begins late is not hidden by the good calls before it. */
  Milliseconds recentWindow{ 2000 };
  /** Failed calls below which no version is condemned for failures. */
  std::uint64_t minFailures = 5;
  /** Slow calls below which no version is condemned for slowness. */
  std::uint64_t minSlowCalls = 8;
  /** Share of failures allowed in addition to twice the old version's. */
  double failureTolerance = 0.12;
  /** Share of slow calls allowed in addition to the old version's. */
  double slowTolerance = 0.35;
};

/**
 * Compares the calls of a rollout's new version with those of the old version
 * at the same time: on each route and on all routes together, over the whole
 * rollout and over its last seconds.
 *
 * Thread safety: control thread only.
 */
class RolloutEvaluator
{
public:
  explicit RolloutEvaluator(RolloutEvaluatorOptions aOptions = {});

  /** Adds the calls that a node counted since its previous report. */
  void Report(const EvidenceReport& aReport, Timestamp aNow);

  /** Returns why the new version is worse than the old one, or "" if it is not
   * found to be. */
  std::string FindRegression(Timestamp aNow);

  /** Returns the number of calls that the new version got so far. */
  std::uint64_t NewVersionCalls() const { return mTotal.after.calls; }

private:
  struct Counts
  {
    VersionCounts before;
    VersionCounts after;
  };

  /** Calls that one report added. */
  struct Sample
  {
    Timestamp at;
    std::string route;
    Counts counts;
  };

  struct ReporterKey
  {
    std::uint64_t node = 0;
    std::string route;

    auto operator<=>(const ReporterKey&) const = default;
  };

  /** The latest report of one node on one route. */
  struct ReportedCounts
  {
    std::uint64_t incarnation = 0;
    Counts counts;
  };

  static void Add(VersionCounts& aSum, const VersionCounts& aPart);
  static VersionCounts Difference(const VersionCounts& aLater,
                                  const VersionCounts& aEarlier);
  std::string FindRegressionIn(const Counts& aCounts,
                               const std::string& aWhere) const;

  RolloutEvaluatorOptions mOptions;
  std::map<ReporterKey, ReportedCounts> mReported;
  Counts mTotal;                         ///< counts of all routes together
  std::map<std::string, Counts> mRoutes; ///< keyed by route
  std::deque<Sample> mRecent; ///< samples of the recentWindow, oldest first
};

} // namespace knapweedpaddle::moves
