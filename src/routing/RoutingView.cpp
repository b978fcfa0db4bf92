#include "knapweedpaddle/routing/RoutingView.h"

#include <algorithm>

namespace knapweedpaddle::routing {

RoutingView::RoutingView(config::SnapshotPtr aConfig)
  : config(std::move(aConfig))
  , routes(std::make_shared<const RouteTable>(config))
  , teams(std::make_shared<const TeamDirectory>(config))
{
}

RoutingView::RoutingView(config::SnapshotPtr aConfig,
                         RouteTablePtr aRoutes,
                         TeamDirectoryPtr aTeams)
  : config(std::move(aConfig))
  , routes(std::move(aRoutes))
  , teams(std::move(aTeams))
{
}

const config::RouteEntry*
RoutingView::FindRoute(const std::string& aHost, const std::string& aPath) const
{
  return routes ? routes->Find(aHost, aPath) : nullptr;
}

bool
RoutingView::IsEvacuated(const std::string& aService) const
{
  const auto it = targets.find(aService);
  return it != targets.end() && !it->second.empty() &&
         std::ranges::all_of(it->second, &Target::evacuated);
}

std::vector<std::string>
RoutingView::VersionsFor(const std::string& aService,
                         config::CallClass aClass,
                         double aDraw) const
{
  const auto it = splits.find(aService);
  if (it == splits.end()) {
    return {};
  }
  const VersionSplit& split = it->second;
  if (split.toVersion.empty() || split.condemned) {
    return { split.fromVersion };
  }
  const double share = aClass == config::CallClass::kAtMostOnce
                         ? split.atMostOnceShare
                         : split.share;
  if (aDraw < share) {
    return split.exclusive && share >= 1
             ? std::vector{ split.toVersion }
             : std::vector{ split.toVersion, split.fromVersion };
  }
  if (share > 0 && !split.exclusive) {
    // The new version is the fallback if no old server is left.
    return { split.fromVersion, split.toVersion };
  }
  return { split.fromVersion };
}

} // namespace knapweedpaddle::routing
