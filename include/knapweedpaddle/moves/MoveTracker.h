#pragma once

#include "knapweedpaddle/config/Snapshot.h"
#include "knapweedpaddle/nodes/MemberRecord.h"
#include "knapweedpaddle/routing/RoutingView.h"

#include <map>
#include <set>

namespace knapweedpaddle::moves {

/**
 * What is known of the progress of open moves, in every zone. Merging takes
 * the higher stage and keeps verdicts, so that any order of messages gives the
 * same result.
 *
 * Thread safety: control thread only.
 */
class MoveTracker
{
public:
  /**
   * Merges one report; true when it was news. A report of a move that the
   * configuration ended is never news, or it would be passed on forever.
   */
  bool Merge(const config::Snapshot& aSnapshot,
             const nodes::MoveProgress& aProgress);

  /** Forgets moves that are no longer open at their revision. */
  void Prune(const config::Snapshot& aSnapshot);

  std::uint32_t StageIn(const config::MoveEntry& aMove,
                        const std::string& aZone) const;

  /** Returns the reason of the verdict against a move, or nothing. */
  std::optional<std::string> CondemnationReason(
    const config::MoveEntry& aMove) const;

  /** True when every one of the zones finished the move. */
  bool IsFinishedIn(const config::MoveEntry& aMove,
                    const std::set<std::string>& aZones) const;

  /** Returns the split of every service's calls in a zone. */
  std::map<std::string, routing::VersionSplit> Splits(
    const config::Snapshot& aSnapshot,
    const std::string& aZone) const;

  /** Returns everything, for gossip. */
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
