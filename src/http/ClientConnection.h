#pragma once

#include "knapweedpaddle/http/Client.h"
#include "knapweedpaddle/http/MessageParser.h"
#include "knapweedpaddle/runtime/EventLoop.h"

#include <netinet/in.h>

struct bufferevent;

namespace knapweedpaddle::http {

/** One connection to a server. Thread safety: the loop's thread only. */
class ClientConnection
{
public:
  struct Handler
  {
    /** The exchange at hand ended; the connection may be idle or over. */
    std::function<void(std::optional<Response>, const ClientReason&)> onAnswer;
    /** The connection is over while idle. */
    std::function<void()> onIdleEnd;
  };

  ClientConnection(runtime::EventLoop& aLoop,
                   const ClientOptions& aOptions,
                   Handler aHandler);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /** Connects; false when not even the attempt could be made. */
  bool Connect(const sockaddr_in& aAddress);

  /** Sends a request, once connected. @pre no exchange is at hand. */
  void Send(const Request& aRequest);

  /** Calls no handler any more. */
  void Abandon();

  bool IsReusable() const { return mReusable; }
  Timestamp IdleSince() const { return mIdleSince; }

private:
  friend struct ClientConnectionCallbacks;

  void OnConnected();
  void OnReadable();
  void OnEnded(bool aInOrder);
  void OnMessage();
  void Fail(ClientError aError, const std::string& aWhy);
  void NoteKeepAlive(const Response& aResponse);
  bool IsForeign(const Response& aResponse) const;

  runtime::EventLoop& mLoop;
  const ClientOptions& mOptions;
  Handler mHandler;
  bufferevent* mBuffer = nullptr;
  MessageParser mParser;
  std::string mPending; ///< serialized, until the connection stands
  std::string mExpectedId;
  runtime::EventLoop::TimerId mTimer = 0;
  Timestamp mIdleSince;
  bool mConnected = false;
  bool mBusy = false;
  bool mReusable = true;
  bool mToHead = false;
  bool mEchoedForeign = false; ///< an answer to another request was dropped
};

} // namespace knapweedpaddle::http
