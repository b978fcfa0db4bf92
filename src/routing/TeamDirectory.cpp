#include "knapweedpaddle/routing/TeamDirectory.h"

namespace knapweedpaddle::routing {

TeamDirectory::TeamDirectory(config::SnapshotPtr aConfig)
  : mConfig(std::move(aConfig))
{
  for (const auto& [id, entry] : mConfig->entries) {
    if (const auto* team = std::get_if<config::TeamEntry>(&entry)) {
      mHasTeams = true;
      for (const auto& key : team->keys) {
        mTeams[key] = team;
      }
    }
  }
}

const config::TeamEntry*
TeamDirectory::Find(const std::string& aKey) const
{
  const auto it = mTeams.find(aKey);
  return it == mTeams.end() ? nullptr : it->second;
}

} // namespace knapweedpaddle::routing
