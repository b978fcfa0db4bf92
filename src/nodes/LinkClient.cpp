#include "knapweedpaddle/nodes/LinkClient.h"

#include "LinkSession.h"
#include "knapweedpaddle/runtime/EventLoop.h"
#include "runtime/SocketAddress.h"

#include <event2/bufferevent.h>
#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>
#include <unordered_map>

namespace knapweedpaddle::nodes {

using runtime::EventLoop;

class LinkClient::Impl
{
public:
  struct Connection
  {
    std::string address;
    std::unique_ptr<LinkSession> session;
    std::unordered_map<std::int32_t, RequestId>
      requests; ///< keyed by stream id
    bool connected = false;
    bool retired = false; ///< accepts no new requests
    bool pingOutstanding = false;
    EventLoop::TimerId timer = 0;
    Timestamp lastUsed;
  };

  struct Request
  {
    Connection* connection = nullptr; ///< null if no stream was opened
    std::int32_t stream = -1;
    EventLoop::TimerId timer = 0;
    bool waitUntilTimeout = false;
    Callback callback;
  };

  Impl(EventLoop& aLoop, LinkClientOptions aOptions)
    : mLoop(aLoop)
    , mOptions(aOptions)
  {
  }

  RequestId Send(const std::string& aAddress,
                 const LinkRequest& aRequest,
                 Callback aCallback)
  {
    const RequestId id = ++mLastId;
    Request& request = mRequests[id];
    request.callback = std::move(aCallback);
    request.waitUntilTimeout = aRequest.waitUntilTimeout;
    request.timer =
      mLoop.RunAfter(aRequest.timeout, [this, id] { OnTimeout(id); });
    Connection* connection = FindOrConnect(aAddress);
    const std::int32_t stream =
      connection ? connection->session->SubmitRequest(aRequest) : -1;
    if (stream < 0) {
      mLoop.Post([this, id, aAddress] {
        Finish(id,
               std::nullopt,
               LinkError::kNotSent,
               "can't open a stream to " + aAddress);
      });
      return id;
    }
    // The connection may have failed while the request was submitted, and is
    // then removed already.
    if (!mConnections.contains(connection)) {
      mLoop.Post([this, id, aAddress] {
        Finish(id,
               std::nullopt,
               LinkError::kBroken,
               "connection to " + aAddress + " failed");
      });
      return id;
    }
    request.connection = connection;
    request.stream = stream;
    connection->requests[stream] = id;
    connection->lastUsed = std::chrono::steady_clock::now();
    return id;
  }

  void Cancel(RequestId aRequest)
  {
    const auto it = mRequests.find(aRequest);
    if (it == mRequests.end()) {
      return;
    }
    mLoop.Cancel(it->second.timer);
    Connection* connection = it->second.connection;
    const std::int32_t stream = it->second.stream;
    mRequests.erase(it);
    if (connection) {
      connection->requests.erase(stream);
      connection->session->ResetStream(stream, NGHTTP2_CANCEL);
    }
  }

  std::uint64_t UnresponsiveLinks() const { return mUnresponsiveLinks; }

private:
  Connection* FindOrConnect(const std::string& aAddress)
  {
    if (const auto it = mByAddress.find(aAddress); it != mByAddress.end()) {
      return it->second;
    }
    return Connect(aAddress);
  }

  Connection* Connect(const std::string& aAddress)
  {
    auto address = runtime::SocketAddress(aAddress);
    if (!address) {
      return nullptr;
    }
    bufferevent* buffer =
      bufferevent_socket_new(mLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
    if (bufferevent_socket_connect(buffer,
                                   reinterpret_cast<sockaddr*>(&*address),
                                   sizeof(*address)) != 0) {
      bufferevent_free(buffer);
      return nullptr;
    }
    const int on = 1;
    setsockopt(
      bufferevent_getfd(buffer), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));

    auto owned = std::make_shared<Connection>();
    Connection* connection = owned.get();
    connection->address = aAddress;
    connection->session = std::make_unique<LinkSession>(
      LinkSession::Role::kClient, buffer, HandlerFor(connection));
    connection->timer = mLoop.RunAfter(
      mOptions.connectTimeout, [this, connection] { OnTimer(connection); });
    mConnections.emplace(connection, std::move(owned));
    mByAddress[aAddress] = connection;
    return connection;
  }

  LinkSession::Handler HandlerFor(Connection* aConnection)
  {
    LinkSession::Handler handler;
    handler.onConnected = [this, aConnection] {
      aConnection->connected = true;
      RestartTimer(aConnection, mOptions.pingInterval);
    };
    handler.onMessage = [this, aConnection](std::int32_t aStream) {
      OnResponse(*aConnection, aStream);
    };
    handler.onStreamClosed = [this, aConnection](std::int32_t aStream,
                                                 std::uint32_t aCode) {
      OnStreamClosed(*aConnection, aStream, aCode);
    };
    handler.onPong = [aConnection] { aConnection->pingOutstanding = false; };
    handler.onGoAway = [this, aConnection] { Retire(aConnection); };
    handler.onClosed = [this, aConnection](const std::string& aWhy) {
      Drop(aConnection, LinkError::kBroken, aWhy);
    };
    return handler;
  }

  void RestartTimer(Connection* aConnection, Milliseconds aDelay)
  {
    mLoop.Cancel(aConnection->timer);
    aConnection->timer =
      mLoop.RunAfter(aDelay, [this, aConnection] { OnTimer(aConnection); });
  }

  void OnTimer(Connection* aConnection)
  {
    if (!aConnection->connected) {
      Drop(aConnection, LinkError::kNotSent, "connect timed out");
      return;
    }
    if (aConnection->pingOutstanding) {
      OnPingTimeout(aConnection);
      return;
    }
    const auto idle = std::chrono::steady_clock::now() - aConnection->lastUsed;
    if (aConnection->requests.empty() &&
        (aConnection->retired || idle > mOptions.idleTimeout)) {
      Drop(aConnection, LinkError::kBroken, "idle");
      return;
    }
    aConnection->pingOutstanding = true;
    // The timer is restarted first, because SendPing() may drop the connection.
    RestartTimer(aConnection, mOptions.pingTimeout);
    aConnection->session->SendPing();
  }

  /** Retires a connection that stopped answering pings. Only requests with
   * waitUntilTimeout that the peer may have got stay on it; the others fail. */
  void OnPingTimeout(Connection* aConnection)
  {
    mUnresponsiveLinks += aConnection->retired ? 0 : 1;
    Retire(aConnection);
    struct Abandoned
    {
      std::int32_t stream;
      RequestId id;
      LinkError code;
    };
    std::vector<Abandoned> abandoned;
    std::erase_if(aConnection->requests, [&](const auto& aItem) {
      const auto [stream, id] = aItem;
      const auto it = mRequests.find(id);
      const LinkError code =
        ErrorFor(*aConnection, stream, LinkError::kUnresponsive);
      if (it != mRequests.end() && it->second.waitUntilTimeout &&
          code != LinkError::kNotSent) {
        return false;
      }
      abandoned.push_back({ stream, id, code });
      return true;
    });
    const std::string address = aConnection->address;
    if (aConnection->requests.empty()) {
      Drop(aConnection, LinkError::kUnresponsive, "no answer to a ping");
    } else {
      RestartTimer(aConnection, mOptions.pingInterval);
      // Resetting a stream may drop the connection, which stays valid until a
      // later task.
      for (const auto& it : abandoned) {
        aConnection->session->ResetStream(it.stream, NGHTTP2_CANCEL);
      }
    }
    mLoop.Post([this, abandoned, address] {
      for (const auto& it : abandoned) {
        Finish(it.id, std::nullopt, it.code, address + ": no answer to a ping");
      }
    });
  }

  /** Returns the error for a request whose stream or connection ends now:
   * kNotSent if the peer did not get the whole request. */
  static LinkError ErrorFor(const Connection& aConnection,
                            std::int32_t aStream,
                            LinkError aCode)
  {
    return aConnection.connected && aConnection.session->MaySendWhole(aStream)
             ? aCode
             : LinkError::kNotSent;
  }

  void Retire(Connection* aConnection)
  {
    aConnection->retired = true;
    if (const auto it = mByAddress.find(aConnection->address);
        it != mByAddress.end() && it->second == aConnection) {
      mByAddress.erase(it);
    }
  }

  void OnResponse(Connection& aConnection, std::int32_t aStream)
  {
    const auto it = aConnection.requests.find(aStream);
    if (it == aConnection.requests.end()) {
      return;
    }
    const RequestId id = it->second;
    aConnection.requests.erase(it);
    LinkSession::Stream* stream = aConnection.session->FindStream(aStream);
    LinkResponse response{ stream->status,
                           std::move(stream->headers),
                           std::move(stream->body) };
    stream->held.Set(0);
    if (!aConnection.session->MaySendWhole(aStream)) {
      // The peer responded without the rest of the body.
      aConnection.session->ResetStream(aStream, NGHTTP2_CANCEL);
    }
    Finish(id, std::move(response), LinkError::kBroken, "");
  }

  void OnStreamClosed(Connection& aConnection,
                      std::int32_t aStream,
                      std::uint32_t aCode)
  {
    const auto it = aConnection.requests.find(aStream);
    if (it == aConnection.requests.end()) {
      return;
    }
    const RequestId id = it->second;
    aConnection.requests.erase(it);
    const LinkSession::Stream* stream =
      aConnection.session->FindStream(aStream);
    LinkError code = ErrorFor(aConnection, aStream, LinkError::kBroken);
    if (aCode == NGHTTP2_REFUSED_STREAM) {
      code = LinkError::kRefused;
    } else if (stream && stream->tooLarge) {
      code = LinkError::kTooLarge;
    }
    Finish(id,
           std::nullopt,
           code,
           "stream to " + aConnection.address + " was reset");
  }

  void OnTimeout(RequestId aRequest)
  {
    const auto it = mRequests.find(aRequest);
    if (it == mRequests.end()) {
      return;
    }
    Connection* connection = it->second.connection;
    const std::int32_t stream = it->second.stream;
    LinkError code = LinkError::kNotSent;
    if (connection) {
      code = ErrorFor(*connection, stream, LinkError::kTimeout);
      connection->requests.erase(stream);
      connection->session->ResetStream(stream, NGHTTP2_CANCEL);
    }
    Finish(aRequest, std::nullopt, code, "no response before the timeout");
  }

  void Finish(RequestId aRequest,
              std::optional<LinkResponse> aResponse,
              LinkError aCode,
              const std::string& aWhy)
  {
    const auto it = mRequests.find(aRequest);
    if (it == mRequests.end()) {
      return;
    }
    mLoop.Cancel(it->second.timer);
    const Callback callback = std::move(it->second.callback);
    mRequests.erase(it);
    LinkReason reason;
    reason.Set(aCode, aWhy);
    callback(std::move(aResponse), reason);
  }

  void Drop(Connection* aConnection, LinkError aCode, const std::string& aWhy)
  {
    const auto it = mConnections.find(aConnection);
    if (it == mConnections.end()) {
      return;
    }
    const auto connection = it->second;
    mConnections.erase(it);
    Retire(aConnection);
    mLoop.Cancel(connection->timer);
    // The session may be on the call stack, so a later task runs the callbacks
    // and destroys it.
    mLoop.Post([this, connection, aCode, aWhy] {
      for (const auto& [stream, id] : std::exchange(connection->requests, {})) {
        Finish(id,
               std::nullopt,
               ErrorFor(*connection, stream, aCode),
               connection->address + ": " + aWhy);
      }
    });
  }

  EventLoop& mLoop;
  LinkClientOptions mOptions;
  RequestId mLastId = 0;
  std::uint64_t mUnresponsiveLinks = 0;
  std::unordered_map<RequestId, Request> mRequests;
  std::unordered_map<Connection*, std::shared_ptr<Connection>> mConnections;
  std::unordered_map<std::string, Connection*> mByAddress;
};

LinkClient::LinkClient(EventLoop& aLoop, LinkClientOptions aOptions)
  : mImpl(std::make_unique<Impl>(aLoop, aOptions))
{
}

LinkClient::~LinkClient() = default;

LinkClient::RequestId
LinkClient::Send(const std::string& aAddress,
                 const LinkRequest& aRequest,
                 Callback aCallback)
{
  return mImpl->Send(aAddress, aRequest, std::move(aCallback));
}

void
LinkClient::Cancel(RequestId aRequest)
{
  mImpl->Cancel(aRequest);
}

std::uint64_t
LinkClient::UnresponsiveLinks() const
{
  return mImpl->UnresponsiveLinks();
}

} // namespace knapweedpaddle::nodes
