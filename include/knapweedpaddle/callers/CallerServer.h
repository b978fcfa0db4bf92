#pragma once

#include "knapweedpaddle/callers/Call.h"
#include "knapweedpaddle/callers/CallerDialect.h"
#include "knapweedpaddle/http/Server.h"

#include <functional>
#include <string>

namespace knapweedpaddle::callers {

/** Requests with this path prefix are for the node itself, others are calls. */
inline constexpr const char* kNodePathPrefix = "/-/";

/** Response to a request for the node itself. */
struct NodeResponse
{
  int status = 200;
  std::string body;
  std::string contentType = "application/json";
  std::vector<HttpHeader> headers;
};

/**
 * The node's HTTP server for the calls of callers, the operators' API and
 * metrics.
 *
 * Thread safety: the loop's thread only; the Respond callback of a node request
 * may be called from any thread.
 */
class CallerServer
{
public:
  using Respond = std::function<void(NodeResponse)>;

  struct Handlers
  {
    /** Handles a call; returns the task that cancels it, or an empty one. */
    std::function<std::function<void()>(CallRequest, CallResultCallback)>
      onCall;
    /** Handles requests with the prefix kNodePathPrefix; if empty, they are
     * calls too. */
    std::function<void(CallRequest, Respond)> onNodeRequest;
  };

  CallerServer(runtime::EventLoop& aLoop,
               CallerDialect aDialect,
               Handlers aHandlers);

  /**
   * Listens on "IP:port".
   *
   * @return false on failure, with the reason in aReason.
   */
  bool Listen(const std::string& aAddress, std::string& aReason);

  void SetLimits(const http::ServerLimits& aLimits);

  /** Sets the most connections of callers that are open at a time; 0: no limit.
   */
  void SetMaxConnections(std::size_t aCount)
  {
    mServer.SetMaxConnections(aCount);
  }

  /** Returns how many connections were ended to keep within limits. */
  std::uint64_t ConnectionsShed() const { return mServer.ConnectionsShed(); }

  /** Sets the name of the service that sends its calls to this node. */
  void SetCallerService(std::string aService);

  /** Closes each connection after its next response, which announces that. */
  void Drain();

  std::size_t InFlight() const { return mServer.InFlight(); }

  /** Returns true while answers wait to be sent. */
  bool HasUnsentBytes() const { return mServer.HasUnsentBytes(); }

private:
  void OnExchange(const http::ExchangePtr& aExchange);
  /** Builds a call request from an HTTP request; false if a header is invalid,
   * with the reason in aReason. */
  bool BuildCallRequest(http::Request& aMessage,
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
