#pragma once

#include "knapweedpaddle/common/EnumNames.h"
#include "knapweedpaddle/common/Reason.h"

namespace knapweedpaddle::config {

enum class ConfigError
{
  kMalformed, ///< text that is not JSON, or a field of the wrong type
  kInvalid,   ///< a field out of range or a reference that does not resolve
  kStale,     ///< not newer than the version held
  kGap,       ///< a change that does not follow the version held
  kDigestMismatch, ///< contents that are not what was accepted
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
