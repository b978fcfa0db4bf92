#pragma once

#include "knapweedpaddle/backends/ClaimService.h"

namespace knapweedpaddle::node {

/** Grants nothing, where callers send no idempotency keys. */
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
