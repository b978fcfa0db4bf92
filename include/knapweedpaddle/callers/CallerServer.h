#pragma once

#include "knapweedpaddle/callers/Call.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace knapweedpaddle::callers {

/** Paths under this prefix are the node's own; all others are calls. */
inline constexpr const char* kNodePathPrefix = "/-/";

/** An answer to an HTTP request. */
struct HttpAnswer
{
  int status = 200;
  std::string body;
  std::string contentType = "application/json";
  std::vector<HttpHeader> headers;
};

/**
 * The node's HTTP server: callers' requests, the operators' API and metrics.
 *
 * Thread safety: the handlers run on the server's threads; the answer
 * callbacks may be called from any thread.
 */
class CallerServer
{
public:
  using Respond = std::function<void(HttpAnswer)>;

  struct Handlers
  {
    std::function<void(CallRequest, CallCallback)> onCall;
    std::function<void(CallRequest, Respond)> onNodeRequest;
  };

  CallerServer(Handlers aHandlers, std::uint32_t aThreads);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /** Listens and serves; false, with the reason in aReason, when it can't. */
  bool Start(const std::string& aAddress,
             std::uint16_t aPort,
             std::string& aReason);

  /** Stops serving; open connections are closed. */
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::callers
