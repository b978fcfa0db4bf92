#pragma once

#include <string>

namespace knapweedpaddle::callers {

/**
 * Names of the headers that callers and a node exchange. An empty name stands
 * for a header that is not used; a request's header of that name is passed on.
 */
struct CallerDialect
{
  std::string callId; ///< the caller's own id of a call, passed on and echoed
  std::string timeoutMs = "knapweed-timeout-ms";
  std::string idempotencyKey = "idempotency-key";
  std::string trace = "traceparent";
  std::string nodeCallId = "Knapweed-Call-Id";
  std::string outcome = "Knapweed-Outcome";
  std::string reason = "Knapweed-Reason";
  std::string retryAfter = "Retry-After"; ///< in seconds
  std::string callerService; ///< set on each call to the calling service
  /** Statuses 408, 421, 429 and 503 say that a call did not run. */
  bool statusImpliesNotRun = false;
};

} // namespace knapweedpaddle::callers
