#include "knapweedpaddle/routing/HedgePolicy.h"

#include <algorithm>
#include <cmath>

namespace knapweedpaddle::routing {

namespace {

/** A call is hedged after this multiple of the mean time of its route. */
constexpr double kMeanFactor = 2.2;
/** Earliest time for a hedge, as a fraction of the latency target. */
constexpr double kMinTargetFraction = 0.55;
/** Latest time for a hedge, as a fraction of the latency target; a later hedge
 * would miss the target. */
constexpr double kMaxTargetFraction = 0.85;
/** Second tries that may be saved for a time in which many calls are slow. */
constexpr double kMaxSaved = 20;
constexpr double kHalfLifeSeconds = 1;
/** Share of calls refused for want of room above which nothing is hedged. */
constexpr double kMaxRefusedShare = 0.05;

Milliseconds
FractionOf(Milliseconds aTime, double aFraction)
{
  return std::chrono::duration_cast<Milliseconds>(aTime * aFraction);
}

} // namespace

HedgePolicy::HedgePolicy(double aShare)
  : mShare(aShare)
  , mBudget(0, aShare > 0 ? kMaxSaved : 0)
{
}

std::optional<Milliseconds>
HedgePolicy::DelayOf(const config::RouteEntry& aRoute, double aMeanMs)
{
  switch (aRoute.callClass) {
    case config::CallClass::kCheck:
      return aRoute.slowAfter;
    case config::CallClass::kAtMostOnce:
      return std::nullopt;
    case config::CallClass::kIdempotent:
      break;
  }
  const Milliseconds wellAboveMean(
    static_cast<std::int64_t>(kMeanFactor * aMeanMs));
  const Milliseconds delay =
    std::max(wellAboveMean, FractionOf(aRoute.slowAfter, kMinTargetFraction));
  return delay <= FractionOf(aRoute.slowAfter, kMaxTargetFraction) &&
             aRoute.maxTries > 1
           ? std::optional(delay)
           : std::nullopt;
}

void
HedgePolicy::CountCall(Timestamp aNow)
{
  Decay(aNow);
  mCalls += 1;
  mBudget.Add(mShare);
}

void
HedgePolicy::CountRefusal(Timestamp aNow)
{
  Decay(aNow);
  mRefusals += 1;
}

std::optional<HedgeRefusal>
HedgePolicy::Check(Timestamp aNow)
{
  Decay(aNow);
  if (mRefusals > 1 && mRefusals > kMaxRefusedShare * mCalls) {
    return HedgeRefusal::kShortOfRoom;
  }
  return mBudget.Take(aNow) ? std::nullopt
                            : std::optional(HedgeRefusal::kShareSpent);
}

void
HedgePolicy::Decay(Timestamp aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - mDecayedAt).count();
  const double factor = std::exp2(-seconds / kHalfLifeSeconds);
  mCalls *= factor;
  mRefusals *= factor;
  mDecayedAt = aNow;
}

} // namespace knapweedpaddle::routing
