#pragma once

#include "knapweedpaddle/config/Snapshot.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace knapweedpaddle::routing {

/** Finds the team of a caller's key in one configuration. Immutable. */
class TeamDirectory
{
public:
  explicit TeamDirectory(config::SnapshotPtr aConfig);

  /** Returns the team that holds a key, or null. The look-up takes the same
   * time for keys that differ in any part. */
  const config::TeamEntry* Find(const std::string& aKey) const;

  /** Returns false if the configuration holds no teams. */
  bool HasTeams() const { return mHasTeams; }

private:
  config::SnapshotPtr mConfig;
  bool mHasTeams = false;
  std::unordered_map<std::string, const config::TeamEntry*> mTeams;
};

using TeamDirectoryPtr = std::shared_ptr<const TeamDirectory>;

} // namespace knapweedpaddle::routing
