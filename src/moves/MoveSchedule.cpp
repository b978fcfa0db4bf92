#include "knapweedpaddle/moves/MoveSchedule.h"

#include <algorithm>
#include <array>

namespace knapweedpaddle::moves {

namespace {

/** Share of the time from the start to the bake that the stages take. */
constexpr double kScheduleShare = 0.8;

/** Shares of calls in Stage::kTenth and the stages after it. */
constexpr std::array<double, 5> kShares{ 0.1, 0.25, 0.5, 1.0, 1.0 };

} // namespace

double
ShareAt(const config::MoveEntry& aMove, std::uint32_t aStage)
{
  if (aStage == static_cast<std::uint32_t>(Stage::kWaiting)) {
    return 0;
  }
  if (aStage == static_cast<std::uint32_t>(Stage::kCanary)) {
    return aMove.canaryShare;
  }
  const std::size_t n = std::min<std::size_t>(aStage - 2, kShares.size() - 1);
  return std::max(aMove.canaryShare, kShares[n]);
}

double
AtMostOnceShareAt(const config::MoveEntry& aMove, std::uint32_t aStage)
{
  if (aStage >= static_cast<std::uint32_t>(Stage::kAll)) {
    return 1;
  }
  return aStage == 0 ? 0 : ShareAt(aMove, aStage - 1);
}

WallMilliseconds
StageStart(const config::MoveEntry& aMove, std::uint32_t aStage)
{
  if (aStage <= static_cast<std::uint32_t>(Stage::kCanary)) {
    return aMove.startAt;
  }
  const auto last = static_cast<std::uint32_t>(Stage::kAll);
  const auto window =
    static_cast<double>(aMove.doneBy - aMove.startAt - aMove.bake.count());
  const double msPerStage = std::max(window, 0.0) * kScheduleShare / last;
  const double stages = std::min(aStage, last) - 1;
  const WallMilliseconds start =
    aMove.startAt + static_cast<WallMilliseconds>(msPerStage * stages);
  return aStage == kLastStage ? start + aMove.bake.count() : start;
}

bool
IsLate(const config::MoveEntry& aMove,
       std::uint32_t aStage,
       WallMilliseconds aNow)
{
  const auto last = static_cast<std::uint32_t>(Stage::kAll);
  const std::uint32_t left = aStage < last ? last - aStage : 0;
  const WallMilliseconds bake = aStage < kLastStage ? aMove.bake.count() : 0;
  return std::max(aNow, aMove.startAt) + left * kMinStageTime.count() + bake >
         aMove.doneBy;
}

} // namespace knapweedpaddle::moves
