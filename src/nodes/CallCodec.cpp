#include "knapweedpaddle/nodes/CallCodec.h"

#include "knapweedpaddle/nodes/GossipCodec.h"

#include <charconv>

namespace knapweedpaddle::nodes {

using backends::OwnedCall;
using callers::CallOutcome;
using callers::CallResult;

namespace {

constexpr int kStatusOk = 200;
constexpr const char* kForwardedPrefix =
  "h-"; ///< marks headers that are passed on

std::optional<std::uint64_t>
Number(const std::string& aText)
{
  std::uint64_t value = 0;
  const auto [end, ec] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (ec != std::errc() || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

void
AddForwarded(std::vector<LinkHeader>& aOut,
             const std::vector<callers::HttpHeader>& aHeaders)
{
  for (const auto& it : aHeaders) {
    aOut.push_back({ kForwardedPrefix + it.name, it.value });
  }
}

std::vector<callers::HttpHeader>
TakeForwarded(const std::vector<LinkHeader>& aHeaders)
{
  std::vector<callers::HttpHeader> out;
  for (const auto& it : aHeaders) {
    if (it.name.starts_with(kForwardedPrefix)) {
      out.push_back({ it.name.substr(2), it.value });
    }
  }
  return out;
}

} // namespace

LinkRequest
EncodeCall(const OwnedCall& aCall, Timestamp aNow)
{
  LinkRequest request;
  request.path = kCallPath;
  request.timeout =
    std::chrono::duration_cast<Milliseconds>(aCall.deadline - aNow);
  const auto left =
    std::chrono::duration_cast<Microseconds>(aCall.deadline - aNow);
  request.headers = {
    { "protocol", std::to_string(kProtocolVersion) },
    { "call-id", aCall.callId },
    { "service", aCall.service },
    { "version", aCall.version },
    { "route", aCall.route },
    { "class", std::string(NameOf(config::kCallClassNames, aCall.callClass)) },
    { "key", aCall.idempotencyKey },
    { "timeout-us", std::to_string(left.count()) },
    { "slow-ms", std::to_string(aCall.slowAfter.count()) },
    { "trace", aCall.trace.ToHeader() },
    { "method", aCall.method },
    { "target", aCall.path },
    { "length", std::to_string(aCall.body.size()) }
  };
  AddForwarded(request.headers, aCall.headers);
  request.body = aCall.body;
  return request;
}

std::optional<OwnedCall>
DecodeCall(LinkRequest aRequest, Timestamp aNow, std::string& aReason)
{
  const auto header = [&aRequest](const char* aName) {
    return HeaderValue(aRequest.headers, aName);
  };
  if (header("protocol") != std::to_string(kProtocolVersion)) {
    aReason =
      "protocol version \"" + header("protocol") + "\" is not known here";
    return std::nullopt;
  }
  const auto left = Number(header("timeout-us"));
  const auto slow = Number(header("slow-ms"));
  const auto length = Number(header("length"));
  const auto callClass = ValueOf(config::kCallClassNames, header("class"));
  const std::string callId = header("call-id");
  if (!left || !slow || !length || !callClass || callId.empty()) {
    aReason = "the call lacks a field";
    return std::nullopt;
  }
  if (*length != aRequest.body.size()) {
    aReason = "the call's body is not whole";
    return std::nullopt;
  }
  OwnedCall call;
  call.callId = callId;
  call.service = header("service");
  call.version = header("version");
  call.route = header("route");
  call.callClass = *callClass;
  call.idempotencyKey = header("key");
  call.deadline = aNow + Microseconds(static_cast<std::int64_t>(*left));
  call.slowAfter = Milliseconds(static_cast<std::int64_t>(*slow));
  call.trace = telemetry::TraceContext::Parse(header("trace"))
                 .value_or(telemetry::TraceContext{});
  call.method = header("method");
  call.path = header("target");
  call.headers = TakeForwarded(aRequest.headers);
  call.body = std::move(aRequest.body);
  return call;
}

LinkResponse
EncodeCallResult(const CallResult& aResult, std::uint32_t aBusySlots)
{
  LinkResponse response;
  response.status = kStatusOk;
  response.headers = {
    { "call-id", aResult.callId },
    { "outcome",
      std::string(NameOf(callers::kCallOutcomeNames, aResult.outcome)) },
    { "status", std::to_string(aResult.status) },
    { "reason", aResult.reason },
    { "busy", std::to_string(aBusySlots) },
    { "length", std::to_string(aResult.body.size()) }
  };
  AddForwarded(response.headers, aResult.headers);
  response.body = aResult.body;
  return response;
}

std::optional<DecodedCallResult>
DecodeCallResult(LinkResponse aResponse, const std::string& aCallId)
{
  const auto header = [&aResponse](const char* aName) {
    return HeaderValue(aResponse.headers, aName);
  };
  const auto outcome = ValueOf(callers::kCallOutcomeNames, header("outcome"));
  const auto status = Number(header("status"));
  const auto busy = Number(header("busy"));
  const auto length = Number(header("length"));
  if (aResponse.status != kStatusOk || !outcome || !status || !busy ||
      !length || *length != aResponse.body.size() ||
      header("call-id") != aCallId) {
    return std::nullopt;
  }
  DecodedCallResult decoded;
  decoded.busySlots = static_cast<std::uint32_t>(*busy);
  decoded.result.outcome = *outcome;
  decoded.result.status = static_cast<int>(*status);
  decoded.result.reason = header("reason");
  decoded.result.callId = aCallId;
  decoded.result.headers = TakeForwarded(aResponse.headers);
  decoded.result.body = std::move(aResponse.body);
  return decoded;
}

} // namespace knapweedpaddle::nodes
