#pragma once

#include "knapweedpaddle/common/EnumNames.h"

#include <initializer_list>
#include <string>

/** Logs, counters and traces. */
namespace knapweedpaddle::telemetry {

enum class LogCategory
{
  kNode,
  kConfig,
  kMembers,
  kCalls,
  kBackend,
  kPlatform,
  kOperators,
  kMoves,
};

inline constexpr std::array<EnumName<LogCategory>, 8> kLogCategoryNames{ {
  { LogCategory::kNode, "node" },
  { LogCategory::kConfig, "config" },
  { LogCategory::kMembers, "members" },
  { LogCategory::kCalls, "calls" },
  { LogCategory::kBackend, "backend" },
  { LogCategory::kPlatform, "platform" },
  { LogCategory::kOperators, "operators" },
  { LogCategory::kMoves, "moves" },
} };

enum class LogLevel
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

inline constexpr std::array<EnumName<LogLevel>, 4> kLogLevelNames{ {
  { LogLevel::kDebug, "debug" },
  { LogLevel::kInfo, "info" },
  { LogLevel::kWarning, "warning" },
  { LogLevel::kError, "error" },
} };

struct LogField
{
  std::string key;
  std::string value;
};

/** Sets the format and the least severe level. Call once, before other threads
 * start. */
void
StartLog(LogLevel aLevel);

/**
 * Writes one line "time level category event key=value ...". For changes of
 * state only; what recurs is counted instead. Thread safety: any thread.
 */
void
LogEvent(LogCategory aCategory,
         LogLevel aLevel,
         const std::string& aEvent,
         std::initializer_list<LogField> aFields);

} // namespace knapweedpaddle::telemetry
