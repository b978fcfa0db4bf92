#include "knapweedpaddle/routing/RoutingView.h"

#include <algorithm>

namespace knapweedpaddle::routing {

RoutingView::RoutingView(config::SnapshotPtr aConfig)
  : config(std::move(aConfig))
{
  for (const auto& [id, entry] : config->entries) {
    if (const auto* route = std::get_if<config::RouteEntry>(&entry)) {
      routes[route->host].push_back(route);
    }
  }
  for (auto& [host, list] : routes) {
    std::ranges::sort(list, std::ranges::greater{}, [](const auto* aRoute) {
      return aRoute->pathPrefix.size();
    });
  }
}

const config::RouteEntry*
RoutingView::FindRoute(const std::string& aHost,
                       const std::string& aPath) const
{
  for (const std::string& host : { aHost, std::string() }) {
    const auto list = routes.find(host);
    if (list == routes.end()) {
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

std::vector<std::string>
RoutingView::VersionsFor(const std::string& aService,
                         config::CallClass aClass,
                         double aDraw) const
{
  const auto it = shares.find(aService);
  if (it == shares.end()) {
    return {};
  }
  const VersionShare& split = it->second;
  if (split.toVersion.empty() || split.condemned) {
    return { split.fromVersion };
  }
  const double share =
    aClass == config::CallClass::kAtMostOnce ? split.onceShare : split.share;
  if (aDraw < share) {
    return split.exclusive && share >= 1
             ? std::vector{ split.toVersion }
             : std::vector{ split.toVersion, split.fromVersion };
  }
  if (share > 0 && !split.exclusive) {
    // The old version's servers may already be gone.
    return { split.fromVersion, split.toVersion };
  }
  return { split.fromVersion };
}

} // namespace knapweedpaddle::routing
