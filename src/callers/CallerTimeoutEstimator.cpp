#include "knapweedpaddle/callers/CallerTimeoutEstimator.h"

#include <algorithm>
#include <utility>

namespace knapweedpaddle::callers {

namespace {

/** Long enough for each period to see first tries even on a route with few
 * calls. */
constexpr std::chrono::seconds kPeriod{ 10 };

} // namespace

Milliseconds
CallerTimeoutEstimator::TimeSinceFirstTry(const std::string& aRoute,
                                          Milliseconds aTimeLeft,
                                          Timestamp aNow)
{
  LongestTimeouts& longest = mRoutes[aRoute];
  if (aNow - longest.startedAt >= kPeriod) {
    longest.previous = std::exchange(longest.current, Milliseconds(0));
    longest.startedAt = aNow;
  }
  longest.current = std::max(longest.current, aTimeLeft);
  return std::max(longest.current, longest.previous) - aTimeLeft;
}

} // namespace knapweedpaddle::callers
