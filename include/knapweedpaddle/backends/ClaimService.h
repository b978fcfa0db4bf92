#pragma once

#include "knapweedpaddle/common/EnumNames.h"

#include <functional>
#include <string>

namespace knapweedpaddle::backends {

/** What came of claiming an idempotency key. */
enum class ClaimOutcome
{
  kGranted,     ///< this call holds the key; no other may run
  kTaken,       ///< another call holds the key
  kUnavailable, ///< the platform gave no certain answer
  kOverBudget,  ///< too many claims for the platform's write budget
};

inline constexpr std::array<EnumName<ClaimOutcome>, 4> kClaimOutcomeNames{ {
  { ClaimOutcome::kGranted, "granted" },
  { ClaimOutcome::kTaken, "taken" },
  { ClaimOutcome::kUnavailable, "unavailable" },
  { ClaimOutcome::kOverBudget, "over_budget" },
} };

/** Claims idempotency keys in the platform's table. */
class ClaimService
{
public:
  using Callback = std::function<void(ClaimOutcome)>;

  virtual ~ClaimService() = default;

  /**
   * Claims a key for a call. The callback runs once, on the calling thread,
   * never from inside Claim().
   */
  virtual void Claim(const std::string& aKey,
                     const std::string& aCallId,
                     Callback aCallback) = 0;
};

} // namespace knapweedpaddle::backends
