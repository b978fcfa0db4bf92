#pragma once

#include "knapweedpaddle/config/ConfigError.h"
#include "knapweedpaddle/config/Entry.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace knapweedpaddle::config {

/** The whole catalogue at one version. Immutable once shared. */
struct Snapshot
{
  std::uint64_t version = 0;
  std::map<EntryId, Entry> entries;
  CallerLimits callerLimits;

  const Entry* Find(const EntryId& aId) const;

  /** Returns the entry of type T with this name, or null. */
  template<typename T>
  const T* Get(EntryKind aKind, const std::string& aName) const
  {
    const Entry* it = Find(EntryId{ aKind, aName });
    return it ? std::get_if<T>(it) : nullptr;
  }

  /** Returns the open move of a service, or null. */
  const MoveEntry* OpenMoveOf(const std::string& aService) const;

  /** Returns a hexadecimal 128 bit digest of version and entries. */
  std::string Digest() const;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/** One accepted change: what turns its base version into version. */
struct Change
{
  std::uint64_t version = 0;
  std::uint64_t baseVersion = 0; ///< 0 for version - 1
  std::string operationId;
  std::string digest; ///< of the snapshot that results, or empty
  std::vector<Entry> upserts;
  std::vector<EntryId> removals;
};

/**
 * Returns a copy of a snapshot with a change's entries replaced and removed.
 * Upserted entries get the change's version as their revision.
 */
Snapshot
ApplyChange(const Snapshot& aBase, const Change& aChange);

/** Returns the change that turns one snapshot into another. */
Change
Difference(const Snapshot& aFrom, const Snapshot& aTo);

/**
 * Checks that every field is in range and every reference resolves.
 *
 * @return false, with the first fault in aReason, when the snapshot is not
 * valid. Thread safety: any thread.
 */
bool
Validate(const Snapshot& aSnapshot, ConfigReason& aReason);

} // namespace knapweedpaddle::config
