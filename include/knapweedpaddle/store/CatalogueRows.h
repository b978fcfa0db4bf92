#pragma once

#include "knapweedpaddle/store/StoreClient.h"

#include <cstdint>
#include <optional>
#include <string>

namespace knapweedpaddle::store {

/** Key of the row that holds the number of the newest accepted version. */
inline constexpr const char* kHeadKey = "head";

/** Key of the row that holds the version of the newest whole snapshot. */
inline constexpr const char* kSnapshotKey = "snapshot";

inline constexpr const char* kChangePrefix = "change/";
inline constexpr const char* kMemberPrefix = "node/";

/** Key of the row of one accepted change; keys sort by version. */
std::string
ChangeKey(std::uint64_t aVersion);

/** Key of the row that says which version an operation became. */
std::string
OperationKey(const std::string& aOperationId);

/** Key of the claim on an idempotency key. */
std::string
ClaimKey(const std::string& aIdempotencyKey);

/** Name of a whole snapshot in the object store. */
std::string
SnapshotObjectName(std::uint64_t aVersion);

/** Parses a row that holds a version; 0 for an absent row, nothing for another
 * value. */
std::optional<std::uint64_t>
VersionOf(const Row& aRow);

} // namespace knapweedpaddle::store
