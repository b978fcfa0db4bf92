#include "knapweedpaddle/routing/RoutingView.h"

namespace knapweedpaddle::routing {

const config::RouteEntry*
RoutingView::FindRoute(const std::string& aPath) const
{
  const config::RouteEntry* best = nullptr;
  for (const auto& [id, entry] : config->entries) {
    const auto* route = std::get_if<config::RouteEntry>(&entry);
    if (route && aPath.starts_with(route->pathPrefix) &&
        (!best || route->pathPrefix.size() > best->pathPrefix.size())) {
      best = route;
    }
  }
  return best;
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
    return { split.toVersion, split.fromVersion };
  }
  if (share > 0) {
    // The old version's servers may already be gone.
    return { split.fromVersion, split.toVersion };
  }
  return { split.fromVersion };
}

} // namespace knapweedpaddle::routing
