#include "knapweedpaddle/nodes/RequestDelayEstimator.h"

#include <algorithm>
#include <utility>

namespace knapweedpaddle::nodes {

Microseconds
RequestDelayEstimator::Add(Microseconds aSentAt, Microseconds aReceivedAt)
{
  const Microseconds offset = aReceivedAt - aSentAt;
  Microseconds shortest = mClockOffset.value_or(offset);
  if (const auto earliest = std::exchange(mEarliestSendTime, std::nullopt)) {
    shortest = std::max(shortest, *earliest - aSentAt);
  }
  mClockOffset = std::min(shortest, offset);
  return offset - *mClockOffset;
}

void
RequestDelayEstimator::SetEarliestSendTime(Microseconds aTime)
{
  mEarliestSendTime = aTime;
}

} // namespace knapweedpaddle::nodes
