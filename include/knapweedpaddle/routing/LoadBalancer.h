#pragma once

#include "knapweedpaddle/backends/ServerLoad.h"
#include "knapweedpaddle/common/Time.h"
#include "knapweedpaddle/routing/RoutingView.h"

#include <random>
#include <unordered_map>

namespace knapweedpaddle::routing {

struct LoadBalancerOptions
{
  std::uint32_t failuresBeforeEjection = 3; ///< in a row
  Milliseconds baseEjectionTime{ 500 }; ///< doubled at each ejection in a row
  Milliseconds maxEjectionTime{ 10'000 };
  double panicThreshold =
    0.5; ///< with more than this share ejected, ejection is ignored
  /** Cost of leaving the own zone, the greater of two. */
  double serviceTimeZonePenalty = 0.25;  ///< in service times
  double targetLatencyZonePenalty = 0.3; ///< in target times
  Milliseconds defaultServiceTime{ 50 }; ///< assumed until a node reported
  Milliseconds loadHalfLife{ 400 }; ///< by which others' calls are forgotten
  std::size_t maxCandidates = 8;    ///< candidates compared for one call
};

/** What to pick for. */
struct PickCriteria
{
  std::string service;
  std::string version;                      ///< a VersionSelector
  std::string zone;                         ///< the picking node's own
  std::vector<nodes::NodeId> excludedNodes; ///< already tried for this call
  std::string route{};
  Milliseconds target{ 0 }; ///< in which an answer is wanted
};

/**
 * Chooses the node that serves a call: the one where it is expected to be done
 * first, from the load and speed that the nodes report with their answers and
 * the calls sent since. Other zones count as slower. Nodes whose calls fail in
 * a row are ejected for a while, unless most are.
 *
 * Thread safety: the traffic thread only.
 */
class LoadBalancer
{
public:
  LoadBalancer(LoadBalancerOptions aOptions, std::uint64_t aSeed);

  /** Returns the chosen target, or null when the view has none. */
  const Target* Pick(const RoutingView& aView,
                     const PickCriteria& aQuery,
                     Timestamp aNow);

  /** Notes that a call goes to a node; pair with Finish(). */
  void Start(nodes::NodeId aNode);

  /**
   * Notes how a call ended.
   *
   * @param aReached  false when the node failed or could not be reached.
   */
  void Finish(nodes::NodeId aNode, bool aReached, Timestamp aNow);

  /** Takes over the load that a node reported with an answer on a route. */
  void ReportLoad(nodes::NodeId aNode,
                  const std::string& aRoute,
                  const backends::ServerLoad& aLoad,
                  Timestamp aNow);

  /** Returns the mean time of a route's calls over all nodes, 0: unknown. */
  double RouteMs(const std::string& aRoute) const;

  bool IsEjected(nodes::NodeId aNode, Timestamp aNow) const;

  /** Returns the expected milliseconds until a call is done at a target. */
  double Cost(const Target& aTarget,
              const PickCriteria& aQuery,
              Timestamp aNow) const;

private:
  struct State
  {
    std::uint32_t outstanding = 0;
    backends::ServerLoad load;
    std::unordered_map<std::string, double> routeMs;
    std::uint32_t outstandingAtReport = 0;
    Timestamp reportedAt;
    std::uint32_t failures = 0;
    std::uint32_t ejections = 0;
    Timestamp ejectedUntil;
  };

  using Candidates = std::vector<const Target*>;

  bool IsUsable(const Target& aTarget, Timestamp aNow) const;
  Candidates WithoutEjected(const Candidates& aAll, Timestamp aNow) const;
  void Sample(Candidates& aCandidates, const std::string& aZone);
  double ServiceMs(const State& aState, const std::string& aRoute) const;
  double OthersCalls(const State& aState, Timestamp aNow) const;

  LoadBalancerOptions mOptions;
  std::mt19937_64 mRandom;
  std::unordered_map<std::uint64_t, State> mStates;
  std::unordered_map<std::string, double> mRouteMs; ///< over all nodes
};

} // namespace knapweedpaddle::routing
