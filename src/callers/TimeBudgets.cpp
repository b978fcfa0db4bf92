#include "knapweedpaddle/callers/TimeBudgets.h"

#include <algorithm>
#include <utility>

namespace knapweedpaddle::callers {

namespace {

/** Long enough for first tries to be seen in each period on a quiet route. */
constexpr std::chrono::seconds kPeriod{ 10 };

} // namespace

Milliseconds
TimeBudgets::TimeSpent(const std::string& aRoute,
                       Milliseconds aLeft,
                       Timestamp aNow)
{
  Most& most = mRoutes[aRoute];
  if (aNow - most.since >= kPeriod) {
    most.previous = std::exchange(most.current, Milliseconds(0));
    most.since = aNow;
  }
  most.current = std::max(most.current, aLeft);
  return std::max(most.current, most.previous) - aLeft;
}

} // namespace knapweedpaddle::callers
