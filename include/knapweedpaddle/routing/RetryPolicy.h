#pragma once

#include "knapweedpaddle/config/Entry.h"
#include "knapweedpaddle/routing/TokenBucket.h"

#include <optional>

namespace knapweedpaddle::routing {

/** What is known of a try that brought no answer. */
enum class TryOutcome
{
  kNotRun,  ///< proved: no byte of the call reached the backend server
  kUnknown, ///< the backend server may have run it
};

inline constexpr std::array<EnumName<TryOutcome>, 2> kTryOutcomeNames{ {
  { TryOutcome::kNotRun, "not-run" },
  { TryOutcome::kUnknown, "unknown" },
} };

enum class RetryRefusal
{
  kMayHaveRun, ///< an at most once call that may have run
  kNoTimeLeft,
  kTooManyTries,
  kBudgetSpent,
};

inline constexpr std::array<EnumName<RetryRefusal>, 4> kRetryRefusalNames{ {
  { RetryRefusal::kMayHaveRun, "may_have_run" },
  { RetryRefusal::kNoTimeLeft, "no_time_left" },
  { RetryRefusal::kTooManyTries, "too_many_tries" },
  { RetryRefusal::kBudgetSpent, "budget_spent" },
} };

struct FailedTry
{
  config::CallClass callClass = config::CallClass::kIdempotent;
  TryOutcome outcome = TryOutcome::kUnknown;
  std::uint32_t tries = 1; ///< made so far, this one included
  Timestamp deadline;
  std::uint32_t maxTries = 3; ///< that may reach a backend server
  bool arrived = true;        ///< this try reached a backend server
};

struct RetryOptions
{
  double retriesPerCall = 0.1; ///< retries earned by each first try
  double burst = 20;           ///< retries at once
  /** Retries that one costs after a try that may have run: the calls that its
   * run made are made again, too. */
  double costIfMayHaveRun = 1;
};

/**
 * Decides whether a call may be sent again after a failed try. Retries are a
 * share of all calls, so that they can't multiply load when many calls fail.
 * A try that no backend server saw costs nothing of that share.
 *
 * Thread safety: the traffic thread only.
 */
class RetryPolicy
{
public:
  explicit RetryPolicy(RetryOptions aOptions = {});

  /** Changes the budget; what was saved is kept up to the new burst. */
  void SetOptions(RetryOptions aOptions);

  /** Counts a first try, which earns part of a retry. */
  void CountCall();

  /** @return why the call must not go again, or nothing when it may. */
  std::optional<RetryRefusal> CheckRetry(const FailedTry& aTry, Timestamp aNow);

  /** Takes a retry from the budget for a second, parallel try. */
  bool TakeHedge(Timestamp aNow);

private:
  RetryOptions mOptions;
  TokenBucket mBudget;
};

} // namespace knapweedpaddle::routing
