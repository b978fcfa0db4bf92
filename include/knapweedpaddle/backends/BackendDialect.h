#pragma once

#include <string>

namespace knapweedpaddle::backends {

/**
 * Names of the headers that a node and its backend server exchange. An empty
 * name stands for a header that is not used.
 */
struct BackendDialect
{
  std::string callId = "knapweed-call-id";
  std::string timeLeftMs = "knapweed-timeout-ms";
  std::string trace = "traceparent";
  std::string expectServer; ///< names the server that alone may run the call
  std::string notRun;       ///< in an answer: the call did not run
  std::string stamp;        ///< in every answer of a call that ran
  bool echoesCallId = false;
};

} // namespace knapweedpaddle::backends
