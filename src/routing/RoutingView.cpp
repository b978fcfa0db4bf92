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

std::vector<VersionSelector>
RoutingView::VersionsFor(const std::string& aService,
                         config::CallClass aClass,
                         double aDraw) const
{
  const auto it = splits.find(aService);
  if (it == splits.end()) {
    return {};
  }
  const VersionSplit& split = it->second;
  const bool isSplit = !split.toVersion.empty() && !split.condemned;
  const double share = !isSplit ? 0
                       : aClass == config::CallClass::kAtMostOnce
                         ? split.atMostOnceShare
                         : split.share;
  const VersionSelector newVersion = VersionSelector::Only(split.toVersion);
  const bool isNew = aDraw < share;
  if (isNew && split.exclusive && share >= 1) {
    return { newVersion };
  }
  std::vector<VersionSelector> versions{ split.fromVersions };
  if (isNew) {
    versions.insert(versions.begin(), newVersion);
  } else if (share > 0 && !split.exclusive) {
    // The new version is the fallback if no old server is left.
    versions.push_back(newVersion);
  }
  if (split.lastResort) {
    versions.push_back(*split.lastResort);
  }
  return versions;
}

} // namespace knapweedpaddle::routing
