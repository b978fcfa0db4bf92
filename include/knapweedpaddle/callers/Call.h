#pragma once

#include "knapweedpaddle/common/EnumNames.h"
#include "knapweedpaddle/common/SharedBytes.h"
#include "knapweedpaddle/common/Time.h"
#include "knapweedpaddle/runtime/HttpClient.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/** Ingress: receives the requests of callers and forwards them. */
namespace knapweedpaddle::callers {

using runtime::HttpHeader;

/** A caller's request. */
struct CallRequest
{
  std::string method;
  std::string host; ///< in lower case, without a port
  std::string path; ///< path including the query
  /** Headers that are forwarded to the backend server. */
  std::vector<HttpHeader> headers;
  SharedBytes body;
  std::string idempotencyKey;
  std::string traceparent;
  std::optional<Milliseconds> timeout; ///< timeout requested by the caller
  Timestamp receivedAt{}; ///< when the last byte of the request arrived
  std::string callId;     ///< the caller's own id of the call, or empty
};

/** Whether a call was executed. */
enum class CallOutcome
{
  kAnswered, ///< the backend server answered, with any status
  kNotRun,   ///< no backend server ran the call
  kUnknown,  ///< a backend server may have run the call, but there is no answer
};

inline constexpr std::array<EnumName<CallOutcome>, 3> kCallOutcomeNames{ {
  { CallOutcome::kAnswered, "answered" },
  { CallOutcome::kNotRun, "not-run" },
  { CallOutcome::kUnknown, "unknown" },
} };

/** Why a call that did not run was refused. */
enum class RefusalCause
{
  kUnavailable, ///< it may be served later, or by another node
  kRouteMissing,
  kUnknownKey, ///< no team holds the caller's key
  kAllowanceSpent,
};

inline constexpr std::array<EnumName<RefusalCause>, 4> kRefusalCauseNames{ {
  { RefusalCause::kUnavailable, "unavailable" },
  { RefusalCause::kRouteMissing, "route_missing" },
  { RefusalCause::kUnknownKey, "unknown_key" },
  { RefusalCause::kAllowanceSpent, "allowance_spent" },
} };

/** Result of a call, with the answer of the backend server if there is one. */
struct CallResult
{
  CallOutcome outcome = CallOutcome::kNotRun;
  int status = 0;
  std::vector<HttpHeader> headers;
  SharedBytes body;
  std::string reasonPhrase; ///< reason phrase of the answer's status line
  std::string reason; ///< why there is no answer, with kNotRun and kUnknown
  std::string callId;
  /** With kNotRun: the backend server received the call and refused it. */
  bool arrived = false;
  RefusalCause cause = RefusalCause::kUnavailable; ///< with kNotRun
  /** Start of the backend server whose answer says that it leaves, as
   * backends::BackendServer::StartName() returns it; else empty. */
  std::string leavingServer;
  /** With kNotRun: after which time the caller may try again. */
  std::optional<Milliseconds> retryAfter;
};

using CallResultCallback = std::function<void(CallResult)>;

} // namespace knapweedpaddle::callers
