#include "knapweedpaddle/routing/RouteTable.h"

#include <algorithm>

namespace knapweedpaddle::routing {

RouteTable::RouteTable(config::SnapshotPtr aConfig)
  : mConfig(std::move(aConfig))
{
  for (const auto& [id, entry] : mConfig->entries) {
    if (const auto* route = std::get_if<config::RouteEntry>(&entry)) {
      mRoutes[route->host].push_back(route);
    }
  }
  for (auto& [host, list] : mRoutes) {
    std::ranges::sort(list, std::ranges::greater{}, [](const auto* aRoute) {
      return aRoute->pathPrefix.size();
    });
  }
}

const config::RouteEntry*
RouteTable::Find(const std::string& aHost, const std::string& aPath) const
{
  for (const std::string& host : { aHost, std::string() }) {
    const auto list = mRoutes.find(host);
    if (list == mRoutes.end()) {
      continue;
    }
    const auto it =
      std::ranges::find_if(list->second, [&aPath](const auto* aRoute) {
        return aPath.starts_with(aRoute->pathPrefix);
      });
    if (it != list->second.end()) {
      return *it;
    }
  }
  return nullptr;
}

} // namespace knapweedpaddle::routing
