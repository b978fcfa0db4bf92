#pragma once

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
 * socket. LinkServer and LinkClient say what a finished stream means.
 *
 * Thread safety: the loop's thread only.
 */
class LinkSession
{
public:
  enum class Role
  {
    kServer,
    kClient,
  };

  /** A message received, or what ended its stream. */
  struct Stream
  {
    std::string path;
    int status = 0;
    std::vector<LinkHeader> headers;
    std::string body;
    std::string outgoingBody;
    std::size_t outgoingBodySent = 0;
    bool complete = false; ///< the whole message arrived
    bool tooLarge = false;
  };

  struct Handler
  {
    /** A whole message arrived. */
    std::function<void(std::int32_t aStream)> onMessage;
    /** A stream ended; the HTTP/2 error code says how. */
    std::function<void(std::int32_t aStream, std::uint32_t aErrorCode)>
      onStreamClosed;
    /** The connection is gone; no other callback follows. */
    std::function<void(const std::string& aWhy)> onClosed;
    std::function<void()> onConnected;
    std::function<void()> onPong;
    std::function<void()> onGoAway;
  };

  /** Takes over the socket behind aBuffer. */
  LinkSession(Role aRole, bufferevent* aBuffer, Handler aHandler);
  ~LinkSession();
  LinkSession(const LinkSession&) = delete;
  LinkSession& operator=(const LinkSession&) = delete;

  /** Client: opens a stream; returns its id, or -1 when the session takes no
   * more. */
  std::int32_t SubmitRequest(const LinkRequest& aRequest);

  /** Server: answers a stream. */
  void SubmitResponse(std::int32_t aStream, const LinkResponse& aResponse);

  void ResetStream(std::int32_t aStream, std::uint32_t aErrorCode);
  void SendPing();
  void SendGoAway();
  Stream* FindStream(std::int32_t aStream);

private:
  friend struct LinkSessionCallbacks;

  void Flush();
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
