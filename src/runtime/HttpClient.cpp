#include "knapweedpaddle/runtime/HttpClient.h"

#include "knapweedpaddle/common/Text.h"
#include "knapweedpaddle/runtime/EventLoop.h"

#include <algorithm>
#include <curl/curl.h>
#include <event2/event.h>
#include <unordered_map>

namespace knapweedpaddle::runtime {

namespace {

/** Limit of the curl handles that are kept for reuse. */
constexpr std::size_t kMaxIdleHandles = 32;
constexpr std::size_t kMaxResponseBodyBytes = 16UL * 1024 * 1024;

/** Initialises libcurl, once per process. */
void
InitialiseCurl()
{
  static const CURLcode kResult = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(kResult);
}

/** Translates the result of a failed transfer. */
HttpError
ErrorFor(CURLcode aResult, bool aAnyBytesSent)
{
  if (!aAnyBytesSent) {
    return HttpError::kNotSent;
  }
  switch (aResult) {
    case CURLE_OPERATION_TIMEDOUT:
      return HttpError::kTimeout;
    case CURLE_PARTIAL_FILE:
      return HttpError::kTruncated;
    case CURLE_WRITE_ERROR: // OnBody() rejected bytes beyond the limit.
      return HttpError::kTooLarge;
    default:
      return HttpError::kBroken;
  }
}

} // namespace

std::string
HttpResponse::Header(const std::string& aName) const
{
  const auto it = std::ranges::find(headers, aName, &HttpHeader::name);
  return it == headers.end() ? std::string() : it->value;
}

class HttpClient::Impl
{
public:
  /** A request in progress. */
  struct Transfer
  {
    RequestId id = 0;
    CURL* handle = nullptr;
    curl_slist* headers = nullptr;
    HttpRequest request;
    HttpResponse response;
    Callback callback;

    ~Transfer() { curl_slist_free_all(headers); }
  };

  /** The event of a socket that libcurl watches. */
  struct SocketEvent
  {
    event* handle = nullptr;
  };

  Impl(EventLoop& aLoop, long aMaxConnections)
    : mLoop(aLoop)
  {
    InitialiseCurl();
    mMulti = curl_multi_init();
    curl_multi_setopt(mMulti, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
    curl_multi_setopt(mMulti, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(mMulti, CURLMOPT_TIMERFUNCTION, &Impl::OnTimerChange);
    curl_multi_setopt(mMulti, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(mMulti, CURLMOPT_MAX_HOST_CONNECTIONS, aMaxConnections);
    curl_multi_setopt(mMulti, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    mTimer = event_new(mLoop.Base(), -1, 0, &Impl::OnTimer, this);
  }

  ~Impl()
  {
    for (auto& [id, transfer] : mTransfers) {
      curl_multi_remove_handle(mMulti, transfer->handle);
    }
    for (auto& [id, transfer] : mTransfers) {
      curl_easy_cleanup(transfer->handle);
    }
    for (CURL* it : mIdleHandles) {
      curl_easy_cleanup(it);
    }
    mTransfers.clear();
    curl_multi_cleanup(mMulti);
    event_free(mTimer);
  }

  RequestId Send(HttpRequest aRequest, Callback aCallback)
  {
    auto transfer = std::make_unique<Transfer>();
    transfer->id = ++mLastId;
    transfer->request = std::move(aRequest);
    transfer->callback = std::move(aCallback);
    ConfigureHandle(*transfer);
    CURL* handle = transfer->handle;
    const RequestId id = transfer->id;
    mTransfers.emplace(id, std::move(transfer));
    curl_multi_add_handle(mMulti, handle);
    return id;
  }

  void Cancel(RequestId aId)
  {
    if (const auto it = mTransfers.find(aId); it != mTransfers.end()) {
      curl_multi_remove_handle(mMulti, it->second->handle);
      Recycle(it->second->handle);
      mTransfers.erase(it);
    }
  }

private:
  CURL* TakeHandle()
  {
    if (mIdleHandles.empty()) {
      return curl_easy_init();
    }
    CURL* handle = mIdleHandles.back();
    mIdleHandles.pop_back();
    return handle;
  }

  /** Keeps a handle for a later request, which saves most of the set-up. */
  void Recycle(CURL* aHandle)
  {
    if (mIdleHandles.size() >= kMaxIdleHandles) {
      curl_easy_cleanup(aHandle);
      return;
    }
    curl_easy_reset(aHandle);
    mIdleHandles.push_back(aHandle);
  }

  void ConfigureHandle(Transfer& aTransfer)
  {
    CURL* handle = TakeHandle();
    aTransfer.handle = handle;
    const HttpRequest& request = aTransfer.request;
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &aTransfer);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(
      handle, CURLOPT_TIMEOUT_MS, std::max<long>(request.timeout.count(), 1));
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &Impl::OnBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &aTransfer);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &Impl::OnHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &aTransfer);
    if (request.neverRepeat) {
      curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    }
    if (request.method == "HEAD") {
      curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    } else {
      curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }
    if (!request.body.empty() || request.method == "POST" ||
        request.method == "PUT") {
      curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
      curl_easy_setopt(handle,
                       CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request.body.size()));
    }
    AddHeaders(aTransfer);
  }

  static void AddHeaders(Transfer& aTransfer)
  {
    // Pistache closes the connection after each response without this header.
    aTransfer.headers = curl_slist_append(nullptr, "Connection: Keep-Alive");
    // An empty value keeps libcurl from sending "Expect: 100-continue".
    aTransfer.headers = curl_slist_append(aTransfer.headers, "Expect:");
    for (const auto& it : aTransfer.request.headers) {
      // libcurl sends a header without a value only if it is given as "name;".
      const std::string line =
        it.value.empty() ? it.name + ";" : it.name + ": " + it.value;
      aTransfer.headers = curl_slist_append(aTransfer.headers, line.c_str());
    }
    curl_easy_setopt(aTransfer.handle, CURLOPT_HTTPHEADER, aTransfer.headers);
  }

  /** Runs the callback of a completed transfer. */
  void Finish(CURL* aHandle, CURLcode aResult)
  {
    Transfer* transfer = nullptr;
    curl_easy_getinfo(aHandle, CURLINFO_PRIVATE, &transfer);
    long status = 0;
    long sentBytes = 0;
    curl_easy_getinfo(aHandle, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(aHandle, CURLINFO_REQUEST_SIZE, &sentBytes);
    curl_multi_remove_handle(mMulti, aHandle);

    const auto it = mTransfers.find(transfer->id);
    const std::unique_ptr<Transfer> owned = std::move(it->second);
    mTransfers.erase(it);
    Recycle(aHandle);
    owned->response.status = static_cast<int>(status);
    if (aResult == CURLE_OK) {
      owned->callback(std::move(owned->response), HttpReason{});
      return;
    }
    HttpReason reason;
    reason.Set(ErrorFor(aResult, sentBytes > 0),
               owned->request.method + " " + owned->request.url + ": " +
                 curl_easy_strerror(aResult));
    owned->callback(std::nullopt, reason);
  }

  void CompleteFinishedTransfers()
  {
    int messagesLeft = 0;
    while (CURLMsg* message = curl_multi_info_read(mMulti, &messagesLeft)) {
      if (message->msg == CURLMSG_DONE) {
        Finish(message->easy_handle, message->data.result);
      }
    }
  }

  /** Lets libcurl process the events of a socket or its timeouts. */
  void HandleSocketAction(curl_socket_t aSocket, int aFlags)
  {
    int runningTransfers = 0;
    curl_multi_socket_action(mMulti, aSocket, aFlags, &runningTransfers);
    CompleteFinishedTransfers();
  }

  static int OnSocket(CURL*,
                      curl_socket_t aSocket,
                      int aWhat,
                      void* aSelf,
                      void* aData)
  {
    auto* self = static_cast<Impl*>(aSelf);
    auto* socketEvent = static_cast<SocketEvent*>(aData);
    if (aWhat == CURL_POLL_REMOVE) {
      if (socketEvent) {
        event_free(socketEvent->handle);
        delete socketEvent;
        curl_multi_assign(self->mMulti, aSocket, nullptr);
      }
      return 0;
    }
    if (!socketEvent) {
      socketEvent = new SocketEvent;
      curl_multi_assign(self->mMulti, aSocket, socketEvent);
    } else {
      event_free(socketEvent->handle);
    }
    const int flags = EV_PERSIST | ((aWhat & CURL_POLL_IN) ? EV_READ : 0) |
                      ((aWhat & CURL_POLL_OUT) ? EV_WRITE : 0);
    socketEvent->handle = event_new(self->mLoop.Base(),
                                    aSocket,
                                    static_cast<short>(flags),
                                    &Impl::OnSocketReady,
                                    self);
    event_add(socketEvent->handle, nullptr);
    return 0;
  }

  static void OnSocketReady(evutil_socket_t aSocket, short aWhat, void* aSelf)
  {
    const int flags = ((aWhat & EV_READ) ? CURL_CSELECT_IN : 0) |
                      ((aWhat & EV_WRITE) ? CURL_CSELECT_OUT : 0);
    static_cast<Impl*>(aSelf)->HandleSocketAction(aSocket, flags);
  }

  static int OnTimerChange(CURLM*, long aTimeoutMs, void* aSelf)
  {
    auto* self = static_cast<Impl*>(aSelf);
    if (aTimeoutMs < 0) {
      event_del(self->mTimer);
      return 0;
    }
    const timeval delay{ aTimeoutMs / 1000, (aTimeoutMs % 1000) * 1000 };
    event_add(self->mTimer, &delay);
    return 0;
  }

  static void OnTimer(evutil_socket_t, short, void* aSelf)
  {
    static_cast<Impl*>(aSelf)->HandleSocketAction(CURL_SOCKET_TIMEOUT, 0);
  }

  static std::size_t OnBody(char* aData,
                            std::size_t aSize,
                            std::size_t aCount,
                            void* aTransfer)
  {
    auto* transfer = static_cast<Transfer*>(aTransfer);
    if (transfer->response.body.size() + aSize * aCount >
        kMaxResponseBodyBytes) {
      return 0;
    }
    transfer->response.body.append(aData, aSize * aCount);
    return aSize * aCount;
  }

  static std::size_t OnHeader(char* aData,
                              std::size_t aSize,
                              std::size_t aCount,
                              void* aTransfer)
  {
    auto* transfer = static_cast<Transfer*>(aTransfer);
    const std::string line(aData, aSize * aCount);
    if (const auto colon = line.find(':'); colon != std::string::npos) {
      const auto first = line.find_first_not_of(" \t", colon + 1);
      const auto last = line.find_last_not_of(" \t\r\n");
      std::string value;
      if (first != std::string::npos && last != std::string::npos &&
          last >= first) {
        value = line.substr(first, last - first + 1);
      }
      transfer->response.headers.push_back(
        { LowerCase(line.substr(0, colon)), value });
    }
    return aSize * aCount;
  }

  EventLoop& mLoop;
  CURLM* mMulti = nullptr;
  event* mTimer = nullptr;
  RequestId mLastId = 0;
  std::vector<CURL*> mIdleHandles;
  std::unordered_map<RequestId, std::unique_ptr<Transfer>> mTransfers;
};

HttpClient::HttpClient(EventLoop& aLoop, long aMaxConnections)
  : mImpl(std::make_unique<Impl>(aLoop, aMaxConnections))
{
}

HttpClient::~HttpClient() = default;

HttpClient::RequestId
HttpClient::Send(HttpRequest aRequest, Callback aCallback)
{
  return mImpl->Send(std::move(aRequest), std::move(aCallback));
}

void
HttpClient::Cancel(RequestId aRequest)
{
  mImpl->Cancel(aRequest);
}

} // namespace knapweedpaddle::runtime
