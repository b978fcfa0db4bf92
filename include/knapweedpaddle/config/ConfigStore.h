#pragma once

#include "knapweedpaddle/config/Snapshot.h"

#include <deque>
#include <vector>

namespace knapweedpaddle::config {

/**
 * Holds a node's current configuration and its latest changes. The version only
 * increases, and a change or snapshot is applied as a whole or not at all.
 *
 * Thread safety: control thread only. The snapshots that Current() returns are
 * immutable and may be read from any thread.
 */
class ConfigStore
{
public:
  /** @param aHistoryLimit  most changes kept for ChangesAfter(). */
  explicit ConfigStore(std::size_t aHistoryLimit);

  SnapshotPtr Current() const { return mCurrent; }
  std::uint64_t Version() const { return mCurrent->version; }

  /**
   * Applies a change to the current snapshot.
   *
   * @return false, with nothing changed and the error in aReason, if the
   * change's version is not the one after the current version (kStale, kGap),
   * the result does not match the change's digest or the result is not valid.
   */
  bool Apply(const Change& aChange, ConfigReason& aReason);

  /**
   * Replaces the current snapshot by a newer one and clears the history.
   *
   * @return false, with nothing changed and the error in aReason, if the
   * snapshot is not newer (kStale) or not valid.
   */
  bool Replace(const Snapshot& aSnapshot, ConfigReason& aReason);

  /**
   * Returns the changes after a version, oldest first, or nothing if some of
   * them are no longer in the history.
   */
  std::optional<std::vector<Change>> ChangesAfter(std::uint64_t aVersion) const;

private:
  bool SetCurrentIfValid(Snapshot aSnapshot, ConfigReason& aReason);

  std::size_t mHistoryLimit;
  SnapshotPtr mCurrent;
  std::deque<Change> mHistory;
};

} // namespace knapweedpaddle::config
