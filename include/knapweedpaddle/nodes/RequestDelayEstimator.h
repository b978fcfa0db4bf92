#pragma once

#include "knapweedpaddle/common/Time.h"

#include <optional>

namespace knapweedpaddle::nodes {

/**
 * Estimates how long the network held the requests of one connection, although
 * the clocks of its two ends are not synchronized. The request with the
 * shortest time between both clocks counts as not delayed.
 *
 * Thread safety: one thread.
 */
class RequestDelayEstimator
{
public:
  /**
   * Adds a request, in the order of arrival.
   *
   * @param aSentAt  on the sender's clock; must not stop while it is suspended.
   * @param aReceivedAt  on the receiver's clock.
   * @return the estimated delay, at least 0.
   */
  Microseconds Add(Microseconds aSentAt, Microseconds aReceivedAt);

  /**
   * Tells that the requests added from now on were sent after a time. This
   * corrects clocks that drift apart.
   *
   * @param aTime  on the receiver's clock.
   */
  void SetEarliestSendTime(Microseconds aTime);

private:
  /** Shortest time between both clocks. */
  std::optional<Microseconds> mClockOffset;
  std::optional<Microseconds> mEarliestSendTime;
};

} // namespace knapweedpaddle::nodes
