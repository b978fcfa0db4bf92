#include "ClientConnection.h"

#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>

namespace knapweedpaddle::http {

namespace {

constexpr int kFirstFinalStatus = 200;
/** Margin before the server's own idle timeout, for bytes on the way. */
constexpr Milliseconds kKeepAliveMargin{ 500 };

/** Returns the value of "timeout=N" in a Keep-Alive header. */
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

/** The C callbacks of libevent. */
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
    Self(aSelf).OnEnded((aWhat & BEV_EVENT_EOF) != 0);
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
    Fail(ClientError::kNotSent, "connect timed out");
  });
  return true;
}

void
ClientConnection::Send(const Request& aRequest)
{
  mBusy = true;
  mToHead = aRequest.method == "HEAD";
  mEchoedForeign = false;
  const std::string* id =
    mOptions.correlationHeader.empty()
      ? nullptr
      : FindHeader(aRequest.headers, mOptions.correlationHeader);
  mExpectedId = id ? *id : std::string();
  mParser.Restart({ ParseLimits{}.headerBytes, mOptions.maxResponseBytes },
                  mToHead);
  if (mConnected) {
    mLoop.Cancel(std::exchange(mTimer, 0));
  }
  std::string bytes = Serialize(aRequest);
  if (mConnected) {
    bufferevent_write(mBuffer, bytes.data(), bytes.size());
  } else {
    mPending = std::move(bytes);
  }
}

void
ClientConnection::Abandon()
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
  bufferevent_write(mBuffer, mPending.data(), mPending.size());
  mPending.clear();
}

void
ClientConnection::OnReadable()
{
  evbuffer* input = bufferevent_get_input(mBuffer);
  if (!mBusy) {
    OnEnded(false); // Bytes that answer no request.
    return;
  }
  const std::size_t size = evbuffer_get_length(input);
  const auto* data = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
  const std::size_t used = mParser.Feed(data, size);
  evbuffer_drain(input, used);
  switch (mParser.CurrentState()) {
    case MessageParser::State::kReading:
      return;
    case MessageParser::State::kFailed:
      Fail(ClientError::kMalformed,
           "not a valid answer: " +
             std::string(NameOf(kParseErrorNames, mParser.Error())));
      return;
    case MessageParser::State::kComplete:
      OnMessage();
      return;
  }
}

void
ClientConnection::OnMessage()
{
  Response response = mParser.TakeResponse();
  evbuffer* input = bufferevent_get_input(mBuffer);
  const bool more = evbuffer_get_length(input) > 0;
  const bool interim = response.status < kFirstFinalStatus;
  if (interim || IsForeign(response)) {
    mEchoedForeign |= !interim;
    mParser.Restart({ ParseLimits{}.headerBytes, mOptions.maxResponseBytes },
                    mToHead);
    if (more) {
      OnReadable();
    }
    return;
  }
  const bool unsent = evbuffer_get_length(bufferevent_get_output(mBuffer)) > 0;
  mReusable = response.keepAlive && !more && !unsent && !mEchoedForeign;
  NoteKeepAlive(response);
  mBusy = false;
  mIdleSince = std::chrono::steady_clock::now();
  mHandler.onAnswer(std::move(response), {});
}

bool
ClientConnection::IsForeign(const Response& aResponse) const
{
  if (mExpectedId.empty()) {
    return false;
  }
  const std::string* id =
    FindHeader(aResponse.headers, mOptions.correlationHeader);
  return id && *id != mExpectedId;
}

void
ClientConnection::NoteKeepAlive(const Response& aResponse)
{
  Milliseconds kept = mOptions.idleTimeout;
  if (const std::string* value = FindHeader(aResponse.headers, "keep-alive")) {
    if (const auto timeout = KeepAliveTimeout(*value)) {
      kept = std::min(kept, *timeout - kKeepAliveMargin);
    }
  }
  if (!mReusable || kept <= Milliseconds(0)) {
    mReusable = false;
    return;
  }
  mTimer = mLoop.RunAfter(kept, [this] {
    mTimer = 0;
    OnEnded(true);
  });
}

void
ClientConnection::OnEnded(bool aInOrder)
{
  mReusable = false;
  if (!mBusy) {
    mHandler.onIdleEnd();
    return;
  }
  if (!mConnected) {
    Fail(ClientError::kNotSent, "connection refused");
    return;
  }
  if (aInOrder && mParser.HeadersComplete()) {
    mParser.FinishInput();
    if (mParser.CurrentState() == MessageParser::State::kComplete) {
      Response response = mParser.TakeResponse();
      if (!IsForeign(response)) {
        mBusy = false;
        mHandler.onAnswer(std::move(response), {});
        return;
      }
    }
  }
  Fail(ClientError::kBroken,
       mParser.Started() ? "the answer was cut off"
                         : "connection closed without an answer");
}

void
ClientConnection::Fail(ClientError aError, const std::string& aWhy)
{
  mReusable = false;
  mBusy = false;
  ClientReason reason;
  reason.Set(aError, aWhy);
  mHandler.onAnswer(std::nullopt, reason);
}

} // namespace knapweedpaddle::http
