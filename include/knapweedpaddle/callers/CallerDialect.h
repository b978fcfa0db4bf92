#pragma once

#include <string>

namespace knapweedpaddle::callers {

/**
 * Names of the HTTP headers that callers and a node exchange. An empty name
 * disables a header: the node neither interprets nor adds it, and forwards it
 * like any other header of a request.
 */
struct CallerDialect
{
  std::string callId; ///< the caller's id of a call, forwarded and echoed
  std::string timeoutMs = "knapweed-timeout-ms";
  std::string idempotencyKey = "idempotency-key";
  std::string trace = "traceparent";
  std::string nodeCallId = "Knapweed-Call-Id"; ///< the node's id of a call
  std::string outcome = "Knapweed-Outcome";
  std::string reason = "Knapweed-Reason";
  std::string retryAfter = "Retry-After"; ///< when to try again, in seconds
  /** The caller's secret key, where the configuration holds teams. It is never
   * forwarded. */
  std::string key = "Knapweed-Key";
  /** Added to each call with the name of the calling service. */
  std::string callerService;
  /** Whether the statuses 408, 421, 429 and 503 tell callers that a call did
   * not run. */
  bool statusImpliesNotRun = false;
};

} // namespace knapweedpaddle::callers
