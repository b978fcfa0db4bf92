#pragma once

#include "knapweedpaddle/nodes/MemberRecord.h"
#include "knapweedpaddle/routing/RetryPolicy.h"
#include "knapweedpaddle/routing/RouteTable.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

/** Where a call goes, and whether it may go again. */
namespace knapweedpaddle::routing {

/** A node that owns a backend server, as a place to send calls. */
struct Target
{
  nodes::NodeId node = nodes::kNoNode;
  std::string linkAddress; ///< "IP:port"
  std::string zone;
  std::string version;
  std::uint32_t slots = 0;
  bool suspect = false; ///< the failure detector doubts the node
};

/** How a service's calls are split between two versions. */
struct VersionSplit
{
  std::string fromVersion;
  std::string toVersion; ///< empty without a move
  double share = 0;      ///< of idempotent and check calls that go to toVersion
  double atMostOnceShare = 0; ///< of at most once calls
  bool condemned = false;
  bool exclusive = false; ///< calls drawn for one version never reach the other
};

/** Everything that traffic threads need, made by the control thread. Immutable
 * once shared. */
struct RoutingView
{
  RoutingView() = default;

  /** Indexes the routes of a configuration. */
  explicit RoutingView(config::SnapshotPtr aConfig);

  /** Shares an index of the same configuration's routes. */
  RoutingView(config::SnapshotPtr aConfig, RouteTablePtr aRoutes);

  config::SnapshotPtr config;
  RouteTablePtr routes;                               ///< of config
  std::map<std::string, std::vector<Target>> targets; ///< by service
  std::map<std::string, VersionSplit> splits;         ///< by service
  RetryOptions retries;
  bool open = false; ///< the node holds a configuration that it may serve

  /** Returns the route of a request; see RouteTable::Find(). */
  const config::RouteEntry* FindRoute(const std::string& aHost,
                                      const std::string& aPath) const;

  /**
   * Returns the versions that calls of a service may reach, preferred first,
   * each in the form of VersionSelector.
   */
  std::vector<std::string> VersionsFor(const std::string& aService,
                                       config::CallClass aClass,
                                       double aDraw) const;
};

using RoutingViewPtr = std::shared_ptr<const RoutingView>;

} // namespace knapweedpaddle::routing
