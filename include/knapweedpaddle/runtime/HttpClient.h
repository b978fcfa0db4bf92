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
  kNotSent,   ///< no byte of the request was sent, for example: can't connect
  kTimeout,   ///< the request timed out; the server may have received it
  kBroken,    ///< the connection failed; the server may have got the request
  kTruncated, ///< the response body is shorter than its Content-Length
  kTooLarge,  ///< the response body exceeds the client's limit
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
   * Opens a new connection for this request: libcurl silently repeats a request
   * when a reused connection closes without a response, so a request that must
   * not be repeated can't use one.
   */
  bool neverRepeat = false;
};

struct HttpResponse
{
  int status = 0;
  std::vector<HttpHeader> headers; ///< header names are in lower case
  std::string body;

  /** Returns the value of a header, or "". @param aName  in lower case. */
  std::string Header(const std::string& aName) const;
};

/**
 * An HTTP/1.1 client with persistent connections, on libcurl and one event
 * loop.
 *
 * Thread safety: the loop's thread only.
 */
class HttpClient
{
public:
  using RequestId = std::uint64_t;
  using Callback =
    std::function<void(std::optional<HttpResponse>, const HttpReason&)>;

  /** @param aMaxConnections  maximum per host; further requests wait. */
  HttpClient(EventLoop& aLoop, long aMaxConnections);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Sends a request. The callback runs once, after Send() has returned. */
  RequestId Send(HttpRequest aRequest, Callback aCallback);

  /** Cancels a request and closes its connection; its callback never runs. */
  void Cancel(RequestId aRequest);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::runtime
