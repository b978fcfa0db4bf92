#pragma once

#include "knapweedpaddle/config/Entry.h"
#include "knapweedpaddle/routing/TokenBucket.h"

#include <optional>

namespace knapweedpaddle::routing {

/** Whether a try that got no answer may have been run. */
enum class TryOutcome
{
  kNotRun,  ///< proved not run: no byte reached a server, or it refused
  kUnknown, ///< the backend server may have run the call
};

inline constexpr std::array<EnumName<TryOutcome>, 2> kTryOutcomeNames{ {
  { TryOutcome::kNotRun, "not-run" },
  { TryOutcome::kUnknown, "unknown" },
} };

/** Why a call must not be sent again. */
enum class RetryRefusal
{
  kMayHaveRun, ///< the call is at most once and may have run
  /** The call may have run, and a newer configuration may forbid a repeat. */
  kConfigUnconfirmed,
  kNoTimeLeft,
  kTooManyTries,
  kBudgetSpent,
};

inline constexpr std::array<EnumName<RetryRefusal>, 5> kRetryRefusalNames{ {
  { RetryRefusal::kMayHaveRun, "may_have_run" },
  { RetryRefusal::kConfigUnconfirmed, "config_unconfirmed" },
  { RetryRefusal::kNoTimeLeft, "no_time_left" },
  { RetryRefusal::kTooManyTries, "too_many_tries" },
  { RetryRefusal::kBudgetSpent, "budget_spent" },
} };

/** A try that got no answer, and the state of its call. */
struct FailedTry
{
  config::CallClass callClass = config::CallClass::kIdempotent;
  TryOutcome outcome = TryOutcome::kUnknown;
  std::uint32_t tries = 1; ///< tries made so far, including this one
  Timestamp deadline;
  std::uint32_t maxTries = 3; ///< limit of tries that reach a backend server
  bool arrived = true;        ///< whether this try reached a backend server
};

/** Size of the retry budget. */
struct RetryOptions
{
  double retriesPerCall = 0.1; ///< retries that each call adds to the budget
  double burst = 20;           ///< most retries that the budget holds
  /** Cost of a retry after a try that may have run, in retries. It may be above
   * 1 because the calls which that run made are repeated as well. */
  double costIfMayHaveRun = 1;
};

/**
 * Decides whether a call may be sent again after a failed try. A budget limits
 * retries to a share of all calls, so that they can't multiply the load when
 * many calls fail. A retry is free if the failed try reached no backend server.
 *
 * Thread safety: the traffic thread only.
 */
class RetryPolicy
{
public:
  explicit RetryPolicy(RetryOptions aOptions = {});

  /** Changes the budget. Retries saved so far are kept, up to the new burst. */
  void SetOptions(RetryOptions aOptions);

  /** Adds RetryOptions::retriesPerCall to the budget, for the first try of a
   * call. */
  void CountCall();

  /** Takes a retry from the budget if the call may be sent again. Returns the
   * reason if it must not. */
  std::optional<RetryRefusal> CheckRetry(const FailedTry& aTry, Timestamp aNow);

  /** Takes the cost of a second, parallel try from the budget. Returns false if
   * too little is left. */
  bool TakeHedge(Timestamp aNow);

private:
  RetryOptions mOptions;
  TokenBucket mBudget;
};

} // namespace knapweedpaddle::routing
