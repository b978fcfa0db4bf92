#pragma once

#include "knapweedpaddle/config/Snapshot.h"

#include <deque>
#include <vector>

namespace knapweedpaddle::config {

/**
 * The configuration that a node holds. Versions only rise, and a candidate is
 * applied whole or not at all.
 *
 * Thread safety: used on the control thread only; the snapshots that it hands
 * out may be read from any thread.
 */
class ConfigStore
{
public:
  /** @param aHistoryLimit  number of changes kept for peers that are behind. */
  explicit ConfigStore(std::size_t aHistoryLimit);

  SnapshotPtr Current() const { return mCurrent; }
  std::uint64_t Version() const { return mCurrent->version; }

  /**
   * Applies the change that follows the version held.
   *
   * @return false, with nothing changed, for a change that is stale, leaves a
   * gap, does not lead to its digest or leads to a snapshot that is not valid.
   */
  bool Apply(const Change& aChange, ConfigReason& aReason);

  /** Applies a whole newer snapshot; the same errors as for Apply(). */
  bool Replace(const Snapshot& aSnapshot, ConfigReason& aReason);

  /**
   * Returns the changes after a version, oldest first. Nothing when the kept
   * history does not reach back that far.
   */
  std::optional<std::vector<Change>> ChangesAfter(std::uint64_t aVersion) const;

private:
  bool SetCurrentIfValid(Snapshot aSnapshot, ConfigReason& aReason);

  std::size_t mHistoryLimit;
  SnapshotPtr mCurrent;
  std::deque<Change> mHistory;
};

} // namespace knapweedpaddle::config
