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
 * Parses one entry. Unknown fields, unknown kinds and wrong types are refused.
 *
 * @return nothing, with the entry and field named in aReason, on bad input.
 */
std::optional<Entry>
DecodeEntry(const std::string& aJson, ConfigReason& aReason);

/** Returns a change as one line of JSON. */
std::string
EncodeChange(const Change& aChange);

std::optional<Change>
DecodeChange(const std::string& aJson, ConfigReason& aReason);

/** Returns a snapshot, with its digest, as one line of JSON. */
std::string
EncodeSnapshot(const Snapshot& aSnapshot);

/** Parses a snapshot and checks it against the digest it carries. */
std::optional<Snapshot>
DecodeSnapshot(const std::string& aJson, ConfigReason& aReason);

/** What an operator asks for: entries to write and entries to remove. */
struct ChangeRequest
{
  std::string operationId;
  std::vector<Entry>
    upserts; ///< header.revision is the one that the operator saw, 0 for none
  struct Removal
  {
    EntryId id;
    std::uint64_t revision = 0;
  };
  std::vector<Removal> removals;
};

/**
 * Parses an operator's request: {"operation_id", "entries": [...],
 * "remove": [{"id", "revision"}]}. An entry named twice is refused.
 */
std::optional<ChangeRequest>
DecodeChangeRequest(const std::string& aJson, ConfigReason& aReason);

} // namespace knapweedpaddle::config
