#pragma once

#include "knapweedpaddle/config/Snapshot.h"
#include "knapweedpaddle/nodes/MemberRecord.h"
#include "knapweedpaddle/routing/RoutingView.h"

#include <map>
#include <set>

namespace knapweedpaddle::moves {

/**
 * Keeps the known progress of open moves in every zone. A merge takes the
 * higher stage and keeps condemnations, so that the result does not depend on
 * the order of messages.
 *
 * Thread safety: control thread only.
 */
class MoveTracker
{
public:
  /**
   * Merges progress that a peer reported. Returns true if anything changed.
   * Progress of a move that the configuration has ended changes nothing, or
   * peers would forward it to each other forever.
   */
  bool Merge(const config::Snapshot& aSnapshot,
             const nodes::MoveProgress& aProgress);

  /** Removes moves that are no longer open at their revision. */
  void Prune(const config::Snapshot& aSnapshot);

  /** Returns the stage of a move in a zone. */
  std::uint32_t StageIn(const config::MoveEntry& aMove,
                        const std::string& aZone) const;

  /** Returns why a move was condemned, or nothing if it was not. */
  std::optional<std::string> CondemnationReason(
    const config::MoveEntry& aMove) const;

  /** True if all of the zones finished the move. */
  bool IsFinishedIn(const config::MoveEntry& aMove,
                    const std::set<std::string>& aZones) const;

  /** Returns how each service's calls are split between versions in a zone. */
  std::map<std::string, routing::VersionSplit> Splits(
    const config::Snapshot& aSnapshot,
    const std::string& aZone) const;

  /** Returns the progress of all moves in every zone, for gossip. */
  std::vector<nodes::MoveProgress> All() const;

  /** Returns the progress of one move in every zone. */
  std::vector<nodes::MoveProgress> ProgressOf(
    const config::MoveEntry& aMove) const;

private:
  struct Key
  {
    std::string move;
    std::uint64_t revision = 0;
    std::string zone;

    auto operator<=>(const Key&) const = default;
  };

  std::map<Key, nodes::MoveProgress> mProgress;
};

} // namespace knapweedpaddle::moves
