#pragma once

#include "knapweedpaddle/common/HeldBytes.h"
#include "knapweedpaddle/http/LoadShedding.h"
#include "knapweedpaddle/http/MessageParser.h"
#include "knapweedpaddle/http/Server.h"
#include "knapweedpaddle/runtime/EventLoop.h"

struct bufferevent;

namespace knapweedpaddle::http {

/** State shared by all connections of a server. */
struct ServerContext
{
  runtime::EventLoop& loop;
  Server::Handler handler;
  ServerLimits limits;
  /** Ends other connections while this process holds too many bytes. */
  std::function<void()> relieveMemory;
  bool draining = false;
  std::size_t inFlight = 0; ///< requests that have no response yet
};

/**
 * A connection from a client. It reads a request, waits for the response, sends
 * it and continues with the next request.
 *
 * Thread safety: the loop's thread only.
 */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  using ClosedCallback = std::function<void(ServerConnection*)>;

  ServerConnection(ServerContext& aContext,
                   bufferevent* aBuffer,
                   ClosedCallback aOnClosed);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  /** Starts to read requests. */
  void Start();

  /** Sends the response of the current exchange. */
  void SendResponse(const Response& aResponse);

  /** Returns true while a response waits to be sent. */
  bool HasUnsentBytes() const;

  /** Returns whether the connection may be ended to keep within limits, and
   * what it holds; nothing while the handler has a request. */
  std::optional<SheddingCandidate> Candidate() const;

  /** Ends the connection to keep within limits. A request that has not arrived
   * whole is refused, unless the connection is closed at once. */
  void Shed(bool aCloseAtOnce);

private:
  class PendingExchange;
  friend struct ServerConnectionCallbacks;

  ParseLimits Limits() const;
  /** Writes a response without a request to the handler, and closes. */
  void WriteFinal(const Response& aResponse);
  /** Returns true while the client does not read the responses so far. */
  bool IsOutputBlocked() const;
  /** Records the bytes held, and that some have moved. */
  void NoteProgress();
  void OnReadable();
  void OnDisconnected();
  void OnFlushed();
  void Parse();
  void Dispatch();
  void RejectRequest();
  void RestartTimer(Milliseconds aDelay);
  void OnTimer();
  void StartLingeringClose();
  void Close();

  ServerContext& mContext;
  bufferevent* mBuffer;
  ClosedCallback mOnClosed;
  MessageParser mParser;
  std::shared_ptr<PendingExchange> mExchange;
  runtime::EventLoop::TimerId mTimer = 0;
  bool mKeepAlive = true;
  bool mHeadRequest = false;
  bool mContinueSent = false;
  /** Too much input was pipelined; it is discarded, and the connection is
   * closed after the current response. */
  bool mDiscardsInput = false;
  HeldBytesShare mHeld;
  Timestamp mRequestBegan{};
  Timestamp mProgressAt{};
  bool mLingering = false; ///< discards all input until the client closes
  bool mClosed = false;
};

} // namespace knapweedpaddle::http
