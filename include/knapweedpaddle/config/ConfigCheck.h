#pragma once

#include "knapweedpaddle/config/Snapshot.h"

namespace knapweedpaddle::config {

/** How serious a finding about a configuration is. */
enum class FindingLevel
{
  kError,   ///< nodes refuse the configuration
  kWarning, ///< it has no effect, or contradicts another setting
};

inline constexpr std::array<EnumName<FindingLevel>, 2> kFindingLevelNames{ {
  { FindingLevel::kError, "error" },
  { FindingLevel::kWarning, "warning" },
} };

/** Something that is wrong with a configuration. */
struct Finding
{
  FindingLevel level = FindingLevel::kWarning;
  std::string entry;   ///< "kind/name", or "limits"
  std::string message; ///< never shows a key of a caller

  bool operator==(const Finding&) const = default;
};

/**
 * Checks a configuration before it is put in force: the first error that
 * Validate() finds, entries that can never match, and limits that contradict
 * each other.
 *
 * Thread safety: any thread.
 */
std::vector<Finding>
Check(const Snapshot& aSnapshot);

/**
 * Describes what a configuration changes against another one, a line for each
 * entry with the old and the new value of each field. Keys of callers are shown
 * as their number only.
 *
 * Thread safety: any thread.
 */
std::vector<std::string>
DescribeChanges(const Snapshot& aInForce, const Snapshot& aNew);

} // namespace knapweedpaddle::config
