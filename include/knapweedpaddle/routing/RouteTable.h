#pragma once

#include "knapweedpaddle/config/Snapshot.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedpaddle::routing {

/** The routes of one configuration, by host. Immutable. */
class RouteTable
{
public:
  explicit RouteTable(config::SnapshotPtr aConfig);

  /**
   * Returns the route with the longest prefix of a path, or null.
   *
   * @param aHost  in lower case, without a port; routes without a host take
   * any.
   */
  const config::RouteEntry* Find(const std::string& aHost,
                                 const std::string& aPath) const;

private:
  config::SnapshotPtr mConfig;
  /** Longest prefix first. */
  std::unordered_map<std::string, std::vector<const config::RouteEntry*>>
    mRoutes;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace knapweedpaddle::routing
