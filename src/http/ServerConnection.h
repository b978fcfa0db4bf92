#pragma once

#include "knapweedpaddle/http/MessageParser.h"
#include "knapweedpaddle/http/Server.h"
#include "knapweedpaddle/runtime/EventLoop.h"

struct bufferevent;

namespace knapweedpaddle::http {

/** What all connections of a server share. */
struct ServerContext
{
  runtime::EventLoop& loop;
  Server::Handler handler;
  ServerLimits limits;
  bool draining = false;
  std::size_t inFlight = 0;
};

/**
 * One client's connection: reads a request, waits for its answer, goes on with
 * the next. Thread safety: the loop's thread only.
 */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  using Ended = std::function<void(ServerConnection*)>;

  ServerConnection(ServerContext& aContext, bufferevent* aBuffer, Ended aEnded);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  void Start();

  /** Sends the answer of the exchange at hand. */
  void Answer(const Response& aResponse);

private:
  class PendingExchange;
  friend struct ServerConnectionCallbacks;

  ParseLimits Limits() const;
  void OnReadable();
  void OnInputEnded();
  void OnFlushed();
  void Parse();
  void Dispatch();
  void RefuseMalformed();
  void RestartTimer(Milliseconds aDelay);
  void OnTimer();
  void CloseGracefully();
  void End();

  ServerContext& mContext;
  bufferevent* mBuffer;
  Ended mEnded;
  MessageParser mParser;
  std::shared_ptr<PendingExchange> mExchange;
  runtime::EventLoop::TimerId mTimer = 0;
  bool mKeepAlive = true;
  bool mToHead = false;
  bool mContinueSent = false;
  bool mLingering = false; ///< answered; reads only until the client closes
  bool mOver = false;
};

} // namespace knapweedpaddle::http
