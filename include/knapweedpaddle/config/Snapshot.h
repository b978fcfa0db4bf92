#pragma once

#include "knapweedpaddle/config/ConfigError.h"
#include "knapweedpaddle/config/Entry.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace knapweedpaddle::config {

/** The whole catalogue at one version; immutable once it is shared. */
struct Snapshot
{
  std::uint64_t version = 0;
  std::map<EntryId, Entry> entries;
  CallerLimits callerLimits;

  /** Returns the entry, or null. */
  const Entry* Find(const EntryId& aId) const;

  /** Returns an entry, whose type T must fit its kind, or null. */
  template<typename T>
  const T* Get(EntryKind aKind, const std::string& aName) const
  {
    const Entry* it = Find(EntryId{ aKind, aName });
    return it ? std::get_if<T>(it) : nullptr;
  }

  /** Returns the open move of a service, or null. */
  const MoveEntry* OpenMoveOf(const std::string& aService) const;

  /** Returns a 128-bit hash of the version and entries as hex digits. */
  std::string Digest() const;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/** An accepted change, which turns catalogue baseVersion into version. */
struct Change
{
  std::uint64_t version = 0;
  std::uint64_t baseVersion = 0; ///< 0 stands for version - 1
  std::string operationId;
  std::string digest; ///< digest of the resulting snapshot; may be empty
  std::vector<Entry> upserts;
  std::vector<EntryId> removals;
};

/**
 * Returns a copy of a snapshot with a change applied. The revision of every
 * entry that the change writes is set to the change's version.
 */
Snapshot
ApplyChange(const Snapshot& aBase, const Change& aChange);

/**
 * Returns the change that turns one snapshot into another. It has no digest and
 * does not include the caller limits.
 */
Change
Difference(const Snapshot& aFrom, const Snapshot& aTo);

/**
 * Checks that every field is in range and every reference resolves.
 *
 * @return false, with the first error in aReason, if the snapshot is not valid.
 *
 * Thread safety: any thread.
 */
bool
Validate(const Snapshot& aSnapshot, ConfigReason& aReason);

} // namespace knapweedpaddle::config
