#pragma once

#include "knapweedpaddle/config/Entry.h"
#include "knapweedpaddle/routing/RoutingView.h"

#include <cstdint>

/** Moves and rollouts: gradual shifts of a service's calls to a new version. */
namespace knapweedpaddle::moves {

/** Stages of a move in one zone, in order. Each gives the new version a share
 * of the calls that is at least that of the stage before. */
enum class Stage : std::uint32_t
{
  kWaiting = 0,
  kCanary = 1,
  kTenth = 2,
  kQuarter = 3,
  kHalf = 4,
  kAll = 5,
  kBaked = 6, ///< the new version took all calls for the bake time
};

inline constexpr std::uint32_t kLastStage =
  static_cast<std::uint32_t>(Stage::kBaked);

/** Minimum time in a stage, even if the schedule is shorter. */
inline constexpr Milliseconds kMinStageTime{ 2000 };

/** Returns the share of idempotent and check calls that the new version gets in
 * a stage. */
double
ShareAt(const config::MoveEntry& aMove, std::uint32_t aStage);

/** Returns the share of at most once calls that the new version gets in a
 * stage: the other calls' share of the stage before, and 1 from kAll on. */
double
AtMostOnceShareAt(const config::MoveEntry& aMove, std::uint32_t aStage);

/** Returns the earliest time at which a stage may begin, from the times of the
 * move's entry. */
WallMilliseconds
StageStart(const config::MoveEntry& aMove, std::uint32_t aStage);

/** True if the remaining stages can't be finished by the time that the move's
 * entry sets. */
bool
IsLate(const config::MoveEntry& aMove,
       std::uint32_t aStage,
       WallMilliseconds aNow);

} // namespace knapweedpaddle::moves
