#include "knapweedpaddle/callers/CallerTimeoutEstimator.h"

#include <algorithm>
#include <utility>

namespace knapweedpaddle::callers {

namespace {

/** Long enough for first tries to be seen in each period on a quiet route. */
constexpr std::chrono::seconds kPeriod{ 10 };

} // namespace

Milliseconds
CallerTimeoutEstimator::TimeSinceFirstTry(const std::string& aRoute,
                                          Milliseconds aLeft,
                                          Timestamp aNow)
{
  LongestTimeouts& most = mRoutes[aRoute];
  if (aNow - most.startedAt >= kPeriod) {
    most.previous = std::exchange(most.current, Milliseconds(0));
    most.startedAt = aNow;
  }
  most.current = std::max(most.current, aLeft);
  return std::max(most.current, most.previous) - aLeft;
}

} // namespace knapweedpaddle::callers
