#include "TeamAdmission.h"

#include "knapweedpaddle/http/Message.h"

namespace knapweedpaddle::callers {

namespace {

/** Time for a caller whose key can't be checked here to find another node. */
constexpr Milliseconds kUnconfirmedRetryAfter{ 500 };

} // namespace

TeamAdmission::TeamAdmission(Options aOptions, telemetry::Metrics& aMetrics)
  : mOptions(std::move(aOptions))
  , mMetrics(aMetrics)
  , mAllowances(mOptions.allowanceSlots)
{
}

bool
TeamAdmission::AwaitsConfirmation(const routing::RoutingView& aView) const
{
  return mOptions.maxKeyAge > Milliseconds(0) && !mConfirmedAt && aView.teams &&
         aView.teams->HasTeams();
}

TeamAdmission::Result
TeamAdmission::Admit(CallRequest& aRequest,
                     const config::RouteEntry& aRoute,
                     const routing::RoutingView& aView,
                     Microseconds aReceivedAt)
{
  Result result;
  if (!aView.teams || !aView.teams->HasTeams()) {
    return result;
  }
  std::string key;
  if (const std::string* found =
        http::FindHeader(aRequest.headers, mOptions.keyHeader)) {
    key = *found;
    http::RemoveHeader(aRequest.headers, mOptions.keyHeader);
  }
  http::RemoveHeader(aRequest.headers, mOptions.teamHeader);
  if (aRoute.isPublic) {
    return result;
  }
  const auto refuse = [&](RefusalCause aCause, std::string aReason) {
    mMetrics.Count(
      "team_calls_refused_total",
      { { "cause", std::string(NameOf(kRefusalCauseNames, aCause)) } });
    result.cause = aCause;
    result.reason = std::move(aReason);
  };
  // A newer configuration may no longer hold the key.
  const bool isOutdated =
    mOptions.maxKeyAge > Milliseconds(0) &&
    (!mConfirmedAt || aReceivedAt - *mConfirmedAt >= mOptions.maxKeyAge);
  if (isOutdated) {
    refuse(RefusalCause::kUnavailable,
           "the configuration was not confirmed lately, so that the caller's "
           "key may have been withdrawn");
    result.retryAfter = kUnconfirmedRetryAfter;
    return result;
  }
  const config::TeamEntry* team = aView.teams->Find(key);
  if (!team) {
    refuse(RefusalCause::kUnknownKey, "the caller's key is not known");
    return result;
  }
  const auto admission = mAllowances.Take(*team, BootTime());
  if (!admission.admitted) {
    refuse(RefusalCause::kAllowanceSpent,
           "the allowance of team \"" + team->header.name + "\" is used up");
    result.retryAfter = admission.retryAfter;
    return result;
  }
  result.team = team->header.name;
  result.priority = team->priority;
  return result;
}

} // namespace knapweedpaddle::callers
