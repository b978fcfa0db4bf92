#pragma once

#include "knapweedpaddle/moves/CusumDetector.h"
#include "knapweedpaddle/moves/EvidenceReport.h"
#include "knapweedpaddle/moves/MoveTracker.h"
#include "knapweedpaddle/moves/OldVersionBadRate.h"

#include <map>

namespace knapweedpaddle::moves {

/** What the judge has to say of one move in its zone. */
struct MoveAssessment
{
  std::uint32_t stage = 0;
  bool late = false; ///< can't be done by its time any more
  std::vector<std::string>
    routesWithoutEnoughCalls; ///< routes with too few calls to judge
  double suspicion = 0;       ///< strongest evidence against it, 1 condemns
};

/**
 * Advances and condemns moves in one zone on the evidence that the zone's
 * owner nodes report. Two members of a zone hold this duty; as progress only
 * grows, both may act. A judge that takes over goes on by the entry's clock.
 *
 * Thread safety: control thread only.
 */
class ZoneMoveEvaluator
{
public:
  explicit ZoneMoveEvaluator(std::string aZone);

  /** Takes an owner's counts over. */
  void Report(const EvidenceReport& aReport);

  /**
   * Judges all open moves; call once a second.
   *
   * @return the zone's progress wherever it changed.
   */
  std::vector<nodes::MoveProgress> Evaluate(const config::Snapshot& aSnapshot,
                                            const MoveTracker& aBoard,
                                            WallMilliseconds aNow);

  /** Returns the present opinions, for `knapweed explain`. */
  const std::map<std::string, MoveAssessment>& Assessments() const
  {
    return mOpinions;
  }

private:
  /** The tests of one route and what they were fed so far. */
  struct RouteState
  {
    CusumDetector failures;
    CusumDetector slow;
    OldVersionBadRate oldFailures;
    OldVersionBadRate oldSlow;
    std::uint64_t stageCalls =
      0; ///< calls of the new version since the stage began

    RouteState();
  };

  struct MoveCase
  {
    std::uint64_t revision = 0;
    RouteState all; ///< of all routes together, for those with few calls
    std::map<std::string, RouteState> routes;
    std::uint32_t stage = 0;
    WallMilliseconds stageSince = 0;
  };

  struct OwnerKey
  {
    std::uint64_t node = 0;
    std::string move;
    std::string route;

    auto operator<=>(const OwnerKey&) const = default;
  };

  struct OwnerCounts
  {
    std::uint64_t incarnation = 0;
    VersionCounts before;
    VersionCounts after;
  };

  struct Interval
  {
    VersionCounts before;
    VersionCounts after;
  };

  std::string Test(MoveCase& aCase, const config::MoveEntry& aMove);
  static std::string TestRoute(RouteState& aRoute,
                               const RouteState& aAll,
                               const std::string& aName,
                               const Interval& aInterval);
  static double Suspicion(const MoveCase& aCase);
  static bool MayAdvance(const MoveCase& aCase,
                         const config::MoveEntry& aMove,
                         WallMilliseconds aNow);

  std::string mZone;
  std::map<std::string, MoveCase> mCases;
  std::map<OwnerKey, OwnerCounts> mOwners;
  std::map<std::string, std::map<std::string, Interval>>
    mIntervals; ///< by move and route
  std::map<std::string, MoveAssessment> mOpinions;
};

} // namespace knapweedpaddle::moves
