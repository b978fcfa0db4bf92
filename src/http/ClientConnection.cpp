#include "ClientConnection.h"

#include "SharedWrite.h"

#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>

namespace knapweedpaddle::http {

namespace {

constexpr int kFirstFinalStatus = 200;
/** Interim responses, and responses to other requests, that may come before the
 * expected one. */
constexpr std::size_t kMaxSkippedResponses = 16;
/** An idle connection is closed this long before the server would close it, so
 * that no request is sent while the server closes it. */
constexpr Milliseconds kKeepAliveMargin{ 500 };

/** Returns the timeout in a Keep-Alive header like "timeout=5". */
std::optional<Milliseconds>
KeepAliveTimeout(const std::string& aValue)
{
  static constexpr std::string_view kName = "timeout=";
  const auto at = aValue.find(kName);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  std::int64_t seconds = 0;
  const char* first = aValue.data() + at + kName.size();
  if (std::from_chars(first, aValue.data() + aValue.size(), seconds).ec !=
      std::errc()) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

} // namespace

/** Callbacks for libevent's C interface. */
struct ClientConnectionCallbacks
{
  static ClientConnection& Self(void* aSelf)
  {
    return *static_cast<ClientConnection*>(aSelf);
  }

  static void OnReadable(bufferevent*, void* aSelf)
  {
    Self(aSelf).OnReadable();
  }

  static void OnEvent(bufferevent*, short aWhat, void* aSelf)
  {
    if (aWhat & BEV_EVENT_CONNECTED) {
      Self(aSelf).OnConnected();
      return;
    }
    Self(aSelf).OnDisconnected((aWhat & BEV_EVENT_EOF) != 0);
  }
};

ClientConnection::ClientConnection(runtime::EventLoop& aLoop,
                                   const ClientOptions& aOptions,
                                   Handler aHandler)
  : mLoop(aLoop)
  , mOptions(aOptions)
  , mHandler(std::move(aHandler))
  , mParser(MessageParser::Kind::kResponses, {})
{
}

ClientConnection::~ClientConnection()
{
  mLoop.Cancel(mTimer);
  if (mBuffer) {
    bufferevent_free(mBuffer);
  }
}

bool
ClientConnection::Connect(const sockaddr_in& aAddress)
{
  mBuffer = bufferevent_socket_new(mLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(mBuffer,
                    &ClientConnectionCallbacks::OnReadable,
                    nullptr,
                    &ClientConnectionCallbacks::OnEvent,
                    this);
  sockaddr_in address = aAddress;
  if (bufferevent_socket_connect(
        mBuffer, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    return false;
  }
  const int on = 1;
  setsockopt(
    bufferevent_getfd(mBuffer), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  bufferevent_enable(mBuffer, EV_READ | EV_WRITE);
  mTimer = mLoop.RunAfter(mOptions.connectTimeout, [this] {
    mTimer = 0;
    Fail(ClientError::kNotSent, "connection attempt timed out");
  });
  return true;
}

void
ClientConnection::Send(const Request& aRequest)
{
  mAwaitingResponse = true;
  ++mExchanges;
  mHeadRequest = aRequest.method == "HEAD";
  mDroppedOtherResponse = false;
  mExchangeBytes = 0;
  mSkippedResponses = 0;
  const std::string* id =
    mOptions.correlationHeader.empty()
      ? nullptr
      : FindHeader(aRequest.headers, mOptions.correlationHeader);
  mCorrelationId = id ? *id : std::string();
  mParser.Restart({ ParseLimits{}.headerBytes, mOptions.maxResponseBytes },
                  mHeadRequest);
  if (mConnected) {
    mLoop.Cancel(std::exchange(mTimer, 0));
  }
  mUnsentHead = SerializeHead(aRequest);
  mUnsentBody = aRequest.body;
  if (mConnected) {
    WriteUnsent();
  }
}

void
ClientConnection::Abort(const std::string& aReason)
{
  Fail(ClientError::kMalformed, aReason);
}

void
ClientConnection::Detach()
{
  mLoop.Cancel(std::exchange(mTimer, 0));
  if (mBuffer) {
    bufferevent_setcb(mBuffer, nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(mBuffer, EV_READ | EV_WRITE);
  }
}

void
ClientConnection::OnConnected()
{
  mConnected = true;
  mLoop.Cancel(std::exchange(mTimer, 0));
  WriteUnsent();
}

void
ClientConnection::WriteUnsent()
{
  const std::string head = std::exchange(mUnsentHead, {});
  bufferevent_write(mBuffer, head.data(), head.size());
  WriteShared(mBuffer, std::exchange(mUnsentBody, {}));
}

void
ClientConnection::OnReadable()
{
  evbuffer* input = bufferevent_get_input(mBuffer);
  if (!mAwaitingResponse) {
    OnDisconnected(false); // The server sent bytes without a request.
    return;
  }
  const std::size_t size = evbuffer_get_length(input);
  const auto* data = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
  const std::size_t used = mParser.Feed(data, size);
  evbuffer_drain(input, used);
  mExchangeBytes += used;
  mHandler.onReceived(used);
  if (!mAwaitingResponse) {
    return; // aborted
  }
  if (mExchangeBytes > mOptions.maxResponseBytes) {
    Abort("the response exceeds " + std::to_string(mOptions.maxResponseBytes) +
          " bytes");
    return;
  }
  switch (mParser.CurrentState()) {
    case MessageParser::State::kReading:
      return;
    case MessageParser::State::kFailed:
      Fail(ClientError::kMalformed,
           "invalid response: " +
             std::string(NameOf(kParseErrorNames, mParser.Error())));
      return;
    case MessageParser::State::kComplete:
      OnResponse();
      return;
  }
}

void
ClientConnection::OnResponse()
{
  Response response = mParser.TakeResponse();
  evbuffer* input = bufferevent_get_input(mBuffer);
  const bool hasMoreInput = evbuffer_get_length(input) > 0;
  if (!EndsExchange(response)) {
    mDroppedOtherResponse |= AnswersOtherRequest(response);
    if (++mSkippedResponses > kMaxSkippedResponses) {
      Abort("too many interim responses or responses to other requests");
      return;
    }
    mParser.Restart({ ParseLimits{}.headerBytes, mOptions.maxResponseBytes },
                    mHeadRequest);
    if (hasMoreInput) {
      OnReadable();
    }
    return;
  }
  const bool hasUnsentBytes =
    evbuffer_get_length(bufferevent_get_output(mBuffer)) > 0;
  // After a response without the id of its request, a copy of it could be taken
  // for the response to the next request.
  const bool hasId = AttributionOf(response) == Attribution::kById;
  mReusable = response.keepAlive && !hasMoreInput && !hasUnsentBytes &&
              !mDroppedOtherResponse && hasId;
  StartIdleTimer(response);
  mIdleSince = std::chrono::steady_clock::now();
  Deliver(std::move(response));
}

void
ClientConnection::Deliver(Response aResponse)
{
  mAwaitingResponse = false;
  aResponse.attribution = AttributionOf(aResponse);
  mHandler.onResponse(std::move(aResponse), {});
}

Attribution
ClientConnection::AttributionOf(const Response& aResponse) const
{
  if (mCorrelationId.empty() ||
      FindHeader(aResponse.headers, mOptions.correlationHeader)) {
    return Attribution::kById;
  }
  return mExchanges == 1 ? Attribution::kFirstOnConnection
                         : Attribution::kByOrder;
}

bool
ClientConnection::EndsExchange(const Response& aResponse) const
{
  const bool isInterim = aResponse.status < kFirstFinalStatus;
  return !isInterim && !AnswersOtherRequest(aResponse);
}

bool
ClientConnection::AnswersOtherRequest(const Response& aResponse) const
{
  if (mCorrelationId.empty()) {
    return false;
  }
  const std::string* id =
    FindHeader(aResponse.headers, mOptions.correlationHeader);
  return id && *id != mCorrelationId;
}

void
ClientConnection::StartIdleTimer(const Response& aResponse)
{
  Milliseconds idleTimeout = mOptions.idleTimeout;
  if (const std::string* value = FindHeader(aResponse.headers, "keep-alive")) {
    if (const auto timeout = KeepAliveTimeout(*value)) {
      idleTimeout = std::min(idleTimeout, *timeout - kKeepAliveMargin);
    }
  }
  if (!mReusable || idleTimeout <= Milliseconds(0)) {
    mReusable = false;
    return;
  }
  mTimer = mLoop.RunAfter(idleTimeout, [this] {
    mTimer = 0;
    OnDisconnected(true);
  });
}

void
ClientConnection::OnDisconnected(bool aCleanEnd)
{
  mReusable = false;
  if (!mAwaitingResponse) {
    mHandler.onIdleClosed();
    return;
  }
  if (!mConnected) {
    Fail(ClientError::kNotSent,
         "connection failed before the request was sent");
    return;
  }
  if (aCleanEnd && mParser.HeadersComplete()) {
    mParser.FinishInput();
    if (mParser.CurrentState() == MessageParser::State::kComplete) {
      Response response = mParser.TakeResponse();
      if (EndsExchange(response)) {
        Deliver(std::move(response));
        return;
      }
    }
  }
  Fail(ClientError::kBroken,
       mParser.Started() ? "connection closed in the middle of the response"
                         : "connection closed without a response");
}

void
ClientConnection::Fail(ClientError aError, const std::string& aMessage)
{
  mReusable = false;
  mAwaitingResponse = false;
  ClientReason reason;
  reason.Set(aError, aMessage);
  mHandler.onResponse(std::nullopt, reason);
}

} // namespace knapweedpaddle::http
