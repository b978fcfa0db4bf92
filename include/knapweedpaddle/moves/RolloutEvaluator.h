#pragma once

#include "knapweedpaddle/common/Time.h"
#include "knapweedpaddle/moves/EvidenceReport.h"

#include <deque>
#include <map>
#include <string>

namespace knapweedpaddle::moves {

struct RolloutEvaluatorOptions
{
  Milliseconds recentWindow{
    2000
  };                             ///< in which a fault that begins late shows
  std::uint64_t minFailures = 5; ///< before a version is condemned
  std::uint64_t minSlowCalls = 8;
  double failureTolerance = 0.12; ///< share above twice the old version's
  double slowTolerance = 0.35;    ///< share above the old version's
};

/**
 * Compares the calls of a new version with those of the old one in the same
 * time, on each route and on all together, over the whole rollout and its last
 * seconds.
 *
 * Thread safety: control thread only.
 */
class RolloutEvaluator
{
public:
  explicit RolloutEvaluator(RolloutEvaluatorOptions aOptions = {});

  /** Takes an owner's counts over. */
  void Report(const EvidenceReport& aReport, Timestamp aNow);

  /** Returns why the new version is condemned, or "". */
  std::string FindRegression(Timestamp aNow);

  /** Returns the calls that the new version answered so far. */
  std::uint64_t NewVersionCalls() const { return mTotal.after.calls; }

private:
  struct Counts
  {
    VersionCounts before;
    VersionCounts after;
  };

  struct Sample
  {
    Timestamp at;
    std::string route;
    Counts counts;
  };

  struct OwnerKey
  {
    std::uint64_t node = 0;
    std::string route;

    auto operator<=>(const OwnerKey&) const = default;
  };

  struct OwnerCounts
  {
    std::uint64_t incarnation = 0;
    Counts counts;
  };

  static void Add(VersionCounts& aSum, const VersionCounts& aPart);
  static VersionCounts Difference(const VersionCounts& aNow,
                                  const VersionCounts& aThen);
  std::string Test(const Counts& aCounts, const std::string& aWhere) const;

  RolloutEvaluatorOptions mOptions;
  std::map<OwnerKey, OwnerCounts> mOwners;
  Counts mTotal;
  std::map<std::string, Counts> mRoutes;
  std::deque<Sample> mRecent;
};

} // namespace knapweedpaddle::moves
