#pragma once

#include "knapweedpaddle/config/Entry.h"
#include "knapweedpaddle/routing/RoutingView.h"

#include <cstdint>

/** Moves of a service's traffic to a new version. */
namespace knapweedpaddle::moves {

/** Steps of a move in one zone. Each has its share of calls; they only rise. */
enum class Stage : std::uint32_t
{
  kWaiting = 0,
  kCanary = 1,
  kTenth = 2,
  kQuarter = 3,
  kHalf = 4,
  kAll = 5,
  kBaked = 6, ///< stayed at a share of 1 for the bake time
};

inline constexpr std::uint32_t kLastStage =
  static_cast<std::uint32_t>(Stage::kBaked);

/** Least time between two stages, whatever the schedule says. */
inline constexpr Milliseconds kMinStageTime{ 2000 };

/** Returns the share of idempotent and check calls at a stage. */
double
ShareAt(const config::MoveEntry& aMove, std::uint32_t aStage);

/** Returns the share of at most once calls, which follow one stage behind. */
double
AtMostOnceShareAt(const config::MoveEntry& aMove, std::uint32_t aStage);

/** Returns when a stage may begin, by the entry's times. */
WallMilliseconds
StageStart(const config::MoveEntry& aMove, std::uint32_t aStage);

/** True when the stages that are left can't be finished by the entry's time. */
bool
IsLate(const config::MoveEntry& aMove,
       std::uint32_t aStage,
       WallMilliseconds aNow);

} // namespace knapweedpaddle::moves
