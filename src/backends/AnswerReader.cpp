#include "AnswerReader.h"

namespace knapweedpaddle::backends {

using callers::CallOutcome;
using callers::CallResult;

namespace {

constexpr int kMisdirectedRequest = 421;
constexpr int kFirstServerError = 500;
/** Value of the response header BackendDialect::leaving. */
constexpr std::string_view kLeaving = "1";

} // namespace

CallResult
AnswerReader::ResultOf(const std::string& aCallId,
                       http::Response aResponse) const
{
  CallResult result;
  result.callId = aCallId;
  result.status = aResponse.status;
  const std::string status = std::to_string(result.status);
  if (aResponse.attribution == http::Attribution::kByOrder) {
    result.outcome = CallOutcome::kUnknown;
    result.reason = "an answer with status " + status +
                    " does not name its call on a connection that was used "
                    "before";
    return result;
  }
  const bool misdirected = IsMisdirected(aResponse);
  if (misdirected || Find(aResponse, mDialect.notRun)) {
    result.outcome = CallOutcome::kNotRun;
    result.arrived = !misdirected;
    result.reason = "the backend server refused the call with status " + status;
    return result;
  }
  if (result.status < kFirstServerError && !HasStamp(aResponse)) {
    result.outcome = CallOutcome::kUnknown;
    result.reason = "an answer with status " + status +
                    " lacks the stamp header of the backend server";
    return result;
  }
  result.outcome = CallOutcome::kAnswered;
  result.reasonPhrase = std::move(aResponse.reason);
  result.body = std::move(aResponse.body);
  result.headers = http::EndToEndHeaders(aResponse.headers);
  return result;
}

bool
AnswerReader::IsMisdirected(const http::Response& aResponse) const
{
  return aResponse.status == kMisdirectedRequest &&
         !mDialect.expectServer.empty() &&
         aResponse.attribution != http::Attribution::kByOrder;
}

bool
AnswerReader::HasStamp(const http::Response& aResponse) const
{
  return mDialect.stamp.empty() || Find(aResponse, mDialect.stamp);
}

bool
AnswerReader::SaysLeaving(const http::Response& aResponse) const
{
  const std::string* value = Find(aResponse, mDialect.leaving);
  return value && *value == kLeaving;
}

const std::string*
AnswerReader::RateLimit(const http::Response& aResponse) const
{
  return Find(aResponse, mDialect.rateLimit);
}

const std::string*
AnswerReader::Find(const http::Response& aResponse, const std::string& aName)
{
  return aName.empty() ? nullptr : http::FindHeader(aResponse.headers, aName);
}

} // namespace knapweedpaddle::backends
