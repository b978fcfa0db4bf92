#include "knapweedpaddle/http/Server.h"

#include "ServerConnection.h"
#include "runtime/SocketAddress.h"

#include <algorithm>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <unistd.h>
#include <unordered_map>

namespace knapweedpaddle::http {

namespace {

constexpr int kListenBacklog = 1024;

} // namespace

class Server::Impl
{
public:
  Impl(runtime::EventLoop& aLoop, Handler aHandler)
    : mContext{ aLoop, std::move(aHandler),
                {},    [this] { RelieveMemory(); },
                false, 0 }
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

  void SetMaxConnections(std::size_t aCount) { mMaxConnections = aCount; }

  std::uint64_t ConnectionsShed() const { return mConnectionsShed; }

  bool HasUnsentBytes() const
  {
    return std::ranges::any_of(mConnections, [](const auto& aItem) {
      return aItem.second->HasUnsentBytes();
    });
  }

private:
  /** Ends connections until this process holds few enough bytes, or none is
   * left to end. */
  void RelieveMemory()
  {
    while (!HeldBytes::HasRoomFor(0) &&
           ShedOne(
             [](const auto& aCandidates) {
               return ChooseForMemory(aCandidates,
                                      std::chrono::steady_clock::now());
             },
             false)) {
    }
  }

  /** Ends a connection. @return false if there is none that may be ended. */
  template<typename Choice>
  bool ShedOne(Choice aChoose, bool aCloseAtOnce)
  {
    std::vector<SheddingCandidate> candidates;
    std::vector<std::shared_ptr<ServerConnection>> connections;
    for (const auto& [raw, connection] : mConnections) {
      if (const auto candidate = connection->Candidate()) {
        candidates.push_back(*candidate);
        connections.push_back(connection);
      }
    }
    const auto chosen = aChoose(candidates);
    if (!chosen) {
      return false;
    }
    ++mConnectionsShed;
    connections[*chosen]->Shed(aCloseAtOnce);
    return true;
  }

  static void OnAccept(evconnlistener*,
                       evutil_socket_t aSocket,
                       sockaddr*,
                       int,
                       void* aSelf)
  {
    auto* self = static_cast<Impl*>(aSelf);
    if (self->mMaxConnections > 0 &&
        self->mConnections.size() >= self->mMaxConnections &&
        !self->ShedOne(
          [](const auto& aCandidates) {
            return ChooseForDescriptors(aCandidates);
          },
          true)) {
      close(aSocket); // every connection waits for a response
      return;
    }
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
  std::size_t mMaxConnections = 0; ///< 0: no limit
  std::uint64_t mConnectionsShed = 0;
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
Server::SetMaxConnections(std::size_t aCount)
{
  mImpl->SetMaxConnections(aCount);
}

std::uint64_t
Server::ConnectionsShed() const
{
  return mImpl->ConnectionsShed();
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
