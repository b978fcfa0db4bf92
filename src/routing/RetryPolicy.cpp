#include "knapweedpaddle/routing/RetryPolicy.h"

namespace knapweedpaddle::routing {

namespace {

/** No retry is sent with less time than this before the deadline. */
constexpr Milliseconds kMinTimeLeft{ 2 };

} // namespace

RetryPolicy::RetryPolicy(RetryOptions aOptions)
  : mOptions(aOptions)
  , mBudget(0, aOptions.burst)
{
}

void
RetryPolicy::SetOptions(RetryOptions aOptions)
{
  mOptions = aOptions;
  mBudget.SetBurst(aOptions.burst);
}

void
RetryPolicy::CountCall()
{
  mBudget.Add(mOptions.retriesPerCall);
}

std::optional<RetryRefusal>
RetryPolicy::CheckRetry(const FailedTry& aTry, Timestamp aNow)
{
  if (aTry.callClass == config::CallClass::kAtMostOnce &&
      aTry.outcome != TryOutcome::kNotRun) {
    return RetryRefusal::kMayHaveRun;
  }
  if (aNow + kMinTimeLeft >= aTry.deadline) {
    return RetryRefusal::kNoTimeLeft;
  }
  if (aTry.tries >= aTry.maxTries) {
    return RetryRefusal::kTooManyTries;
  }
  const double cost =
    aTry.outcome == TryOutcome::kUnknown ? mOptions.costIfMayHaveRun : 1;
  if (aTry.arrived && !mBudget.Take(aNow, cost)) {
    return RetryRefusal::kBudgetSpent;
  }
  return std::nullopt;
}

bool
RetryPolicy::TakeHedge(Timestamp aNow)
{
  return mBudget.Take(aNow, mOptions.costIfMayHaveRun);
}

} // namespace knapweedpaddle::routing
