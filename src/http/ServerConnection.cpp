#include "ServerConnection.h"

#include "SharedWrite.h"

#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

namespace knapweedpaddle::http {

namespace {

/** Time for the client to read the last response before the connection is
 * closed. */
constexpr Milliseconds kLingerTime{ 1000 };
/** Limit of pipelined input that waits for the current exchange. */
constexpr std::size_t kMaxUnparsedBytes = 256UL * 1024;
/** Further requests are not parsed while more bytes of responses are unsent, as
 * the client does not read them. */
constexpr std::size_t kMaxUnsentBytes = 64UL * 1024;
constexpr int kUnavailable = 503;
/** When a client that was refused for want of memory may come back. */
constexpr const char* kRetryAfterSeconds = "1";

constexpr int kRequestTimeout = 408;

/** Returns the response status for a request that can't be parsed. */
int
StatusFor(ParseError aError)
{
  switch (aError) {
    case ParseError::kHeadersTooLarge:
      return 431;
    case ParseError::kBodyTooLarge:
      return 413;
    case ParseError::kUnsupportedEncoding:
      return 501;
    case ParseError::kNone:
    case ParseError::kMalformed:
      break;
  }
  return 400;
}

/** Returns true if the peer closed or reset a connection whose input was read.
 */
bool
IsClosedByPeer(int aSocket)
{
  char next = 0;
  const ssize_t n = recv(aSocket, &next, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

} // namespace

class ServerConnection::PendingExchange : public Exchange
{
public:
  PendingExchange(std::weak_ptr<ServerConnection> aConnection, Request aRequest)
    : mConnection(std::move(aConnection))
    , mRequest(std::move(aRequest))
    , mReceivedAt(std::chrono::steady_clock::now())
  {
  }

  Request& Message() override { return mRequest; }
  Timestamp ReceivedAt() const override { return mReceivedAt; }

  void Respond(Response aResponse) override
  {
    // The task may hold this exchange, which must not keep itself alive.
    mOnDisconnect = nullptr;
    if (const auto connection = mConnection.lock(); connection && !mResponded) {
      mResponded = true;
      connection->SendResponse(aResponse);
    }
  }

  void OnClientDisconnect(std::function<void()> aTask) override
  {
    mOnDisconnect = std::move(aTask);
  }

  /** Runs the task set by OnClientDisconnect(). */
  void NotifyDisconnect()
  {
    mResponded = true;
    if (const auto task = std::exchange(mOnDisconnect, nullptr)) {
      task();
    }
  }

private:
  std::weak_ptr<ServerConnection> mConnection;
  Request mRequest;
  Timestamp mReceivedAt;
  std::function<void()> mOnDisconnect;
  bool mResponded = false;
};

/** Callbacks for libevent's C interface. */
struct ServerConnectionCallbacks
{
  static std::shared_ptr<ServerConnection> Self(void* aSelf)
  {
    return static_cast<ServerConnection*>(aSelf)->shared_from_this();
  }

  static void OnReadable(bufferevent*, void* aSelf)
  {
    Self(aSelf)->OnReadable();
  }

  static void OnFlushed(bufferevent*, void* aSelf) { Self(aSelf)->OnFlushed(); }

  static void OnEvent(bufferevent*, short, void* aSelf)
  {
    Self(aSelf)->OnDisconnected();
  }
};

ServerConnection::ServerConnection(ServerContext& aContext,
                                   bufferevent* aBuffer,
                                   ClosedCallback aOnClosed)
  : mContext(aContext)
  , mBuffer(aBuffer)
  , mOnClosed(std::move(aOnClosed))
  , mParser(MessageParser::Kind::kRequests, Limits())
{
}

ServerConnection::~ServerConnection()
{
  mContext.loop.Cancel(mTimer);
  bufferevent_free(mBuffer);
}

void
ServerConnection::Start()
{
  bufferevent_setcb(mBuffer,
                    &ServerConnectionCallbacks::OnReadable,
                    &ServerConnectionCallbacks::OnFlushed,
                    &ServerConnectionCallbacks::OnEvent,
                    this);
  bufferevent_enable(mBuffer, EV_READ | EV_WRITE);
  mProgressAt = std::chrono::steady_clock::now();
  RestartTimer(mContext.limits.idleTimeout);
}

bool
ServerConnection::IsOutputBlocked() const
{
  return evbuffer_get_length(bufferevent_get_output(mBuffer)) > kMaxUnsentBytes;
}

void
ServerConnection::NoteProgress()
{
  mProgressAt = std::chrono::steady_clock::now();
  mHeld.Set(mParser.BodyBytes() +
            evbuffer_get_length(bufferevent_get_input(mBuffer)) +
            evbuffer_get_length(bufferevent_get_output(mBuffer)));
  if (!HeldBytes::HasRoomFor(0)) {
    mContext.relieveMemory();
  }
}

std::optional<SheddingCandidate>
ServerConnection::Candidate() const
{
  if (mClosed || mExchange) {
    return std::nullopt;
  }
  return SheddingCandidate{ mHeld.Get(), mRequestBegan, mProgressAt };
}

void
ServerConnection::Shed(bool aCloseAtOnce)
{
  const bool isReceiving = mParser.Started() && !mLingering;
  if (aCloseAtOnce || !isReceiving || IsOutputBlocked()) {
    Close();
    return;
  }
  mParser.Restart(Limits());
  Response response;
  response.status = kUnavailable;
  response.headers = { { "Retry-After", kRetryAfterSeconds } };
  WriteFinal(response);
  mHeld.Set(0);
}

void
ServerConnection::WriteFinal(const Response& aResponse)
{
  const std::string head = SerializeHead(aResponse, true);
  bufferevent_write(mBuffer, head.data(), head.size());
  WriteShared(mBuffer, aResponse.body);
  StartLingeringClose();
}

ParseLimits
ServerConnection::Limits() const
{
  return { mContext.limits.headerBytes, mContext.limits.bodyBytes };
}

void
ServerConnection::OnReadable()
{
  evbuffer* input = bufferevent_get_input(mBuffer);
  if (mLingering) {
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  if (mExchange) {
    // A socket that is not read does not show that the client has left.
    mDiscardsInput |= evbuffer_get_length(input) > kMaxUnparsedBytes;
    if (mDiscardsInput) {
      evbuffer_drain(input, evbuffer_get_length(input));
    }
    NoteProgress();
    return;
  }
  if (IsOutputBlocked()) {
    bufferevent_disable(mBuffer, EV_READ);
    return;
  }
  Parse();
  if (!mClosed && !mLingering) {
    NoteProgress();
  }
}

void
ServerConnection::Parse()
{
  evbuffer* input = bufferevent_get_input(mBuffer);
  while (!mClosed && !mExchange && !mLingering && !IsOutputBlocked()) {
    const std::size_t size = evbuffer_get_length(input);
    if (size == 0) {
      return;
    }
    const bool wasStarted = mParser.Started();
    const auto* data =
      reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    const std::size_t used = mParser.Feed(data, size);
    evbuffer_drain(input, used);
    switch (mParser.CurrentState()) {
      case MessageParser::State::kComplete:
        Dispatch();
        break;
      case MessageParser::State::kFailed:
        RejectRequest();
        return;
      case MessageParser::State::kReading:
        if (!wasStarted) {
          mRequestBegan = std::chrono::steady_clock::now();
          RestartTimer(mContext.limits.headerTimeout);
        }
        if (mParser.ExpectsContinue() && !mContinueSent) {
          static constexpr std::string_view kContinue =
            "HTTP/1.1 100 Continue\r\n\r\n";
          mContinueSent = true;
          bufferevent_write(mBuffer, kContinue.data(), kContinue.size());
        }
        return;
    }
  }
}

void
ServerConnection::Dispatch()
{
  // A busy loop may read a request and the end of its connection together, and
  // libevent reports the end only in a later turn.
  if (IsClosedByPeer(bufferevent_getfd(mBuffer))) {
    Close();
    return;
  }
  mContext.loop.Cancel(std::exchange(mTimer, 0));
  Request request = mParser.TakeRequest();
  mKeepAlive = request.keepAlive;
  mHeadRequest = request.method == "HEAD";
  mContinueSent = false;
  mParser.Restart(Limits());
  mExchange =
    std::make_shared<PendingExchange>(weak_from_this(), std::move(request));
  ++mContext.inFlight;
  mContext.handler(mExchange);
}

void
ServerConnection::RejectRequest()
{
  Response response;
  response.status = StatusFor(mParser.Error());
  mParser.Restart(Limits());
  WriteFinal(response);
  mHeld.Set(0);
}

void
ServerConnection::SendResponse(const Response& aResponse)
{
  if (mClosed || !mExchange) {
    return;
  }
  mExchange.reset();
  --mContext.inFlight;
  const bool close = !mKeepAlive || mContext.draining || mDiscardsInput;
  const std::string head = SerializeHead(aResponse, close);
  bufferevent_write(mBuffer, head.data(), head.size());
  if (!mHeadRequest) {
    WriteShared(mBuffer, aResponse.body);
  }
  if (close) {
    StartLingeringClose();
    return;
  }
  bufferevent_enable(mBuffer, EV_READ);
  RestartTimer(mContext.limits.idleTimeout);
  // Parses the next request later, because a handler that responds at once must
  // not be entered again from inside itself.
  mContext.loop.Post([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Parse();
    }
  });
}

bool
ServerConnection::HasUnsentBytes() const
{
  return !mClosed && evbuffer_get_length(bufferevent_get_output(mBuffer)) > 0;
}

void
ServerConnection::OnDisconnected()
{
  if (mClosed) {
    return;
  }
  if (const auto exchange = std::exchange(mExchange, nullptr)) {
    --mContext.inFlight;
    Close();
    exchange->NotifyDisconnect();
    return;
  }
  Close();
}

void
ServerConnection::OnFlushed()
{
  if (mClosed) {
    return;
  }
  if (mLingering) {
    shutdown(bufferevent_getfd(mBuffer), SHUT_WR);
    return;
  }
  // Goes on with requests that waited until the client read the responses.
  bufferevent_enable(mBuffer, EV_READ);
  if (!mExchange) {
    Parse();
  }
  if (!mClosed && !mLingering) {
    NoteProgress();
  }
}

void
ServerConnection::StartLingeringClose()
{
  // Closing a socket with unread input resets the connection, and the client
  // might lose the response.
  mLingering = true;
  bufferevent_enable(mBuffer, EV_READ);
  evbuffer* input = bufferevent_get_input(mBuffer);
  evbuffer_drain(input, evbuffer_get_length(input));
  RestartTimer(kLingerTime);
}

void
ServerConnection::RestartTimer(Milliseconds aDelay)
{
  mContext.loop.Cancel(mTimer);
  mTimer = mContext.loop.RunAfter(aDelay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnTimer();
    }
  });
}

void
ServerConnection::OnTimer()
{
  mTimer = 0;
  if (mLingering || !mParser.Started()) {
    Close();
    return;
  }
  Response response;
  response.status = kRequestTimeout;
  mParser.Restart(Limits());
  WriteFinal(response);
  mHeld.Set(0);
}

void
ServerConnection::Close()
{
  if (!mClosed) {
    mClosed = true;
    mHeld.Set(0);
    bufferevent_disable(mBuffer, EV_READ | EV_WRITE);
    mOnClosed(this);
  }
}

} // namespace knapweedpaddle::http
