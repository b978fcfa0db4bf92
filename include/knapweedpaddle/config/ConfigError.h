#pragma once

#include "knapweedpaddle/common/EnumNames.h"
#include "knapweedpaddle/common/Reason.h"

namespace knapweedpaddle::config {

/** Why an entry, a change or a snapshot was rejected. */
enum class ConfigError
{
  kMalformed,      ///< the text is not JSON or has an unknown or mistyped field
  kInvalid,        ///< a field is out of range or a reference does not resolve
  kStale,          ///< the version is not newer than the current one
  kGap,            ///< the change is for a later version than the next one
  kDigestMismatch, ///< the contents do not match the digest
};

inline constexpr std::array<EnumName<ConfigError>, 5> kConfigErrorNames{ {
  { ConfigError::kMalformed, "malformed" },
  { ConfigError::kInvalid, "invalid" },
  { ConfigError::kStale, "stale" },
  { ConfigError::kGap, "gap" },
  { ConfigError::kDigestMismatch, "digest_mismatch" },
} };

using ConfigReason = Reason<ConfigError>;

} // namespace knapweedpaddle::config
