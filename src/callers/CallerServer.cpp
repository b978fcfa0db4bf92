#include "knapweedpaddle/callers/CallerServer.h"

#include "knapweedpaddle/common/Text.h"
#include "knapweedpaddle/runtime/EventLoop.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace knapweedpaddle::callers {

namespace {

constexpr int kStatusBadRequest = 400;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusGatewayTimeout = 504;
/** Statuses of calls that did not run, indexed by RefusalCause. */
constexpr std::array<int, 4> kRefusalStatuses{ 503, 404, 401, 429 };
constexpr std::array<int, 4> kNotRunStatuses{ 408, 421, 429, 503 };

/** Removes a header and returns its value, or "" if there is none. */
std::string
TakeHeader(std::vector<HttpHeader>& aHeaders, const std::string& aName)
{
  const std::string* found =
    aName.empty() ? nullptr : http::FindHeader(aHeaders, aName);
  if (!found) {
    return {};
  }
  std::string value = *found;
  http::RemoveHeader(aHeaders, aName);
  return value;
}

/** Parses the caller's timeout; returns false if it is not a whole number. */
bool
ParseTimeout(const std::string& aText, std::optional<Milliseconds>& aTimeout)
{
  if (aText.empty()) {
    return true;
  }
  std::int64_t value = 0;
  const char* last = aText.data() + aText.size();
  if (const auto [end, ec] = std::from_chars(aText.data(), last, value);
      ec != std::errc() || end != last) {
    return false;
  }
  aTimeout = Milliseconds(value);
  return true;
}

/** Returns the host name of a Host header in lower case, without the port. */
std::string
HostName(const std::string& aHost)
{
  return LowerCase(aHost.substr(0, aHost.find(':')));
}

/** Formats a duration in seconds with three decimals. */
std::string
FormatSeconds(Milliseconds aTime)
{
  std::array<char, 32> buf{};
  std::snprintf(buf.data(),
                buf.size(),
                "%.3f",
                std::chrono::duration<double>(aTime).count());
  return buf.data();
}

/**
 * Returns the HTTP status that a caller receives. If statuses imply that a call
 * did not run, an answer of the backend server with such a status becomes 502.
 */
int
StatusFor(const CallResult& aResult, bool aStatusImpliesNotRun)
{
  switch (aResult.outcome) {
    case CallOutcome::kAnswered: {
      const bool wouldImplyNotRun =
        aStatusImpliesNotRun &&
        std::ranges::find(kNotRunStatuses, aResult.status) !=
          kNotRunStatuses.end();
      return wouldImplyNotRun ? kStatusBadGateway : aResult.status;
    }
    case CallOutcome::kNotRun:
      return kRefusalStatuses[static_cast<std::size_t>(aResult.cause)];
    case CallOutcome::kUnknown:
      break;
  }
  return kStatusGatewayTimeout;
}

} // namespace

CallerServer::CallerServer(runtime::EventLoop& aLoop,
                           CallerDialect aDialect,
                           Handlers aHandlers)
  : mLoop(aLoop)
  , mDialect(std::move(aDialect))
  , mHandlers(std::move(aHandlers))
  , mServer(aLoop, [this](const http::ExchangePtr& aExchange) {
    OnExchange(aExchange);
  })
{
}

bool
CallerServer::Listen(const std::string& aAddress, std::string& aReason)
{
  if (mServer.Listen(aAddress)) {
    return true;
  }
  aReason = "can't listen on " + aAddress + " for callers";
  return false;
}

void
CallerServer::SetLimits(const http::ServerLimits& aLimits)
{
  mServer.SetLimits(aLimits);
}

void
CallerServer::SetCallerService(std::string aService)
{
  mCallerService = std::move(aService);
}

void
CallerServer::Drain()
{
  mServer.Drain();
}

void
CallerServer::OnExchange(const http::ExchangePtr& aExchange)
{
  CallRequest request;
  std::string reason;
  if (!BuildCallRequest(aExchange->Message(), request, reason)) {
    http::Response response;
    response.status = kStatusBadRequest;
    response.body = reason + "\n";
    aExchange->Respond(std::move(response));
    return;
  }
  request.receivedAt = aExchange->ReceivedAt();
  if (mHandlers.onNodeRequest && request.path.starts_with(kNodePathPrefix)) {
    ServeNodeRequest(aExchange, std::move(request));
    return;
  }
  const std::string callerId = request.callId;
  auto cancel = mHandlers.onCall(
    std::move(request), [this, aExchange, callerId](const CallResult& aResult) {
      aExchange->Respond(ResponseFor(aResult, callerId));
    });
  if (cancel) {
    aExchange->OnClientDisconnect(std::move(cancel));
  }
}

bool
CallerServer::BuildCallRequest(http::Request& aMessage,
                               CallRequest& aRequest,
                               std::string& aReason) const
{
  if (const std::string* host = http::FindHeader(aMessage.headers, "host")) {
    aRequest.host = HostName(*host);
  }
  aRequest.method = std::move(aMessage.method);
  aRequest.path = std::move(aMessage.target);
  aRequest.headers = http::EndToEndHeaders(aMessage.headers);
  aRequest.body = std::move(aMessage.body);
  if (!mDialect.callId.empty()) {
    const std::string* id = http::FindHeader(aRequest.headers, mDialect.callId);
    aRequest.callId = id ? *id : "";
  }
  aRequest.idempotencyKey =
    TakeHeader(aRequest.headers, mDialect.idempotencyKey);
  aRequest.traceparent = TakeHeader(aRequest.headers, mDialect.trace);
  if (!mDialect.callerService.empty()) {
    http::RemoveHeader(aRequest.headers, mDialect.callerService);
    aRequest.headers.push_back({ mDialect.callerService, mCallerService });
  }
  if (!ParseTimeout(TakeHeader(aRequest.headers, mDialect.timeoutMs),
                    aRequest.timeout)) {
    aReason = "header " + mDialect.timeoutMs + " must be a whole number";
    return false;
  }
  return true;
}

void
CallerServer::ServeNodeRequest(const http::ExchangePtr& aExchange,
                               CallRequest aRequest)
{
  mHandlers.onNodeRequest(
    std::move(aRequest), [this, aExchange](NodeResponse aResponse) {
      http::Response response;
      response.status = aResponse.status;
      response.headers = std::move(aResponse.headers);
      response.headers.push_back({ "Content-Type", aResponse.contentType });
      response.body = std::move(aResponse.body);
      mLoop.Post([aExchange, response = std::move(response)] {
        aExchange->Respond(response);
      });
    });
}

http::Response
CallerServer::ResponseFor(const CallResult& aResult,
                          const std::string& aCallerId) const
{
  http::Response response;
  response.status = StatusFor(aResult, mDialect.statusImpliesNotRun);
  const bool answered = aResult.outcome == CallOutcome::kAnswered &&
                        response.status == aResult.status;
  const auto add = [&response](const std::string& aName,
                               const std::string& aValue) {
    if (!aName.empty()) {
      response.headers.push_back({ aName, aValue });
    }
  };
  if (answered) {
    response.reason = aResult.reasonPhrase;
    response.headers = aResult.headers;
    response.body = aResult.body;
  } else {
    add(aCallerId.empty() ? "" : mDialect.callId, aCallerId);
    add(mDialect.reason, aResult.reason);
    response.body = aResult.reason + "\n";
    const bool isForLater = aResult.cause == RefusalCause::kUnavailable ||
                            aResult.cause == RefusalCause::kAllowanceSpent;
    if (aResult.outcome == CallOutcome::kNotRun && aResult.retryAfter &&
        isForLater) {
      add(mDialect.retryAfter, FormatSeconds(*aResult.retryAfter));
    }
  }
  add(mDialect.nodeCallId, aResult.callId);
  add(mDialect.outcome,
      std::string(NameOf(kCallOutcomeNames, aResult.outcome)));
  return response;
}

} // namespace knapweedpaddle::callers
