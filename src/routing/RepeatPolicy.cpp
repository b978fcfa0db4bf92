#include "knapweedpaddle/routing/RepeatPolicy.h"

#include <algorithm>

namespace knapweedpaddle::routing {

using config::CallClass;

RepeatPolicy::RepeatPolicy(Milliseconds aMaxApplyTime)
  : mMaxApplyTime(aMaxApplyTime)
{
}

void
RepeatPolicy::Confirm(Microseconds aAsOf)
{
  mConfirmedAt = std::max(mConfirmedAt, std::optional(aAsOf));
}

std::optional<RetryRefusal>
RepeatPolicy::CheckRepeat(CallClass aAdmitted,
                          const config::RouteEntry* aCurrent,
                          Microseconds aReceivedAt) const
{
  if (aAdmitted == CallClass::kAtMostOnce || !aCurrent ||
      aCurrent->callClass == CallClass::kAtMostOnce) {
    return RetryRefusal::kMayHaveRun;
  }
  // A version accepted after the last confirmation need not be in force yet for
  // calls that were received within the apply time.
  if (!mConfirmedAt || aReceivedAt - *mConfirmedAt > mMaxApplyTime) {
    return RetryRefusal::kConfigUnconfirmed;
  }
  return std::nullopt;
}

} // namespace knapweedpaddle::routing
