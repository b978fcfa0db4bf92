#include "knapweedpaddle/http/Client.h"

#include "ClientConnection.h"
#include "runtime/SocketAddress.h"

#include <algorithm>
#include <list>
#include <unordered_map>

namespace knapweedpaddle::http {

class Client::Impl
{
public:
  struct PoolEntry
  {
    std::unique_ptr<ClientConnection> connection;
    RequestId request = 0; ///< the request in progress, 0 while idle
    Callback callback;
  };

  using Pool = std::list<PoolEntry>;

  Impl(runtime::EventLoop& aLoop, ClientOptions aOptions)
    : mLoop(aLoop)
    , mOptions(std::move(aOptions))
  {
  }

  void SetAddress(const std::string& aAddress)
  {
    if (aAddress == mAddressText) {
      return;
    }
    mAddressText = aAddress;
    mAddress = runtime::SocketAddress(aAddress);
    std::erase_if(mPool,
                  [](const PoolEntry& aEntry) { return aEntry.request == 0; });
  }

  RequestId Send(const Request& aRequest,
                 Milliseconds aMaxIdle,
                 Callback aCallback)
  {
    const RequestId id = ++mLastId;
    const auto entry = AcquireConnection(aMaxIdle);
    if (entry == mPool.end()) {
      mLoop.Post([this, id, callback = std::move(aCallback)] {
        if (mFailedRequests.erase(id) > 0) {
          ClientReason reason;
          reason.Set(ClientError::kNotSent, "can't connect to " + mAddressText);
          callback(std::nullopt, reason);
        }
      });
      mFailedRequests.emplace(id, true);
      return id;
    }
    entry->request = id;
    entry->callback = std::move(aCallback);
    mActiveRequests[id] = entry;
    entry->connection->Send(aRequest);
    return id;
  }

  void Cancel(RequestId aRequest)
  {
    mFailedRequests.erase(aRequest);
    if (const auto it = mActiveRequests.find(aRequest);
        it != mActiveRequests.end()) {
      mBufferedBytes -= it->second->connection->ExchangeBytes();
      CloseDeferred(it->second);
      mActiveRequests.erase(it);
    }
  }

  std::uint64_t ConnectionsOpened() const { return mConnectionsOpened; }

private:
  /** Returns the most recently used idle connection, or opens a new one. */
  Pool::iterator AcquireConnection(Milliseconds aMaxIdle)
  {
    const Timestamp now = std::chrono::steady_clock::now();
    auto best = mPool.end();
    for (auto it = mPool.begin(); it != mPool.end(); ++it) {
      if (it->request == 0 && now - it->connection->IdleSince() <= aMaxIdle &&
          (best == mPool.end() ||
           it->connection->IdleSince() > best->connection->IdleSince())) {
        best = it;
      }
    }
    return best == mPool.end() ? OpenConnection() : best;
  }

  Pool::iterator OpenConnection()
  {
    if (!mAddress) {
      return mPool.end();
    }
    ++mConnectionsOpened;
    const auto entry = mPool.emplace(mPool.end());
    entry->connection = std::make_unique<ClientConnection>(
      mLoop,
      mOptions,
      ClientConnection::Handler{
        [this, entry](std::optional<Response> aResponse,
                      const ClientReason& aReason) {
          OnResponse(entry, std::move(aResponse), aReason);
        },
        [this](std::size_t aBytes) { OnReceived(aBytes); },
        [this, entry] { CloseDeferred(entry); } });
    if (!entry->connection->Connect(*mAddress)) {
      mPool.erase(entry);
      return mPool.end();
    }
    return entry;
  }

  /** Aborts the largest of the responses in progress if they are too large
   * together. */
  void OnReceived(std::size_t aBytes)
  {
    mBufferedBytes += aBytes;
    if (mBufferedBytes <= mOptions.maxBufferedBytes) {
      return;
    }
    const auto largest =
      std::ranges::max_element(mActiveRequests, {}, [](const auto& aItem) {
        return aItem.second->connection->ExchangeBytes();
      });
    largest->second->connection->Abort(
      "the responses in progress exceed " +
      std::to_string(mOptions.maxBufferedBytes) +
      " bytes, and this is the largest");
  }

  void OnResponse(Pool::iterator aEntry,
                  std::optional<Response> aResponse,
                  const ClientReason& aReason)
  {
    const Callback callback = std::move(aEntry->callback);
    mActiveRequests.erase(aEntry->request);
    mBufferedBytes -= aEntry->connection->ExchangeBytes();
    aEntry->request = 0;
    if (!aEntry->connection->IsReusable()) {
      CloseDeferred(aEntry);
    }
    callback(std::move(aResponse), aReason);
  }

  /**
   * Removes a connection from the pool. It is destroyed later, because one of
   * its methods may be on the call stack.
   */
  void CloseDeferred(Pool::iterator aEntry)
  {
    const auto connection = std::make_shared<std::unique_ptr<ClientConnection>>(
      std::move(aEntry->connection));
    (*connection)->Detach();
    mPool.erase(aEntry);
    mLoop.Post([connection] { connection->reset(); });
  }

  runtime::EventLoop& mLoop;
  ClientOptions mOptions;
  std::string mAddressText;
  std::optional<sockaddr_in> mAddress;
  RequestId mLastId = 0;
  std::uint64_t mConnectionsOpened = 0;
  std::size_t mBufferedBytes = 0; ///< received by the requests in progress
  Pool mPool;
  std::unordered_map<RequestId, Pool::iterator> mActiveRequests;
  /** Requests that got no connection and whose callback has not run yet. */
  std::unordered_map<RequestId, bool> mFailedRequests;
};

Client::Client(runtime::EventLoop& aLoop, ClientOptions aOptions)
  : mImpl(std::make_unique<Impl>(aLoop, std::move(aOptions)))
{
}

Client::~Client() = default;

void
Client::SetAddress(const std::string& aAddress)
{
  mImpl->SetAddress(aAddress);
}

Client::RequestId
Client::Send(const Request& aRequest, Milliseconds aMaxIdle, Callback aCallback)
{
  return mImpl->Send(aRequest, aMaxIdle, std::move(aCallback));
}

void
Client::Cancel(RequestId aRequest)
{
  mImpl->Cancel(aRequest);
}

std::uint64_t
Client::ConnectionsOpened() const
{
  return mImpl->ConnectionsOpened();
}

} // namespace knapweedpaddle::http
