#pragma once

#include "knapweedpaddle/common/EnumNames.h"

#include <functional>
#include <string>

namespace knapweedpaddle::backends {

/** Result of claiming an idempotency key. */
enum class ClaimOutcome
{
  kGranted,     ///< the key belongs to this call, which alone may run
  kTaken,       ///< the key belongs to another call
  kUnavailable, ///< the platform did not confirm whether the key was claimed
  kOverBudget,  ///< the claim would exceed the write budget of the platform
};

inline constexpr std::array<EnumName<ClaimOutcome>, 4> kClaimOutcomeNames{ {
  { ClaimOutcome::kGranted, "granted" },
  { ClaimOutcome::kTaken, "taken" },
  { ClaimOutcome::kUnavailable, "unavailable" },
  { ClaimOutcome::kOverBudget, "over_budget" },
} };

/** Claims idempotency keys in the table of the platform's store. */
class ClaimService
{
public:
  using Callback = std::function<void(ClaimOutcome)>;

  virtual ~ClaimService() = default;

  /**
   * Claims a key for a call. The callback runs once, on the calling thread,
   * after Claim() has returned.
   */
  virtual void Claim(const std::string& aKey,
                     const std::string& aCallId,
                     Callback aCallback) = 0;
};

} // namespace knapweedpaddle::backends
