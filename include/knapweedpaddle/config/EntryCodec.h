#pragma once

#include "knapweedpaddle/config/Snapshot.h"

#include <optional>
#include <string>
#include <vector>

namespace knapweedpaddle::config {

/** Returns an entry as one line of JSON with its fields in a fixed order. */
std::string
EncodeEntry(const Entry& aEntry);

/**
 * Parses one entry. Unknown fields, unknown kinds and wrong types are errors.
 *
 * @return nothing, with the entry and field named in aReason, on an error.
 */
std::optional<Entry>
DecodeEntry(const std::string& aJson, ConfigReason& aReason);

/** Returns a change as one line of JSON. */
std::string
EncodeChange(const Change& aChange);

/** Parses a change; see DecodeEntry() for errors. */
std::optional<Change>
DecodeChange(const std::string& aJson, ConfigReason& aReason);

/** Returns a snapshot, with its digest, as one line of JSON. */
std::string
EncodeSnapshot(const Snapshot& aSnapshot);

/** Parses a snapshot and verifies the digest that it contains. */
std::optional<Snapshot>
DecodeSnapshot(const std::string& aJson, ConfigReason& aReason);

/** An operator's request to write and remove entries. */
struct ChangeRequest
{
  std::string operationId;
  /**
   * Entries to create or replace. Each header.revision is the revision that the
   * operator last read, or 0 if the entry did not exist.
   */
  std::vector<Entry> upserts;
  struct Removal
  {
    EntryId id;
    std::uint64_t revision = 0; ///< revision that the operator last read
  };
  std::vector<Removal> removals;
};

/**
 * Parses an operator's request: {"operation_id", "entries": [...],
 * "remove": [{"id", "revision"}]}. It is an error to name an entry twice.
 */
std::optional<ChangeRequest>
DecodeChangeRequest(const std::string& aJson, ConfigReason& aReason);

} // namespace knapweedpaddle::config
