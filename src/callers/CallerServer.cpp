#include "knapweedpaddle/callers/CallerServer.h"

#include "knapweedpaddle/common/Text.h"
#include <algorithm>
#include <charconv>
#include <pistache/endpoint.h>
#include <sstream>

namespace knapweedpaddle::callers {

namespace {

using Pistache::Http::Code;
using Pistache::Http::Request;
using Pistache::Http::ResponseWriter;

constexpr std::size_t kMaxRequestBytes = 4UL * 1024 * 1024;
constexpr std::size_t kMaxResponseBytes = 20UL * 1024 * 1024;
constexpr std::chrono::seconds kHeaderTimeout{ 5 };
constexpr std::chrono::seconds kBodyTimeout{ 10 };
constexpr int kBacklog = 1024;

constexpr const char* kIdempotencyHeader = "idempotency-key";
constexpr const char* kTimeoutHeader = "knapweed-timeout-ms";
constexpr const char* kTraceHeader = "traceparent";

std::vector<HttpHeader>
HeadersOf(const Request& aRequest)
{
  std::vector<HttpHeader> headers;
  for (const auto& [name, raw] : aRequest.headers().rawList()) {
    headers.push_back({ LowerCase(raw.name()), raw.value() });
  }
  for (const auto& it : aRequest.headers().list()) {
    const std::string name = LowerCase(it->name());
    if (std::ranges::find(headers, name, &HttpHeader::name) != headers.end()) {
      continue;
    }
    std::ostringstream text;
    it->write(text);
    headers.push_back({ name, text.str() });
  }
  return headers;
}

/** Takes a header out of the list and returns its value. */
std::string
TakeHeader(std::vector<HttpHeader>& aHeaders, const std::string& aName)
{
  const auto it = std::ranges::find(aHeaders, aName, &HttpHeader::name);
  if (it == aHeaders.end()) {
    return {};
  }
  std::string value = std::move(it->value);
  aHeaders.erase(it);
  return value;
}

/** Parses the caller's timeout; false for a header that is not a number. */
bool
ReadTimeout(const std::string& aText, std::optional<Milliseconds>& aTimeout)
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

Code
CodeFor(const CallResult& aResult)
{
  switch (aResult.outcome) {
    case CallOutcome::kAnswered:
      return static_cast<Code>(aResult.status);
    case CallOutcome::kNotRun:
      return Code::Service_Unavailable;
    case CallOutcome::kUnknown:
      break;
  }
  return Code::Gateway_Timeout;
}

/** A response header with any name: Pistache sends only headers of its own
 * classes. */
class AnyHeader : public Pistache::Http::Header::Header
{
public:
  explicit AnyHeader(const HttpHeader& aHeader)
    : mHeader(aHeader)
  {
  }

  const char* name() const override { return mHeader.name.c_str(); }
  std::uint64_t hash() const override
  {
    return std::hash<std::string>()(mHeader.name);
  }
  void write(std::ostream& aStream) const override { aStream << mHeader.value; }

private:
  HttpHeader mHeader;
};

using WriterPtr = std::shared_ptr<ResponseWriter>;

void
Send(const WriterPtr& aWriter,
     Code aCode,
     const std::string& aBody,
     const std::vector<HttpHeader>& aHeaders)
{
  for (const auto& it : aHeaders) {
    aWriter->headers().add(std::make_shared<AnyHeader>(it));
  }
  aWriter->send(aCode, aBody);
}

void
SendResult(const WriterPtr& aWriter, const CallResult& aResult)
{
  std::vector<HttpHeader> headers = aResult.headers;
  headers.push_back({ "Knapweed-Call-Id", aResult.callId });
  headers.push_back(
    { "Knapweed-Outcome",
      std::string(NameOf(kCallOutcomeNames, aResult.outcome)) });
  if (aResult.outcome == CallOutcome::kAnswered) {
    Send(aWriter, CodeFor(aResult), aResult.body, headers);
    return;
  }
  headers.push_back({ "Knapweed-Reason", aResult.reason });
  Send(aWriter, CodeFor(aResult), aResult.reason + "\n", headers);
}

class RequestHandler : public Pistache::Http::Handler
{
public:
  HTTP_PROTOTYPE(RequestHandler)

  explicit RequestHandler(
    std::shared_ptr<const CallerServer::Handlers> aHandlers)
    : mHandlers(std::move(aHandlers))
  {
  }

  void onRequest(const Request& aRequest, ResponseWriter aWriter) override
  {
    const auto writer = std::make_shared<ResponseWriter>(std::move(aWriter));
    CallRequest request;
    request.method = Pistache::Http::methodString(aRequest.method());
    request.path = aRequest.resource() + aRequest.query().as_str();
    request.headers = HeadersOf(aRequest);
    request.body = aRequest.body();
    request.idempotencyKey = TakeHeader(request.headers, kIdempotencyHeader);
    request.traceparent = TakeHeader(request.headers, kTraceHeader);
    if (!ReadTimeout(TakeHeader(request.headers, kTimeoutHeader),
                     request.timeout)) {
      writer->send(Code::Bad_Request,
                   "header Knapweed-Timeout-Ms must be a whole number\n");
      return;
    }
    if (request.path.starts_with(kNodePathPrefix)) {
      mHandlers->onNodeRequest(
        std::move(request), [writer](const HttpAnswer& aAnswer) {
          std::vector<HttpHeader> headers = aAnswer.headers;
          headers.push_back({ "Content-Type", aAnswer.contentType });
          Send(
            writer, static_cast<Code>(aAnswer.status), aAnswer.body, headers);
        });
      return;
    }
    mHandlers->onCall(std::move(request), [writer](const CallResult& aResult) {
      SendResult(writer, aResult);
    });
  }

private:
  std::shared_ptr<const CallerServer::Handlers> mHandlers;
};

} // namespace

class CallerServer::Impl
{
public:
  Impl(Handlers aHandlers, std::uint32_t aThreads)
    : handlers(std::make_shared<const Handlers>(std::move(aHandlers)))
    , threads(aThreads)
  {
  }

  std::shared_ptr<const Handlers> handlers;
  std::uint32_t threads;
  std::unique_ptr<Pistache::Http::Endpoint> endpoint;
};

CallerServer::CallerServer(Handlers aHandlers, std::uint32_t aThreads)
  : mImpl(std::make_unique<Impl>(std::move(aHandlers), aThreads))
{
}

CallerServer::~CallerServer()
{
  Stop();
}

bool
CallerServer::Start(const std::string& aAddress,
                    std::uint16_t aPort,
                    std::string& aReason)
{
  using Pistache::Tcp::Options;
  try {
    const Pistache::Address address(aAddress, Pistache::Port(aPort));
    auto endpoint = std::make_unique<Pistache::Http::Endpoint>(address);
    endpoint->init(
      Pistache::Http::Endpoint::options()
        .threads(static_cast<int>(mImpl->threads))
        .flags(Pistache::Flags<Options>(Options::ReuseAddr) | Options::NoDelay)
        .backlog(kBacklog)
        .maxRequestSize(kMaxRequestBytes)
        .maxResponseSize(kMaxResponseBytes)
        .headerTimeout(kHeaderTimeout)
        .bodyTimeout(kBodyTimeout));
    endpoint->setHandler(std::make_shared<RequestHandler>(mImpl->handlers));
    endpoint->serveThreaded();
    mImpl->endpoint = std::move(endpoint);
    return true;
  } catch (const std::exception& e) {
    aReason = "can't listen on " + aAddress + ":" + std::to_string(aPort) +
              " for callers: " + e.what();
    return false;
  }
}

void
CallerServer::Stop()
{
  if (mImpl->endpoint) {
    mImpl->endpoint->shutdown();
    mImpl->endpoint.reset();
  }
}

} // namespace knapweedpaddle::callers
