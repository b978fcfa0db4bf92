#pragma once

#include "knapweedpaddle/common/Time.h"
#include "knapweedpaddle/routing/RoutingView.h"

#include <random>
#include <unordered_map>

namespace knapweedpaddle::routing {

struct PickerOptions
{
  std::uint32_t failuresToEject = 3; ///< in a row
  Milliseconds ejectionBase{ 500 };  ///< doubled at each ejection in a row
  Milliseconds ejectionMost{ 10'000 };
  double panicShare =
    0.5; ///< with more than this share ejected, ejection is ignored
  double spillUtilisation =
    0.85; ///< of the zone's slots, above which calls leave the zone
  Milliseconds loadFresh{ 2000 }; ///< how long a reported load counts
};

/** What to pick for. */
struct PickQuery
{
  std::string service;
  std::string version;
  std::string zone;                     ///< the picking node's own
  std::vector<nodes::NodeId> excluding; ///< already tried for this call
};

/**
 * Chooses the node that serves a call: own zone first, spilling when it is
 * busy; within the candidates, the less loaded of two random ones. Nodes whose
 * calls fail in a row are ejected for a while, unless most are.
 *
 * Thread safety: the traffic thread only.
 */
class Picker
{
public:
  Picker(PickerOptions aOptions, std::uint64_t aSeed);

  /** Returns the chosen target, or null when the view has none. */
  const Target* Pick(const RoutingView& aView,
                     const PickQuery& aQuery,
                     Timestamp aNow);

  /** Notes that a call goes to a node; pair with Finish(). */
  void Start(nodes::NodeId aNode);

  /**
   * Notes how a call ended.
   *
   * @param aReached  false when the node failed or could not be reached.
   */
  void Finish(nodes::NodeId aNode, bool aReached, Timestamp aNow);

  /** Takes over the load that a node reported with an answer, in busy slots. */
  void ReportLoad(nodes::NodeId aNode,
                  std::uint32_t aBusySlots,
                  Timestamp aNow);

  bool IsEjected(nodes::NodeId aNode, Timestamp aNow) const;

private:
  struct State
  {
    std::uint32_t outstanding = 0;
    std::uint32_t reportedBusy = 0;
    Timestamp reportedAt;
    std::uint32_t failures = 0;
    std::uint32_t ejections = 0;
    Timestamp ejectedUntil;
  };

  using Candidates = std::vector<const Target*>;

  double Utilisation(const Target& aTarget, Timestamp aNow) const;
  bool IsUsable(const Target& aTarget, Timestamp aNow) const;
  Candidates WithoutEjected(const Candidates& aAll, Timestamp aNow) const;
  bool IsZoneBusy(const Candidates& aLocal, Timestamp aNow) const;
  const Target* BetterOfTwo(const Candidates& aCandidates, Timestamp aNow);

  PickerOptions mOptions;
  std::mt19937_64 mRandom;
  std::unordered_map<std::uint64_t, State> mStates;
};

} // namespace knapweedpaddle::routing
