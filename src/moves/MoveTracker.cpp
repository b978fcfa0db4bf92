#include "knapweedpaddle/moves/MoveTracker.h"

#include "knapweedpaddle/moves/MoveSchedule.h"

#include <algorithm>

namespace knapweedpaddle::moves {

using config::MoveEntry;
using nodes::MoveProgress;

namespace {

/** True if a move may be open at a revision: the configuration says so, or the
 * revision is of a newer configuration than this node has. */
bool
MayBeOpen(const config::Snapshot& aSnapshot,
          const std::string& aMove,
          std::uint64_t aRevision)
{
  const auto* move = aSnapshot.Get<MoveEntry>(config::EntryKind::kMove, aMove);
  if (!move) {
    return aRevision > aSnapshot.version;
  }
  if (move->header.revision == aRevision) {
    return move->state == config::MoveState::kOpen;
  }
  return aRevision > move->header.revision && aRevision > aSnapshot.version;
}

} // namespace

bool
MoveTracker::Merge(const config::Snapshot& aSnapshot,
                   const MoveProgress& aProgress)
{
  if (!MayBeOpen(aSnapshot, aProgress.move, aProgress.revision)) {
    return false;
  }
  const Key key{ aProgress.move, aProgress.revision, aProgress.zone };
  const auto [it, added] = mProgress.try_emplace(key, aProgress);
  if (added) {
    return true;
  }
  MoveProgress& known = it->second;
  bool changed = false;
  if (aProgress.stage > known.stage) {
    known.stage = std::min(aProgress.stage, kLastStage);
    changed = true;
  }
  if (aProgress.condemned && !known.condemned) {
    known.condemned = true;
    known.reason = aProgress.reason;
    changed = true;
  }
  return changed;
}

void
MoveTracker::Prune(const config::Snapshot& aSnapshot)
{
  std::erase_if(mProgress, [&aSnapshot](const auto& aItem) {
    return !MayBeOpen(aSnapshot, aItem.first.move, aItem.first.revision);
  });
}

std::uint32_t
MoveTracker::StageIn(const MoveEntry& aMove, const std::string& aZone) const
{
  const auto it =
    mProgress.find({ aMove.header.name, aMove.header.revision, aZone });
  return it == mProgress.end() ? 0 : it->second.stage;
}

std::optional<std::string>
MoveTracker::CondemnationReason(const MoveEntry& aMove) const
{
  for (const auto& it : ProgressOf(aMove)) {
    if (it.condemned) {
      return it.reason;
    }
  }
  return std::nullopt;
}

bool
MoveTracker::IsFinishedIn(const MoveEntry& aMove,
                          const std::set<std::string>& aZones) const
{
  return std::ranges::all_of(aZones, [&](const std::string& aZone) {
    return StageIn(aMove, aZone) >= kLastStage;
  });
}

std::map<std::string, routing::VersionSplit>
MoveTracker::Splits(const config::Snapshot& aSnapshot,
                    const std::string& aZone) const
{
  std::map<std::string, routing::VersionSplit> splits;
  for (const auto& [id, entry] : aSnapshot.entries) {
    const auto* service = std::get_if<config::ServiceEntry>(&entry);
    if (!service) {
      continue;
    }
    routing::VersionSplit& split = splits[service->header.name];
    if (!service->version.empty()) {
      split.fromVersions = routing::VersionSelector::Only(service->version);
    }
    if (const MoveEntry* move = aSnapshot.OpenMoveOf(service->header.name)) {
      const std::uint32_t stage = StageIn(*move, aZone);
      split.toVersion = move->toVersion;
      split.share = ShareAt(*move, stage);
      split.atMostOnceShare = AtMostOnceShareAt(*move, stage);
      split.condemned = CondemnationReason(*move).has_value();
    }
  }
  return splits;
}

std::vector<MoveProgress>
MoveTracker::All() const
{
  std::vector<MoveProgress> all;
  for (const auto& [key, progress] : mProgress) {
    all.push_back(progress);
  }
  return all;
}

std::vector<MoveProgress>
MoveTracker::ProgressOf(const MoveEntry& aMove) const
{
  std::vector<MoveProgress> found;
  for (const auto& [key, progress] : mProgress) {
    if (key.move == aMove.header.name &&
        key.revision == aMove.header.revision) {
      found.push_back(progress);
    }
  }
  return found;
}

} // namespace knapweedpaddle::moves
