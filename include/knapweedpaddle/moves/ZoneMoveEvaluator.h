#pragma once

#include "knapweedpaddle/moves/CusumDetector.h"
#include "knapweedpaddle/moves/EvidenceReport.h"
#include "knapweedpaddle/moves/MoveTracker.h"
#include "knapweedpaddle/moves/OldVersionBadRate.h"

#include <map>

namespace knapweedpaddle::moves {

/** State of one move in a zone, for operators. */
struct MoveAssessment
{
  std::uint32_t stage = 0;
  bool late = false; ///< whether the move can't be finished in time any more
  std::vector<std::string> routesWithoutEnoughCalls;
  /** Strongest evidence against the new version; 1 condemns it. */
  double suspicion = 0;
};

/**
 * Advances and condemns moves in one zone, from the call counts that the zone's
 * nodes report. Two nodes of a zone do this at the same time; as progress never
 * goes back, their results can be merged. A node that takes over the duty
 * continues by the times of the move's entry.
 *
 * Thread safety: control thread only.
 */
class ZoneMoveEvaluator
{
public:
  explicit ZoneMoveEvaluator(std::string aZone);

  /** Adds the calls that a node counted since its previous report. */
  void Report(const EvidenceReport& aReport);

  /**
   * Evaluates all open moves. Must be called once a second.
   *
   * @return the zone's progress of the moves that advance or are condemned.
   */
  std::vector<nodes::MoveProgress> Evaluate(const config::Snapshot& aSnapshot,
                                            const MoveTracker& aTracker,
                                            WallMilliseconds aNow);

  /** Returns the latest assessments by move, for `knapweed explain`. */
  const std::map<std::string, MoveAssessment>& Assessments() const
  {
    return mAssessments;
  }

private:
  /** The detectors of one route and the state that they need. */
  struct RouteAnalysis
  {
    CusumDetector failures;
    CusumDetector slow;
    OldVersionBadRate oldFailures;
    OldVersionBadRate oldSlow;
    /** Calls of the new version since the stage began. */
    std::uint64_t stageCalls = 0;

    RouteAnalysis();
  };

  struct MoveAnalysis
  {
    std::uint64_t revision = 0;
    RouteAnalysis all; ///< all routes together, for routes with few calls
    std::map<std::string, RouteAnalysis> routes;
    std::uint32_t stage = 0;
    WallMilliseconds stageSince = 0;
  };

  struct ReporterKey
  {
    std::uint64_t node = 0;
    std::string move;
    std::string route;

    auto operator<=>(const ReporterKey&) const = default;
  };

  /** The latest report of one node on one route. */
  struct ReportedCounts
  {
    std::uint64_t incarnation = 0;
    VersionCounts before;
    VersionCounts after;
  };

  /** Calls since the previous evaluation. */
  struct Interval
  {
    VersionCounts before;
    VersionCounts after;
  };

  std::string FindRegression(MoveAnalysis& aAnalysis,
                             const config::MoveEntry& aMove);
  static std::string FindRouteRegression(RouteAnalysis& aRoute,
                                         const RouteAnalysis& aAll,
                                         const std::string& aName,
                                         const Interval& aInterval);
  static double Suspicion(const MoveAnalysis& aAnalysis);
  static bool MayAdvance(const MoveAnalysis& aAnalysis,
                         const config::MoveEntry& aMove,
                         WallMilliseconds aNow);

  std::string mZone;
  std::map<std::string, MoveAnalysis> mAnalyses; ///< keyed by move
  std::map<ReporterKey, ReportedCounts> mReported;
  /** Calls since the previous evaluation, by move and route. */
  std::map<std::string, std::map<std::string, Interval>> mIntervals;
  std::map<std::string, MoveAssessment> mAssessments; ///< keyed by move
};

} // namespace knapweedpaddle::moves
