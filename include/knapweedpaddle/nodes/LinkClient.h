#pragma once

#include "knapweedpaddle/nodes/Link.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace knapweedpaddle::runtime {
class EventLoop;
}

namespace knapweedpaddle::nodes {

/** Timing of the connections of a LinkClient. */
struct LinkClientOptions
{
  Milliseconds connectTimeout{ 500 };
  Milliseconds pingInterval{ 1000 };
  /** Time without an answer to a ping after which a connection is replaced. */
  Milliseconds pingTimeout{ 1000 };
  /** Time without a request after which a connection is closed. */
  Milliseconds idleTimeout{ 30'000 };
};

/**
 * Sends requests to peers over one HTTP/2 connection (link) for each. A
 * connection is opened at the first request and replaced when it fails or
 * stops answering pings. Requests are never sent again automatically.
 *
 * Thread safety: event loop thread only.
 */
class LinkClient
{
public:
  using RequestId = std::uint64_t;
  using Callback =
    std::function<void(std::optional<LinkResponse>, const LinkReason&)>;

  LinkClient(runtime::EventLoop& aLoop, LinkClientOptions aOptions);
  ~LinkClient();
  LinkClient(const LinkClient&) = delete;
  LinkClient& operator=(const LinkClient&) = delete;

  /**
   * Sends a request to "IP:port". The callback runs once, never before Send()
   * has returned, and at the latest after the request's timeout.
   */
  RequestId Send(const std::string& aAddress,
                 const LinkRequest& aRequest,
                 Callback aCallback);

  /** Cancels a request and resets its stream; its callback never runs. */
  void Cancel(RequestId aRequest);

  /** Number of connections replaced because they stopped answering pings. */
  std::uint64_t UnresponsiveLinks() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::nodes
