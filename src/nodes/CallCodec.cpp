#include "knapweedpaddle/nodes/CallCodec.h"

#include "knapweedpaddle/common/Text.h"
#include "knapweedpaddle/nodes/GossipCodec.h"

#include <array>
#include <charconv>

namespace knapweedpaddle::nodes {

using backends::ForwardedCall;
using callers::CallOutcome;
using callers::CallResult;

namespace {

constexpr int kStatusOk = 200;
/** Name prefix of link headers that hold a forwarded HTTP header. */
constexpr const char* kForwardedPrefix = "h-";

std::optional<std::uint64_t>
ParseUnsigned(const std::string& aText)
{
  std::uint64_t value = 0;
  const auto [end, ec] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (ec != std::errc() || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::int64_t>
ParseSigned(const std::string& aText)
{
  if (aText.starts_with('-')) {
    const auto value = ParseUnsigned(aText.substr(1));
    return value ? std::optional(-static_cast<std::int64_t>(*value))
                 : std::nullopt;
  }
  const auto value = ParseUnsigned(aText);
  return value ? std::optional(static_cast<std::int64_t>(*value))
               : std::nullopt;
}

void
AppendForwardedHeaders(std::vector<LinkHeader>& aOut,
                       const std::vector<callers::HttpHeader>& aHeaders)
{
  for (const auto& it : aHeaders) {
    aOut.push_back({ kForwardedPrefix + LowerCase(it.name), it.value });
  }
}

std::vector<callers::HttpHeader>
ExtractForwardedHeaders(const std::vector<LinkHeader>& aHeaders)
{
  std::vector<callers::HttpHeader> out;
  for (const auto& it : aHeaders) {
    if (it.name.starts_with(kForwardedPrefix)) {
      out.push_back({ it.name.substr(2), it.value });
    }
  }
  return out;
}

using LoadField = std::uint32_t backends::ServerLoad::*;

/** Fields of the header "load", in order. */
constexpr std::array<LoadField, 6> kLoadFields{
  &backends::ServerLoad::busy,    &backends::ServerLoad::queued,
  &backends::ServerLoad::slots,   &backends::ServerLoad::serviceMs,
  &backends::ServerLoad::routeMs, &backends::ServerLoad::failedPercent,
};
/** Fields of the header "rate", in order; left out without a rate limit. */
constexpr std::array<LoadField, 2> kRateFields{
  &backends::ServerLoad::rateIntervalUs,
  &backends::ServerLoad::rateWaitMs,
};

/** Returns the values of fields, separated by commas. */
template<std::size_t N>
std::string
EncodeFields(const backends::ServerLoad& aLoad,
             const std::array<LoadField, N>& aFields)
{
  std::string text;
  for (const LoadField it : aFields) {
    text += (text.empty() ? "" : ",") + std::to_string(aLoad.*it);
  }
  return text;
}

/** Sets fields from values separated by commas; false if one is missing or
 * invalid. */
template<std::size_t N>
bool
DecodeFields(const std::string& aText,
             const std::array<LoadField, N>& aFields,
             backends::ServerLoad& aLoad)
{
  const char* at = aText.data();
  const char* last = aText.data() + aText.size();
  for (std::size_t n = 0; n < N; ++n) {
    const auto [end, ec] = std::from_chars(at, last, aLoad.*aFields[n]);
    const bool ends = n + 1 == N;
    if (ec != std::errc() ||
        (ends ? end != last : end == last || *end != ',')) {
      return false;
    }
    at = ends ? end : end + 1;
  }
  return true;
}

} // namespace

LinkRequest
EncodeCall(const ForwardedCall& aCall, Timestamp aNow)
{
  LinkRequest request;
  request.path = kCallPath;
  request.waitUntilTimeout = aCall.callClass == config::CallClass::kAtMostOnce;
  request.timeout =
    std::chrono::duration_cast<Milliseconds>(aCall.deadline - aNow);
  const auto remaining =
    std::chrono::duration_cast<Microseconds>(aCall.deadline - aNow);
  request.headers = {
    { "protocol", std::to_string(kProtocolVersion) },
    { "call-id", aCall.callId },
    { "service", aCall.service },
    { "route", aCall.route },
    { "class", std::string(NameOf(config::kCallClassNames, aCall.callClass)) },
    { "timeout-us", std::to_string(remaining.count()) },
    { "slow-ms", std::to_string(aCall.slowAfter.count()) },
    { "aim-ms",
      std::to_string(
        std::chrono::duration_cast<Milliseconds>(aCall.targetDeadline - aNow)
          .count()) },
    { "method", aCall.method },
    { "target", aCall.path },
    { "length", std::to_string(aCall.body.Size()) }
  };
  // Headers without a value, which most calls lack, are left out to save bytes.
  const auto addIfSet = [&request](const char* aName,
                                   const std::string& aValue) {
    if (!aValue.empty()) {
      request.headers.push_back({ aName, aValue });
    }
  };
  addIfSet("version", aCall.version);
  addIfSet("key", aCall.idempotencyKey);
  addIfSet("trace", aCall.trace.sampled ? aCall.trace.ToHeader() : "");
  addIfSet("priority",
           aCall.priority > 0 ? std::to_string(aCall.priority) : "");
  addIfSet("config",
           aCall.configVersion > 0 ? std::to_string(aCall.configVersion) : "");
  addIfSet("leaving", aCall.leavingServer);
  addIfSet("team", aCall.team);
  AppendForwardedHeaders(request.headers, aCall.headers);
  request.body = aCall.body;
  return request;
}

std::optional<CallHead>
DecodeCallHead(const LinkRequest& aRequest,
               Timestamp aNow,
               std::string& aReason)
{
  const auto header = [&aRequest](const char* aName) {
    return HeaderValue(aRequest.headers, aName);
  };
  if (header("protocol") != std::to_string(kProtocolVersion)) {
    aReason =
      "protocol version \"" + header("protocol") + "\" is not supported";
    return std::nullopt;
  }
  const auto remaining = ParseUnsigned(header("timeout-us"));
  const auto slowAfter = ParseUnsigned(header("slow-ms"));
  const auto targetDelay = ParseSigned(header("aim-ms"));
  const auto length = ParseUnsigned(header("length"));
  const auto callClass = ValueOf(config::kCallClassNames, header("class"));
  const std::string callId = header("call-id");
  if (!remaining || !slowAfter || !targetDelay || !length || !callClass ||
      callId.empty()) {
    aReason = "a required header of the call is missing or invalid";
    return std::nullopt;
  }
  CallHead head;
  head.bodySize = *length;
  ForwardedCall& call = head.call;
  call.callId = callId;
  call.service = header("service");
  call.version = header("version");
  call.priority =
    static_cast<std::uint32_t>(ParseUnsigned(header("priority")).value_or(0));
  call.configVersion = ParseUnsigned(header("config")).value_or(0);
  call.route = header("route");
  call.callClass = *callClass;
  call.idempotencyKey = header("key");
  call.leavingServer = header("leaving");
  call.team = header("team");
  call.deadline = aNow + Microseconds(static_cast<std::int64_t>(*remaining));
  call.slowAfter = Milliseconds(static_cast<std::int64_t>(*slowAfter));
  call.targetDeadline = aNow + Milliseconds(*targetDelay);
  call.trace = telemetry::TraceContext::Parse(header("trace"))
                 .value_or(telemetry::TraceContext{});
  call.method = header("method");
  call.path = header("target");
  call.headers = ExtractForwardedHeaders(aRequest.headers);
  return head;
}

std::optional<ForwardedCall>
DecodeCall(LinkRequest aRequest, Timestamp aNow, std::string& aReason)
{
  auto head = DecodeCallHead(aRequest, aNow, aReason);
  if (!head) {
    return std::nullopt;
  }
  if (head->bodySize != aRequest.body.Size()) {
    aReason = "the call's body differs in size from its length header";
    return std::nullopt;
  }
  head->call.body = std::move(aRequest.body);
  return std::move(head->call);
}

LinkResponse
EncodeCallResult(const CallResult& aResult, const backends::ServerLoad& aLoad)
{
  LinkResponse response;
  response.status = kStatusOk;
  response.headers = {
    { "call-id", aResult.callId },
    { "outcome",
      std::string(NameOf(callers::kCallOutcomeNames, aResult.outcome)) },
    { "status", std::to_string(aResult.status) },
    { "load", EncodeFields(aLoad, kLoadFields) },
    { "length", std::to_string(aResult.body.Size()) }
  };
  if (aLoad.rateIntervalUs > 0) {
    response.headers.push_back({ "rate", EncodeFields(aLoad, kRateFields) });
  }
  if (!aResult.reason.empty()) {
    response.headers.push_back({ "reason", aResult.reason });
  }
  if (!aResult.reasonPhrase.empty()) {
    response.headers.push_back({ "phrase", aResult.reasonPhrase });
  }
  if (!aResult.leavingServer.empty()) {
    response.headers.push_back({ "leaving", aResult.leavingServer });
  }
  if (aResult.arrived) {
    response.headers.push_back({ "arrived", "1" });
  }
  AppendForwardedHeaders(response.headers, aResult.headers);
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
  const auto status = ParseUnsigned(header("status"));
  backends::ServerLoad load;
  const bool hasLoad =
    DecodeFields(header("load"), kLoadFields, load) &&
    (header("rate").empty() || DecodeFields(header("rate"), kRateFields, load));
  const auto length = ParseUnsigned(header("length"));
  if (aResponse.status != kStatusOk || !outcome || !status || !hasLoad ||
      !length || *length != aResponse.body.Size() ||
      header("call-id") != aCallId) {
    return std::nullopt;
  }
  DecodedCallResult decoded;
  decoded.load = load;
  decoded.result.outcome = *outcome;
  decoded.result.status = static_cast<int>(*status);
  decoded.result.reason = header("reason");
  decoded.result.reasonPhrase = header("phrase");
  decoded.result.arrived = !header("arrived").empty();
  decoded.result.leavingServer = header("leaving");
  decoded.result.callId = aCallId;
  decoded.result.headers = ExtractForwardedHeaders(aResponse.headers);
  decoded.result.body = std::move(aResponse.body);
  return decoded;
}

} // namespace knapweedpaddle::nodes
