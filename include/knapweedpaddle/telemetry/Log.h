#pragma once

#include "knapweedpaddle/common/EnumNames.h"

#include <initializer_list>
#include <string>

/** Logs, metrics and traces of a node. */
namespace knapweedpaddle::telemetry {

/** The part of the node that an event belongs to. */
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

/** A key and value that follow the event on its line. */
struct LogField
{
  std::string key;
  std::string value;
};

/**
 * Sets the line format, the output and the least severe level to write. Must be
 * called once, before other threads start.
 */
void
StartLog(LogLevel aLevel);

/**
 * Writes one line "TIME level=... category=... event=... key=value ...". Meant
 * for state changes; events whose number follows the load belong in a metric or
 * behind a LogRateLimiter.
 *
 * Thread safety: any thread.
 */
void
LogEvent(LogCategory aCategory,
         LogLevel aLevel,
         const std::string& aEvent,
         std::initializer_list<LogField> aFields);

} // namespace knapweedpaddle::telemetry
