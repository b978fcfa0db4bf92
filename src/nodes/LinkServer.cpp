#include "knapweedpaddle/nodes/LinkServer.h"

#include "LinkSession.h"
#include "knapweedpaddle/nodes/RequestDelayEstimator.h"
#include "knapweedpaddle/runtime/EventLoop.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <unordered_map>

namespace knapweedpaddle::nodes {

namespace {

constexpr int kBacklog = 512;
/** A request that was delayed for longer may have been cancelled meanwhile, and
 * the cancellation may still be on its way. */
constexpr Milliseconds kMaxUnconfirmedDelay{ 250 };

void
DisableNagle(evutil_socket_t aSocket)
{
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

class LinkServer::Impl
{
public:
  class Responder;

  struct DelayedRequest
  {
    LinkRequest request;
    std::shared_ptr<Responder> responder;
  };

  struct Connection
  {
    std::unique_ptr<LinkSession> session;
    std::unordered_map<std::int32_t, std::weak_ptr<Responder>> responders;
    /** Responders of requests whose body has not arrived whole. */
    std::unordered_map<std::int32_t, std::shared_ptr<Responder>> awaitingBody;
    RequestDelayEstimator delays;
    std::unordered_map<std::int32_t, Milliseconds> delayOf; ///< by stream id
    /** Delayed requests, which wait for the answer to a ping. */
    std::vector<DelayedRequest> delayed;
    Microseconds pingSentAt{ 0 };
  };

  class Responder : public LinkResponder
  {
  public:
    Responder(std::weak_ptr<Connection> aConnection, std::int32_t aStream)
      : mConnection(std::move(aConnection))
      , mStream(aStream)
    {
    }

    void Respond(const LinkResponse& aResponse) override
    {
      mOnCancel = nullptr;
      if (const auto connection = mConnection.lock();
          connection && !mAnswered) {
        mAnswered = true;
        connection->session->SubmitResponse(mStream, aResponse);
      }
    }

    void AcceptBody() override
    {
      if (const auto connection = mConnection.lock()) {
        connection->session->AcceptBody(mStream);
      }
    }

    bool IsAnswered() const { return mAnswered; }

    void OnCancel(std::function<void()> aTask) override
    {
      mOnCancel = std::move(aTask);
    }

    void Cancel()
    {
      mAnswered = true;
      if (const auto task = std::exchange(mOnCancel, nullptr)) {
        task();
      }
    }

  private:
    std::weak_ptr<Connection> mConnection;
    std::int32_t mStream;
    bool mAnswered = false;
    std::function<void()> mOnCancel;
  };

  Impl(runtime::EventLoop& aLoop, Handler aOnRequest, Handler aOnHeaders)
    : mLoop(aLoop)
    , mOnRequest(std::move(aOnRequest))
    , mOnHeaders(std::move(aOnHeaders))
  {
  }

  ~Impl()
  {
    if (mListener) {
      evconnlistener_free(mListener);
    }
  }

  std::optional<std::uint16_t> Listen(const std::string& aAddress,
                                      std::uint16_t aPort)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr);
    mListener = evconnlistener_new_bind(
      mLoop.Base(),
      &Impl::OnAccept,
      this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      kBacklog,
      reinterpret_cast<sockaddr*>(&address),
      sizeof(address));
    if (!mListener) {
      return std::nullopt;
    }
    socklen_t size = sizeof(address);
    getsockname(evconnlistener_get_fd(mListener),
                reinterpret_cast<sockaddr*>(&address),
                &size);
    return ntohs(address.sin_port);
  }

  void GoAway()
  {
    // A session without open streams ends at once and is removed from
    // mConnections, so a copy is iterated.
    const auto connections = mConnections;
    for (const auto& [raw, connection] : connections) {
      connection->session->SendGoAway();
    }
  }

  bool HasUnsentBytes() const
  {
    return std::ranges::any_of(mConnections, [](const auto& aItem) {
      return aItem.second->session->HasUnsentBytes();
    });
  }

private:
  static void OnAccept(evconnlistener*,
                       evutil_socket_t aSocket,
                       sockaddr*,
                       int,
                       void* aSelf)
  {
    auto* self = static_cast<Impl*>(aSelf);
    DisableNagle(aSocket);
    bufferevent* buffer = bufferevent_socket_new(
      self->mLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
    auto connection = std::make_shared<Connection>();
    Connection* raw = connection.get();
    LinkSession::Handler handler;
    handler.onHeaders = [self, raw](std::int32_t aStream) {
      self->OnHeaders(*raw, aStream);
    };
    handler.onMessage = [self, raw](std::int32_t aStream) {
      self->OnRequest(*raw, aStream);
    };
    handler.onStreamClosed = [self, raw](std::int32_t aStream, std::uint32_t) {
      raw->delayOf.erase(aStream);
      self->CancelStream(*raw, aStream);
    };
    handler.onPong = [self, raw] { self->OnPong(*raw); };
    handler.onClosed = [self, raw](const std::string&) { self->Drop(raw); };
    connection->session = std::make_unique<LinkSession>(
      LinkSession::Role::kServer, buffer, std::move(handler));
    self->mConnections.emplace(raw, std::move(connection));
  }

  void OnHeaders(Connection& aConnection, std::int32_t aStream)
  {
    const Milliseconds delay = NoteDelay(aConnection, aStream);
    if (!mOnHeaders) {
      aConnection.session->AcceptBody(aStream);
      return;
    }
    const LinkSession::Stream* stream =
      aConnection.session->FindStream(aStream);
    LinkRequest request;
    request.path = stream->path;
    request.headers = stream->headers;
    request.begunAt = stream->begunAt;
    request.delay = delay;
    const auto responder = MakeResponder(aConnection, aStream);
    aConnection.awaitingBody[aStream] = responder;
    mOnHeaders(std::move(request), responder);
  }

  std::shared_ptr<Responder> MakeResponder(Connection& aConnection,
                                           std::int32_t aStream)
  {
    auto responder =
      std::make_shared<Responder>(mConnections.at(&aConnection), aStream);
    aConnection.responders[aStream] = responder;
    return responder;
  }

  void OnRequest(Connection& aConnection, std::int32_t aStream)
  {
    std::shared_ptr<Responder> responder;
    if (const auto it = aConnection.awaitingBody.find(aStream);
        it != aConnection.awaitingBody.end()) {
      responder = it->second;
      aConnection.awaitingBody.erase(it);
      if (responder->IsAnswered()) {
        return;
      }
    } else {
      responder = MakeResponder(aConnection, aStream);
    }
    LinkSession::Stream* stream = aConnection.session->FindStream(aStream);
    LinkRequest request;
    request.path = std::move(stream->path);
    request.headers = std::move(stream->headers);
    request.body = std::move(stream->body);
    stream->held.Set(0);
    request.begunAt = stream->begunAt;
    request.delay = NoteDelay(aConnection, aStream);
    if (request.delay > kMaxUnconfirmedDelay) {
      Delay(aConnection, { std::move(request), std::move(responder) });
      return;
    }
    mOnRequest(std::move(request), responder);
  }

  /** Returns the delay of a request; estimated once, when it arrives. */
  Milliseconds NoteDelay(Connection& aConnection, std::int32_t aStream)
  {
    const auto [it, isNew] = aConnection.delayOf.try_emplace(aStream, 0);
    const Microseconds sentAt =
      aConnection.session->FindStream(aStream)->sentAt;
    if (isNew && sentAt != Microseconds(0)) {
      const auto delay = std::chrono::duration_cast<Milliseconds>(
        aConnection.delays.Add(sentAt, BootTime()));
      // A busy node reads late what the network delivered in time.
      it->second = std::max(Milliseconds(0), delay - mLoop.MaxInputLag());
    }
    return it->second;
  }

  /** Keeps a delayed request until the peer has answered a ping: what the peer
   * cancelled before it got the ping is then known. */
  static void Delay(Connection& aConnection, DelayedRequest aRequest)
  {
    aConnection.delayed.push_back(std::move(aRequest));
    if (aConnection.delayed.size() == 1) {
      aConnection.pingSentAt = BootTime();
      aConnection.session->SendPing();
    }
  }

  void OnPong(Connection& aConnection)
  {
    aConnection.delays.SetEarliestSendTime(aConnection.pingSentAt);
    for (auto& it : std::exchange(aConnection.delayed, {})) {
      if (!it.responder->IsAnswered()) {
        mOnRequest(std::move(it.request), it.responder);
      }
    }
  }

  void CancelStream(Connection& aConnection, std::int32_t aStream)
  {
    const auto it = aConnection.responders.find(aStream);
    if (it == aConnection.responders.end()) {
      return;
    }
    const auto responder = it->second.lock();
    aConnection.responders.erase(it);
    aConnection.awaitingBody.erase(aStream);
    if (responder) {
      responder->Cancel();
    }
  }

  void Drop(Connection* aConnection)
  {
    const auto it = mConnections.find(aConnection);
    if (it == mConnections.end()) {
      return;
    }
    // The session is on the call stack, so a later task destroys it.
    auto connection = it->second;
    mConnections.erase(it);
    for (auto& [stream, weak] : std::exchange(connection->responders, {})) {
      if (const auto responder = weak.lock()) {
        responder->Cancel();
      }
    }
    connection->awaitingBody.clear();
    connection->delayed.clear();
    mLoop.Post([connection] {});
  }

  runtime::EventLoop& mLoop;
  Handler mOnRequest;
  Handler mOnHeaders;
  evconnlistener* mListener = nullptr;
  std::unordered_map<Connection*, std::shared_ptr<Connection>> mConnections;
};

LinkServer::LinkServer(runtime::EventLoop& aLoop,
                       Handler aOnRequest,
                       Handler aOnHeaders)
  : mImpl(std::make_unique<Impl>(aLoop,
                                 std::move(aOnRequest),
                                 std::move(aOnHeaders)))
{
}

LinkServer::~LinkServer() = default;

std::optional<std::uint16_t>
LinkServer::Listen(const std::string& aAddress, std::uint16_t aPort)
{
  return mImpl->Listen(aAddress, aPort);
}

void
LinkServer::GoAway()
{
  mImpl->GoAway();
}

bool
LinkServer::HasUnsentBytes() const
{
  return mImpl->HasUnsentBytes();
}

} // namespace knapweedpaddle::nodes
