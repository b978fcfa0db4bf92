#include "knapweedpaddle/routing/RetryPolicy.h"

namespace knapweedpaddle::routing {

namespace {

constexpr double kRetriesPerCall = 0.1;
constexpr double kRetryBurst = 20;
constexpr std::uint32_t kMaxTries = 3;
constexpr Milliseconds kLeastTimeLeft{ 2 };

} // namespace

RetryPolicy::RetryPolicy()
  : mBudget(0, kRetryBurst)
{
}

void
RetryPolicy::CountCall()
{
  mBudget.Add(kRetriesPerCall);
}

std::optional<RetryRefusal>
RetryPolicy::Refuse(const FailedTry& aTry, Timestamp aNow)
{
  if (aTry.callClass == config::CallClass::kAtMostOnce &&
      aTry.outcome != TryOutcome::kNotRun) {
    return RetryRefusal::kMayHaveRun;
  }
  if (aNow + kLeastTimeLeft >= aTry.deadline) {
    return RetryRefusal::kNoTimeLeft;
  }
  if (aTry.tries >= kMaxTries) {
    return RetryRefusal::kTooManyTries;
  }
  if (!mBudget.Take(aNow)) {
    return RetryRefusal::kBudgetSpent;
  }
  return std::nullopt;
}

bool
RetryPolicy::TakeHedge(Timestamp aNow)
{
  return mBudget.Take(aNow);
}

} // namespace knapweedpaddle::routing
