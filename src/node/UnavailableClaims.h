#pragma once

#include "knapweedpaddle/backends/ClaimService.h"

namespace knapweedpaddle::node {

/** Answers every claim as unavailable. For nodes whose callers send no
 * idempotency keys. */
class UnavailableClaims : public backends::ClaimService
{
public:
  void Claim(const std::string&,
             const std::string&,
             Callback aCallback) override
  {
    aCallback(backends::ClaimOutcome::kUnavailable);
  }
};

} // namespace knapweedpaddle::node
