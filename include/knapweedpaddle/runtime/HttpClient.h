#pragma once

#include "knapweedpaddle/common/Reason.h"
#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace knapweedpaddle::runtime {

class EventLoop;

enum class HttpError
{
  kNotSent,   ///< no connection was made, so no byte of the request left
  kTimeout,   ///< the request may have been received
  kBroken,    ///< the connection failed after bytes may have left
  kTruncated, ///< the answer ended before its stated length
  kTooLarge,
};

using HttpReason = Reason<HttpError>;

struct HttpHeader
{
  std::string name;
  std::string value;
};

struct HttpRequest
{
  std::string method = "GET";
  std::string url;
  std::vector<HttpHeader> headers;
  std::string body;
  Milliseconds timeout{ 1000 };
  /**
   * Sends on a connection of its own. libcurl silently repeats a request when
   * a reused connection closes without an answer, so a request that must not
   * repeat may never use one.
   */
  bool neverRepeat = false;
};

struct HttpResponse
{
  int status = 0;
  std::vector<HttpHeader> headers; ///< names in lower case
  std::string body;

  /** Returns the value of the first header with this lower case name, or "". */
  std::string Header(const std::string& aName) const;
};

/**
 * An HTTP/1.1 client with persistent connections, run by one event loop.
 *
 * Thread safety: only on the loop's thread.
 */
class HttpClient
{
public:
  using RequestId = std::uint64_t;
  using Callback =
    std::function<void(std::optional<HttpResponse>, const HttpReason&)>;

  /** @param aMaxConnections  per host; requests beyond it wait. */
  HttpClient(EventLoop& aLoop, long aMaxConnections);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Sends a request. The callback runs once, never from inside Send(). */
  RequestId Send(HttpRequest aRequest, Callback aCallback);

  /** Abandons a request: closes its connection; its callback never runs. */
  void Cancel(RequestId aRequest);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::runtime
