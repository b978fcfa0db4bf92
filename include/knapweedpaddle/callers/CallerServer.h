#pragma once

#include "knapweedpaddle/callers/Call.h"
#include "knapweedpaddle/callers/CallerDialect.h"
#include "knapweedpaddle/http/Server.h"

#include <functional>
#include <string>

namespace knapweedpaddle::callers {

/** Paths under this prefix are the node's own; all others are calls. */
inline constexpr const char* kNodePathPrefix = "/-/";

/** An answer to an HTTP request. */
struct NodeResponse
{
  int status = 200;
  std::string body;
  std::string contentType = "application/json";
  std::vector<HttpHeader> headers;
};

/**
 * The node's HTTP server: callers' requests, the operators' API and metrics.
 *
 * Thread safety: the loop's thread only; the answer callback of a node request
 * may be called from any thread.
 */
class CallerServer
{
public:
  using Respond = std::function<void(NodeResponse)>;

  struct Handlers
  {
    /** Returns what gives the call up. */
    std::function<std::function<void()>(CallRequest, CallResultCallback)>
      onCall;
    /** Empty where no path is the node's own. */
    std::function<void(CallRequest, Respond)> onNodeRequest;
  };

  CallerServer(runtime::EventLoop& aLoop,
               CallerDialect aDialect,
               Handlers aHandlers);

  /** Listens on "IP:port"; false, with the reason in aReason, if it can't. */
  bool Listen(const std::string& aAddress, std::string& aReason);

  void SetLimits(const http::ServerLimits& aLimits);

  /** Sets the service whose calls come in here. */
  void SetCallerService(std::string aService);

  /** Announces the end of each connection with its next answer. */
  void Drain();

  std::size_t InFlight() const { return mServer.InFlight(); }

private:
  void OnExchange(const http::ExchangePtr& aExchange);
  bool Convert(http::Request& aMessage,
               CallRequest& aRequest,
               std::string& aReason) const;
  void ServeNodeRequest(const http::ExchangePtr& aExchange,
                        CallRequest aRequest);
  http::Response ResponseFor(const CallResult& aResult,
                             const std::string& aCallerId) const;

  runtime::EventLoop& mLoop;
  CallerDialect mDialect;
  Handlers mHandlers;
  std::string mCallerService;
  http::Server mServer;
};

} // namespace knapweedpaddle::callers
