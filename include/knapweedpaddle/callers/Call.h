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
  std::string path; ///< with its query
  std::vector<HttpHeader> headers;
  std::string body;
  std::string idempotencyKey;
  std::string traceparent;
  std::optional<Milliseconds> timeout; ///< asked for by the caller
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
  std::string reason; ///< why there is no answer
  std::string callId;
};

using CallCallback = std::function<void(CallResult)>;

} // namespace knapweedpaddle::callers
