#pragma once

#include "knapweedpaddle/http/Client.h"
#include "knapweedpaddle/http/MessageParser.h"
#include "knapweedpaddle/runtime/EventLoop.h"

#include <netinet/in.h>

struct bufferevent;

namespace knapweedpaddle::http {

/**
 * A connection to a server that carries one exchange (a request and its
 * response) at a time. Thread safety: the loop's thread only.
 */
class ClientConnection
{
public:
  struct Handler
  {
    /** Called when an exchange has ended, with its response or its failure. */
    std::function<void(std::optional<Response>, const ClientReason&)>
      onResponse;
    /** Called for each part of a response, with its bytes. May call Abort(). */
    std::function<void(std::size_t)> onReceived;
    /** Called when the connection closes between two exchanges. */
    std::function<void()> onIdleClosed;
  };

  ClientConnection(runtime::EventLoop& aLoop,
                   const ClientOptions& aOptions,
                   Handler aHandler);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /** Starts to connect. @return false if the attempt could not be started. */
  bool Connect(const sockaddr_in& aAddress);

  /** Sends a request as soon as the connection is established. @pre no
   * exchange is in progress. */
  void Send(const Request& aRequest);

  /** Ends the exchange in progress as failed; onResponse is called. */
  void Abort(const std::string& aReason);

  /** Stops all input and output; no handler is called after this. */
  void Detach();

  bool IsReusable() const { return mReusable; }
  /** Returns the bytes received in the last exchange. */
  std::size_t ExchangeBytes() const { return mExchangeBytes; }
  Timestamp IdleSince() const { return mIdleSince; }

private:
  friend struct ClientConnectionCallbacks;

  void OnConnected();
  void WriteUnsent();
  void OnReadable();
  void OnDisconnected(bool aCleanEnd);
  void OnResponse();
  void Fail(ClientError aError, const std::string& aMessage);
  void StartIdleTimer(const Response& aResponse);
  /** Returns true for the final response to the request of the exchange,
   * whichever way its end was found. */
  bool EndsExchange(const Response& aResponse) const;
  bool AnswersOtherRequest(const Response& aResponse) const;
  Attribution AttributionOf(const Response& aResponse) const;
  /** Ends the exchange with a response. */
  void Deliver(Response aResponse);

  runtime::EventLoop& mLoop;
  const ClientOptions& mOptions;
  Handler mHandler;
  bufferevent* mBuffer = nullptr;
  MessageParser mParser;
  std::string mUnsentHead; ///< of a request that is sent once connected
  SharedBytes mUnsentBody;
  std::string mCorrelationId;
  runtime::EventLoop::TimerId mTimer = 0;
  Timestamp mIdleSince;
  bool mConnected = false;
  bool mAwaitingResponse = false;
  bool mReusable = true;
  bool mHeadRequest = false;
  bool mDroppedOtherResponse = false; ///< another request's response came
  std::size_t mExchanges = 0;         ///< requests sent so far
  std::size_t mExchangeBytes = 0;     ///< bytes received since Send()
  std::size_t mSkippedResponses = 0;  ///< interim and others' since Send()
};

} // namespace knapweedpaddle::http
