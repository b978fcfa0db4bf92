#pragma once

#include "knapweedpaddle/callers/Call.h"
#include "knapweedpaddle/callers/TeamAllowances.h"
#include "knapweedpaddle/routing/RoutingView.h"
#include "knapweedpaddle/telemetry/Metrics.h"

namespace knapweedpaddle::callers {

/**
 * Admits calls by the key of their caller, where the configuration holds teams:
 * finds the team, and checks its allowance. Calls on public routes need no key.
 * The key is removed from the request, whatever the route.
 *
 * Thread safety: the traffic thread only.
 */
class TeamAdmission
{
public:
  struct Options
  {
    std::string keyHeader;  ///< name of the header with the caller's key
    std::string teamHeader; ///< header that only nodes may set; removed
    /** A key is accepted only if the configuration was known to be the newest
     * within this time before the call; 0: whatever its age. */
    Milliseconds maxKeyAge{ 0 };
    std::size_t allowanceSlots = 0; ///< see TeamAllowances
  };

  TeamAdmission(Options aOptions, telemetry::Metrics& aMetrics);

  /** Whether and for which team a call is admitted. */
  struct Result
  {
    RefusalCause cause = RefusalCause::kUnavailable; ///< if reason is set
    std::string reason; ///< why the call is refused, or empty
    std::optional<Milliseconds> retryAfter;
    std::string team;                      ///< empty if the call needs none
    std::optional<std::uint32_t> priority; ///< of the team's calls
  };

  /**
   * Admits a call or not, and removes its key.
   *
   * @param aReceivedAt  boot time at which the call was received, or later.
   */
  Result Admit(CallRequest& aRequest,
               const config::RouteEntry& aRoute,
               const routing::RoutingView& aView,
               Microseconds aReceivedAt);

  /** Returns true if calls with keys must wait for the first confirmation. */
  bool AwaitsConfirmation(const routing::RoutingView& aView) const;

  /** Records that the configuration in use was the newest one at a boot time.
   */
  void Confirm(Microseconds aAsOf) { mConfirmedAt = aAsOf; }

  TeamAllowances& Allowances() { return mAllowances; }

private:
  Options mOptions;
  telemetry::Metrics& mMetrics;
  TeamAllowances mAllowances;
  std::optional<Microseconds> mConfirmedAt;
};

} // namespace knapweedpaddle::callers
