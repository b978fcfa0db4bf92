#pragma once

#include "knapweedpaddle/store/StoreClient.h"

#include <cstdint>
#include <optional>
#include <string>

namespace knapweedpaddle::store {

/** Key of the row that holds the newest accepted catalogue version. */
inline constexpr const char* kHeadKey = "head";

/** Key of the row that holds the catalogue version of the newest snapshot. */
inline constexpr const char* kSnapshotKey = "snapshot";

/** Prefix of the keys of accepted changes; see ChangeKey(). */
inline constexpr const char* kChangePrefix = "change/";
/** Prefix of the keys of rows that hold the mesh members. */
inline constexpr const char* kMemberPrefix = "node/";

/** Returns the key of an accepted change; these keys sort by version. */
std::string
ChangeKey(std::uint64_t aVersion);

/** Returns the key of the row that holds the version an operation created. */
std::string
OperationKey(const std::string& aOperationId);

/** Returns the key of the row that claims an idempotency key. */
std::string
ClaimKey(const std::string& aIdempotencyKey);

/** Returns the name of a snapshot in the object store. */
std::string
SnapshotObjectName(std::uint64_t aVersion);

/** Returns the version that a row holds: 0 if the row does not exist, nothing
 * if its value is not a number. */
std::optional<std::uint64_t>
VersionOf(const Row& aRow);

} // namespace knapweedpaddle::store
