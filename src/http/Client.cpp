#include "knapweedpaddle/http/Client.h"

#include "ClientConnection.h"
#include "runtime/SocketAddress.h"

#include <list>
#include <unordered_map>

namespace knapweedpaddle::http {

class Client::Impl
{
public:
  struct Entry
  {
    std::unique_ptr<ClientConnection> connection;
    RequestId request = 0; ///< 0 while idle
    Callback callback;
  };

  using EntryList = std::list<Entry>;

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
    std::erase_if(mEntries,
                  [](const Entry& aEntry) { return aEntry.request == 0; });
  }

  RequestId Send(const Request& aRequest,
                 Milliseconds aMaxIdle,
                 Callback aCallback)
  {
    const RequestId id = ++mLastId;
    const auto entry = Usable(aMaxIdle);
    if (entry == mEntries.end()) {
      mLoop.Post([this, id, callback = std::move(aCallback)] {
        if (mUnsent.erase(id) > 0) {
          ClientReason reason;
          reason.Set(ClientError::kNotSent, "can't connect to " + mAddressText);
          callback(std::nullopt, reason);
        }
      });
      mUnsent.emplace(id, true);
      return id;
    }
    entry->request = id;
    entry->callback = std::move(aCallback);
    mByRequest[id] = entry;
    entry->connection->Send(aRequest);
    return id;
  }

  void Cancel(RequestId aRequest)
  {
    mUnsent.erase(aRequest);
    if (const auto it = mByRequest.find(aRequest); it != mByRequest.end()) {
      Retire(it->second);
      mByRequest.erase(it);
    }
  }

  std::uint64_t ConnectionsOpened() const { return mConnects; }

private:
  /** Returns the most recently used idle connection, or a new one. */
  EntryList::iterator Usable(Milliseconds aMaxIdle)
  {
    const Timestamp now = std::chrono::steady_clock::now();
    auto best = mEntries.end();
    for (auto it = mEntries.begin(); it != mEntries.end(); ++it) {
      if (it->request == 0 && now - it->connection->IdleSince() <= aMaxIdle &&
          (best == mEntries.end() ||
           it->connection->IdleSince() > best->connection->IdleSince())) {
        best = it;
      }
    }
    return best == mEntries.end() ? Open() : best;
  }

  EntryList::iterator Open()
  {
    if (!mAddress) {
      return mEntries.end();
    }
    ++mConnects;
    const auto entry = mEntries.emplace(mEntries.end());
    entry->connection = std::make_unique<ClientConnection>(
      mLoop,
      mOptions,
      ClientConnection::Handler{
        [this, entry](std::optional<Response> aResponse,
                      const ClientReason& aReason) {
          OnAnswer(entry, std::move(aResponse), aReason);
        },
        [this, entry] { Retire(entry); } });
    if (!entry->connection->Connect(*mAddress)) {
      mEntries.erase(entry);
      return mEntries.end();
    }
    return entry;
  }

  void OnAnswer(EntryList::iterator aEntry,
                std::optional<Response> aResponse,
                const ClientReason& aReason)
  {
    const Callback callback = std::move(aEntry->callback);
    mByRequest.erase(aEntry->request);
    aEntry->request = 0;
    if (!aEntry->connection->IsReusable()) {
      Retire(aEntry);
    }
    callback(std::move(aResponse), aReason);
  }

  /** Ends a connection that may be on the call stack. */
  void Retire(EntryList::iterator aEntry)
  {
    const auto connection = std::make_shared<std::unique_ptr<ClientConnection>>(
      std::move(aEntry->connection));
    (*connection)->Abandon();
    mEntries.erase(aEntry);
    mLoop.Post([connection] { connection->reset(); });
  }

  runtime::EventLoop& mLoop;
  ClientOptions mOptions;
  std::string mAddressText;
  std::optional<sockaddr_in> mAddress;
  RequestId mLastId = 0;
  std::uint64_t mConnects = 0;
  EntryList mEntries;
  std::unordered_map<RequestId, EntryList::iterator> mByRequest;
  std::unordered_map<RequestId, bool> mUnsent; ///< failures not told yet
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
