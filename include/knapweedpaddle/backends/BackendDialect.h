#pragma once

#include <string>

namespace knapweedpaddle::backends {

/**
 * Names of the HTTP headers that a node and its backend server exchange. A
 * header with an empty name is neither sent nor read.
 */
struct BackendDialect
{
  std::string callId = "knapweed-call-id";
  std::string timeLeftMs = "knapweed-timeout-ms";
  std::string trace = "traceparent";
  /** Request header: the team of the caller, where the configuration holds
   * teams. */
  std::string team = "knapweed-team";
  /** Request header: id of the only server instance that may run the call. */
  std::string expectServer;
  /** Response header: the server did not run the call. */
  std::string notRun;
  /** Response header that proves that the server itself responded. */
  std::string stamp;
  /** Response header: calls a second that the server takes from all callers
   * together, as a decimal number. */
  std::string rateLimit = "knapweed-rate-limit";
  /** Response header: "1" says that the server leaves and must get no more
   * calls. */
  std::string leaving = "knapweed-leaving";
  /** Header of health responses: milliseconds that the server stays cold. */
  std::string warmupLeftMs = "knapweed-warmup-ms";
  /** Header of health responses: id of the server instance. */
  std::string serverId;
  bool echoesCallId = false; ///< responses repeat the callId header
};

} // namespace knapweedpaddle::backends
