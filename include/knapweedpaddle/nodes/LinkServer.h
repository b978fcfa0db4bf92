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
 * Answers one request of a peer. May outlive the connection; answers after its
 * end are dropped.
 *
 * Thread safety: the loop's thread only.
 */
class LinkResponder
{
public:
  virtual ~LinkResponder() = default;

  /** Sends the answer; only the first call has an effect. */
  virtual void Respond(const LinkResponse& aResponse) = 0;

  /** Sets what runs when the peer gives up before the answer. */
  virtual void OnCancel(std::function<void()> aTask) = 0;
};

using LinkResponderPtr = std::shared_ptr<LinkResponder>;

/** Accepts links of peers and hands their requests to a handler. */
class LinkServer
{
public:
  using Handler = std::function<void(LinkRequest, LinkResponderPtr)>;

  LinkServer(runtime::EventLoop& aLoop, Handler aHandler);
  ~LinkServer();
  LinkServer(const LinkServer&) = delete;
  LinkServer& operator=(const LinkServer&) = delete;

  /**
   * Listens on an IPv4 address. Call before the loop runs.
   *
   * @param aPort  TCP port, 0 for any free one.
   * @return the port, or nothing when the address can't be bound.
   */
  std::optional<std::uint16_t> Listen(const std::string& aAddress,
                                      std::uint16_t aPort);

  /** Tells every peer to open no more streams; streams in flight go on. */
  void GoAway();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::nodes
