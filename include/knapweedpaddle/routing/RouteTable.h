#pragma once

#include "knapweedpaddle/config/Snapshot.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedpaddle::routing {

/** Finds the route of a request in one configuration. Immutable. */
class RouteTable
{
public:
  explicit RouteTable(config::SnapshotPtr aConfig);

  /**
   * Returns the route of a host whose path prefix is the longest that matches,
   * or null. Routes without a host are searched if the host has no match.
   *
   * @param aHost  host name in lower case, without a port.
   */
  const config::RouteEntry* Find(const std::string& aHost,
                                 const std::string& aPath) const;

private:
  config::SnapshotPtr mConfig;
  /** Routes by host, sorted by descending length of the path prefix. */
  std::unordered_map<std::string, std::vector<const config::RouteEntry*>>
    mRoutes;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace knapweedpaddle::routing
