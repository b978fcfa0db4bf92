#pragma once

#include "knapweedpaddle/nodes/Link.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace knapweedpaddle::runtime {
class EventLoop;
}

namespace knapweedpaddle::nodes {

/**
 * Sends the response to one request of a peer. A responder may outlive the
 * connection; a response after its end is dropped.
 *
 * Thread safety: event loop thread only.
 */
class LinkResponder
{
public:
  virtual ~LinkResponder() = default;

  /** Sends the response; only the first call has an effect. */
  virtual void Respond(const LinkResponse& aResponse) = 0;

  /** Lets the peer send the whole body of its request. */
  virtual void AcceptBody() = 0;

  /** Sets a task to run if the peer cancels the request or the connection ends
   * before the response. */
  virtual void OnCancel(std::function<void()> aTask) = 0;
};

using LinkResponderPtr = std::shared_ptr<LinkResponder>;

/**
 * Accepts HTTP/2 connections of peers and passes their requests to a handler.
 *
 * Thread safety: event loop thread only.
 */
class LinkServer
{
public:
  using Handler = std::function<void(LinkRequest, LinkResponderPtr)>;

  /**
   * @param aOnRequest  called with each whole request that has no response yet.
   * @param aOnHeaders  called with the headers of a request before its body. It
   * must accept the body or respond at some time, and the same responder is
   * passed to aOnRequest. If empty, every body is accepted.
   */
  LinkServer(runtime::EventLoop& aLoop,
             Handler aOnRequest,
             Handler aOnHeaders = {});
  ~LinkServer();
  LinkServer(const LinkServer&) = delete;
  LinkServer& operator=(const LinkServer&) = delete;

  /**
   * Listens on an IPv4 address. Call before the event loop runs.
   *
   * @param aPort  TCP port, or 0 for any free port.
   * @return the port, or nothing if the address can't be bound.
   */
  std::optional<std::uint16_t> Listen(const std::string& aAddress,
                                      std::uint16_t aPort);

  /** Sends GOAWAY to every peer, so that it opens no more streams; open streams
   * continue. */
  void GoAway();

  /** Returns true while responses wait to be sent. */
  bool HasUnsentBytes() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::nodes
