#pragma once

#include "knapweedpaddle/common/HeldBytes.h"
#include "knapweedpaddle/nodes/Link.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

struct bufferevent;
struct nghttp2_session;

namespace knapweedpaddle::runtime {
class EventLoop;
}

namespace knapweedpaddle::nodes {

/**
 * One HTTP/2 connection between two nodes: nghttp2 framing over a libevent
 * socket. LinkServer and LinkClient process the messages received.
 *
 * Thread safety: event loop thread only.
 */
class LinkSession
{
public:
  enum class Role
  {
    kServer,
    kClient,
  };

  /** State of one HTTP/2 stream: the message received so far and the body to
   * send. */
  struct Stream
  {
    std::string path;
    int status = 0;
    std::vector<LinkHeader> headers;
    std::string body;
    HeldBytesShare held; ///< of the body
    SharedBytes outgoingBody;
    std::size_t outgoingBodySent = 0;
    /** The peer waits for the outgoing body; a large one is held until then. */
    bool outgoingBodyAccepted = true;
    /** The end of the outgoing message was passed to the socket's buffer. */
    bool outgoingEnded = false;
    Timestamp begunAt{}; ///< when the headers began to arrive
    /** When the peer submitted the request, on its own clock; 0 if unknown. */
    Microseconds sentAt{ 0 };
    bool complete = false; ///< the whole message was received
    bool tooLarge = false; ///< reset as the body exceeds kMaxLinkBodyBytes
  };

  /** Callbacks of a session; onConnected, onPong, onGoAway and onHeaders are
   * optional. */
  struct Handler
  {
    /** The headers of a message were received, and its body follows. The body
     * of a request does not arrive before AcceptBody() if it is larger than
     * kFreeBodyBytes. */
    std::function<void(std::int32_t aStream)> onHeaders;
    /** A whole message was received. */
    std::function<void(std::int32_t aStream)> onMessage;
    /** A stream was closed, with an HTTP/2 error code. */
    std::function<void(std::int32_t aStream, std::uint32_t aErrorCode)>
      onStreamClosed;
    /** The connection ended; no other callback follows. */
    std::function<void(const std::string& aWhy)> onClosed;
    std::function<void()> onConnected;
    std::function<void()> onPong;
    std::function<void()> onGoAway;
  };

  /** Takes ownership of aBuffer and its socket. */
  LinkSession(Role aRole, bufferevent* aBuffer, Handler aHandler);
  ~LinkSession();
  LinkSession(const LinkSession&) = delete;
  LinkSession& operator=(const LinkSession&) = delete;

  /** Opens a stream on a client session.
   *
   * @return the stream's id, or -1 if no more streams can be opened.
   */
  std::int32_t SubmitRequest(const LinkRequest& aRequest);

  /** Sends the response on a stream of a server session. */
  void SubmitResponse(std::int32_t aStream, const LinkResponse& aResponse);

  /** Lets the peer send the whole body of a request. */
  void AcceptBody(std::int32_t aStream);

  void ResetStream(std::int32_t aStream, std::uint32_t aErrorCode);
  void SendPing();
  void SendGoAway();
  Stream* FindStream(std::int32_t aStream);

  /** Returns true if the peer may get the whole message sent on a stream. It
   * can't if this returns false and the stream or the session is ended now. */
  bool MaySendWhole(std::int32_t aStream) const;

  /** Returns true while bytes wait to be sent. */
  bool HasUnsentBytes() const;

private:
  friend struct LinkSessionCallbacks;

  /** Sends frames until the socket's buffer is full enough. */
  void Flush();
  std::size_t BufferedBytes() const;
  /** Handles a wider window of a stream: the peer accepts the stream's body. */
  void OnBodyAccepted(std::int32_t aStream);
  void Fail(const std::string& aWhy);

  Role mRole;
  bufferevent* mBuffer;
  nghttp2_session* mSession = nullptr;
  Handler mHandler;
  std::unordered_map<std::int32_t, Stream> mStreams;
  bool mConnected;
  bool mFailed = false;
  bool mInsideNghttp2 = false;
};

} // namespace knapweedpaddle::nodes
