#pragma once

#include "knapweedpaddle/nodes/MemberRecord.h"
#include "knapweedpaddle/routing/RetryPolicy.h"
#include "knapweedpaddle/routing/RouteTable.h"
#include "knapweedpaddle/routing/TeamDirectory.h"
#include "knapweedpaddle/routing/VersionSelector.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/** Choice of route, version and node for calls, and retry decisions. */
namespace knapweedpaddle::routing {

/** A node with a backend server that calls can be sent to. */
struct Target
{
  nodes::NodeId node = nodes::kNoNode;
  std::string linkAddress; ///< in the form "IP:port"
  std::string zone;
  std::string version;
  std::uint32_t slots = 0;
  bool suspect = false;   ///< whether the failure detector suspects the node
  bool evacuated = false; ///< whether operators evacuated the node's zone
};

/** How a service's calls are split between two versions. */
struct VersionSplit
{
  VersionSelector fromVersions;
  std::string toVersion; ///< empty if no move or rollout is in progress
  /** Versions that get calls only while no other server is known. */
  std::optional<VersionSelector> lastResort;
  /** Share of idempotent and check calls sent to toVersion. */
  double share = 0;
  double atMostOnceShare = 0; ///< share of at most once calls sent to toVersion
  bool condemned = false;     ///< whether toVersion must get no calls
  /** Whether calls of fromVersions never fall back to toVersion, nor
   * toVersion's to fromVersions once toVersion gets all calls. */
  bool exclusive = false;
};

/** Routing state that the control thread passes to traffic threads. Immutable
 * once shared. */
struct RoutingView
{
  RoutingView() = default;

  /** Indexes the routes of a configuration. */
  explicit RoutingView(config::SnapshotPtr aConfig);

  /** Reuses the existing indexes of the same configuration. */
  RoutingView(config::SnapshotPtr aConfig,
              RouteTablePtr aRoutes,
              TeamDirectoryPtr aTeams);

  config::SnapshotPtr config;
  RouteTablePtr routes;                               ///< routes of config
  TeamDirectoryPtr teams;                             ///< teams of config
  std::map<std::string, std::vector<Target>> targets; ///< keyed by service
  std::map<std::string, VersionSplit> splits;         ///< keyed by service
  /** Zones whose backend servers get no calls, by order of operators. */
  std::set<std::string> evacuatedZones;
  RetryOptions retries;
  /** Requests that may have crashed the backend servers of other nodes. */
  CrashSuspects suspects;
  bool open = false; ///< whether the node may serve calls with config

  /** Returns the route of a request; see RouteTable::Find(). */
  const config::RouteEntry* FindRoute(const std::string& aHost,
                                      const std::string& aPath) const;

  /** Returns true if a service has backend servers, and all of them are in
   * evacuated zones. */
  bool IsEvacuated(const std::string& aService) const;

  /**
   * Returns the versions that a call to a service may use, in order of
   * preference. Without a split the result is empty.
   *
   * @param aDraw  number in [0, 1) that assigns the call to a version.
   */
  std::vector<VersionSelector> VersionsFor(const std::string& aService,
                                           config::CallClass aClass,
                                           double aDraw) const;
};

using RoutingViewPtr = std::shared_ptr<const RoutingView>;

} // namespace knapweedpaddle::routing
