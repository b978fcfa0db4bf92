#pragma once

#include "knapweedpaddle/backends/ServerLoad.h"
#include "knapweedpaddle/common/Time.h"
#include "knapweedpaddle/routing/RoutingView.h"

#include <random>
#include <set>
#include <unordered_map>

namespace knapweedpaddle::routing {

/** Limits and weights of the choice. */
struct LoadBalancerOptions
{
  /** Consecutive failures after which a node is ejected. */
  std::uint32_t failuresBeforeEjection = 3;
  /** Duration of a first ejection; doubled at each consecutive one. */
  Milliseconds baseEjectionTime{ 500 };
  Milliseconds maxEjectionTime{ 10'000 };
  /** Share of ejected or suspected nodes above which all nodes are used. */
  double panicThreshold = 0.5;
  /** Cost of a node in another zone, as a multiple of the service time. The
   * greater of this penalty and targetLatencyZonePenalty applies. */
  double serviceTimeZonePenalty = 0.25;
  /** Cost of a node in another zone, as a multiple of the target latency. */
  double targetLatencyZonePenalty = 0.3;
  /** Service time assumed until a node reports one. */
  Milliseconds defaultServiceTime{ 50 };
  /** Half-life of the load that a node reported for other nodes' calls. */
  Milliseconds loadHalfLife{ 400 };
  std::size_t maxCandidates = 8; ///< nodes compared for one call
  /** Nodes of a zone that fail one after the other, without any other node of
   * the zone answering, after which the zone counts as unreachable. */
  std::size_t failuresBeforeZoneIsUnreachable = 3;
  /** Interval at which a call tries whether such a zone is back. */
  Milliseconds zoneProbeInterval{ 500 };
};

/** The call that a node is chosen for. */
struct PickCriteria
{
  std::string service;
  VersionSelector versions; ///< versions that may take the call
  std::string zone;         ///< zone of the node that sends the call
  std::vector<nodes::NodeId> excludedNodes; ///< nodes already tried
  std::string route{};
  Milliseconds targetLatency{ 0 }; ///< latency that the call aims for
};

/**
 * Chooses the node that serves a call: the one expected to finish it first.
 * The estimate uses the load and service times that nodes report with their
 * answers, and the calls sent to them since. Nodes in other zones get a
 * penalty. Nodes with consecutive failures are ejected for a while, unless the
 * share of ejected nodes exceeds LoadBalancerOptions::panicThreshold. The nodes
 * of a zone that can't be reached are passed over together: otherwise each call
 * of a zone that is cut off would wait for several of them in vain, as most of
 * the nodes are in other zones.
 *
 * Thread safety: the traffic thread only.
 */
class LoadBalancer
{
public:
  LoadBalancer(LoadBalancerOptions aOptions, std::uint64_t aSeed);

  /** Returns the chosen target, or null when no target matches. */
  const Target* Pick(const RoutingView& aView,
                     const PickCriteria& aCriteria,
                     Timestamp aNow);

  /** Records that a call is sent to a node. Finish() must follow. */
  void Start(nodes::NodeId aNode);

  /**
   * Records how a call to a node ended.
   *
   * @param aReached  false when the node failed or could not be reached.
   */
  void Finish(nodes::NodeId aNode, bool aReached, Timestamp aNow);

  /** Records that a call to a node was given up, which says nothing about the
   * node. */
  void Abandon(nodes::NodeId aNode);

  /** Stores the load that a node reported with its answer on a route. */
  void ReportLoad(nodes::NodeId aNode,
                  const std::string& aRoute,
                  const backends::ServerLoad& aLoad,
                  Timestamp aNow);

  /** Returns the moving average of a route's service times over all nodes, or
   * 0 if no node reported one. */
  double RouteMs(const std::string& aRoute) const;

  /** True if failures keep a node from being chosen at present. */
  bool IsEjected(nodes::NodeId aNode, Timestamp aNow) const;

  /** True if the nodes of a zone don't answer at present. */
  bool IsUnreachable(const std::string& aZone) const;

  /** Returns the cost of sending a call to a target: the expected milliseconds
   * until it is done, weighted by failures, plus the zone penalty. */
  double Cost(const Target& aTarget,
              const PickCriteria& aCriteria,
              Timestamp aNow) const;

private:
  struct NodeState
  {
    std::string zone;              ///< set when the node is chosen
    std::uint32_t outstanding = 0; ///< calls sent and not finished
    backends::ServerLoad load;     ///< latest report
    std::unordered_map<std::string, double> routeMs; ///< keyed by route
    std::uint32_t outstandingAtReport = 0;
    Timestamp reportedAt;
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t consecutiveEjections = 0;
    Timestamp ejectedUntil;
  };

  struct ZoneState
  {
    /** Nodes that failed since a node of the zone last answered. */
    std::set<std::uint64_t> failedNodes;
    Timestamp nextProbeAt{}; ///< while the zone is unreachable
  };

  using Candidates = std::vector<const Target*>;

  /** Removes the targets of unreachable zones, unless no others are left. */
  void RemoveUnreachable(Candidates& aCandidates, Timestamp aNow) const;

  bool IsUsable(const Target& aTarget, Timestamp aNow) const;
  Candidates WithoutEjected(const Candidates& aAll, Timestamp aNow) const;
  void Sample(Candidates& aCandidates, const std::string& aZone);
  double ServiceMs(const NodeState& aState, const std::string& aRoute) const;
  double OtherNodesCalls(const NodeState& aState, Timestamp aNow) const;
  /** Returns the factor for what a node reported, which is soon out of date. */
  double ReportDecay(const NodeState& aState, Timestamp aNow) const;
  /** Returns the expected wait of a call for a server's rate limit. */
  double RateWaitMs(const NodeState& aState, Timestamp aNow) const;

  LoadBalancerOptions mOptions;
  std::mt19937_64 mRandom;
  std::unordered_map<std::uint64_t, NodeState> mStates; ///< keyed by node
  std::unordered_map<std::string, ZoneState> mZones;    ///< keyed by name
  /** Average service time over all nodes, by route. */
  std::unordered_map<std::string, double> mRouteMs;
};

} // namespace knapweedpaddle::routing
