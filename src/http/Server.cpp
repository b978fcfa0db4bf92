#include "knapweedpaddle/http/Server.h"

#include "ServerConnection.h"
#include "runtime/SocketAddress.h"

#include <algorithm>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <unordered_map>

namespace knapweedpaddle::http {

namespace {

constexpr int kListenBacklog = 1024;

} // namespace

class Server::Impl
{
public:
  Impl(runtime::EventLoop& aLoop, Handler aHandler)
    : mContext{ aLoop, std::move(aHandler), {}, false, 0 }
  {
  }

  ~Impl()
  {
    mConnections.clear();
    if (mListener) {
      evconnlistener_free(mListener);
    }
  }

  bool Listen(const std::string& aAddress)
  {
    const auto address = runtime::SocketAddress(aAddress);
    if (!address) {
      return false;
    }
    mListener = evconnlistener_new_bind(
      mContext.loop.Base(),
      &Impl::OnAccept,
      this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      kListenBacklog,
      reinterpret_cast<const sockaddr*>(&*address),
      sizeof(*address));
    return mListener != nullptr;
  }

  ServerContext& Context() { return mContext; }

  bool HasUnsentBytes() const
  {
    return std::ranges::any_of(mConnections, [](const auto& aItem) {
      return aItem.second->HasUnsentBytes();
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
    const int on = 1;
    setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    bufferevent* buffer = bufferevent_socket_new(
      self->mContext.loop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
    const auto connection = std::make_shared<ServerConnection>(
      self->mContext, buffer, [self](ServerConnection* aConnection) {
        self->mConnections.erase(aConnection);
      });
    self->mConnections.emplace(connection.get(), connection);
    connection->Start();
  }

  ServerContext mContext;
  evconnlistener* mListener = nullptr;
  std::unordered_map<ServerConnection*, std::shared_ptr<ServerConnection>>
    mConnections;
};

Server::Server(runtime::EventLoop& aLoop, Handler aHandler)
  : mImpl(std::make_unique<Impl>(aLoop, std::move(aHandler)))
{
}

Server::~Server() = default;

bool
Server::Listen(const std::string& aAddress)
{
  return mImpl->Listen(aAddress);
}

void
Server::SetLimits(const ServerLimits& aLimits)
{
  mImpl->Context().limits = aLimits;
}

void
Server::Drain()
{
  mImpl->Context().draining = true;
}

std::size_t
Server::InFlight() const
{
  return mImpl->Context().inFlight;
}

bool
Server::HasUnsentBytes() const
{
  return mImpl->HasUnsentBytes();
}

} // namespace knapweedpaddle::http
