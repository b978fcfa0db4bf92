#pragma once

#include "knapweedpaddle/config/Entry.h"
#include "knapweedpaddle/routing/RetryPolicy.h"

#include <optional>

namespace knapweedpaddle::routing {

/**
 * Decides whether a call that may have run may run again, for a retry as well
 * as for a hedge. That is so only if both the route that the call was admitted
 * by and the route of the newest known configuration permit it, and if no
 * configuration that this node doesn't know can have been in force when the
 * call was received.
 *
 * Thread safety: the traffic thread only.
 */
class RepeatPolicy
{
public:
  /** @param aMaxApplyTime  time until an accepted configuration is in force. */
  explicit RepeatPolicy(Milliseconds aMaxApplyTime);

  /** Records that the configuration in use was the newest one at a boot time.
   */
  void Confirm(Microseconds aAsOf);

  /**
   * Checks whether a call may run again.
   *
   * @param aAdmitted    class of the route that the call was admitted by.
   * @param aCurrent     route that the configuration in use has for the call;
   * null if it has none.
   * @param aReceivedAt  boot time at which the call was received, or later.
   * @return the reason why the call must not run again, or nothing.
   */
  std::optional<RetryRefusal> CheckRepeat(config::CallClass aAdmitted,
                                          const config::RouteEntry* aCurrent,
                                          Microseconds aReceivedAt) const;

private:
  Milliseconds mMaxApplyTime;
  std::optional<Microseconds> mConfirmedAt;
};

} // namespace knapweedpaddle::routing
