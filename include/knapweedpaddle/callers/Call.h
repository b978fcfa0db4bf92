#pragma once

#include "knapweedpaddle/common/EnumNames.h"
#include "knapweedpaddle/common/Time.h"
#include "knapweedpaddle/runtime/HttpClient.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/** The side of the system that callers see. */
namespace knapweedpaddle::callers {

using runtime::HttpHeader;

/** A caller's request. */
struct CallRequest
{
  std::string method;
  std::string host;                ///< in lower case, without a port
  std::string path;                ///< with its query
  std::vector<HttpHeader> headers; ///< those that are passed on
  std::string body;
  std::string idempotencyKey;
  std::string traceparent;
  std::optional<Milliseconds> timeout; ///< asked for by the caller
  Timestamp receivedAt{};              ///< of its last byte
  std::string callId;                  ///< the caller's, or empty
};

enum class CallOutcome
{
  kAnswered, ///< the backend server's answer, whatever its status
  kNotRun,   ///< no backend server received the call
  kUnknown,  ///< a backend server may have run the call
};

inline constexpr std::array<EnumName<CallOutcome>, 3> kCallOutcomeNames{ {
  { CallOutcome::kAnswered, "answered" },
  { CallOutcome::kNotRun, "not-run" },
  { CallOutcome::kUnknown, "unknown" },
} };

struct CallResult
{
  CallOutcome outcome = CallOutcome::kNotRun;
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
  std::string reasonPhrase; ///< of the status line, with kAnswered
  std::string reason;       ///< why there is no answer
  std::string callId;
  bool arrived = false; ///< with kNotRun: the backend server itself refused
  bool routeMissing = false;              ///< with kNotRun: no route matches
  std::optional<Milliseconds> retryAfter; ///< with kNotRun
};

using CallResultCallback = std::function<void(CallResult)>;

} // namespace knapweedpaddle::callers
