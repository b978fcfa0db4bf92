#pragma once

#include "knapweedpaddle/nodes/Link.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace knapweedpaddle::runtime {
class EventLoop;
}

namespace knapweedpaddle::nodes {

struct LinkClientOptions
{
  Milliseconds connectTimeout{ 500 };
  Milliseconds pingInterval{ 1000 };
  Milliseconds pingTimeout{ 1000 }; ///< without an answer the link is replaced
  Milliseconds idleTimeout{ 30'000 }; ///< without a request the link is closed
};

/**
 * Links to peers: one HTTP/2 connection for each, opened at the first request
 * and replaced when it fails or goes silent. It never repeats a request.
 *
 * Thread safety: the loop's thread only.
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
   * Sends a request to "IP:port". The callback runs once, never from inside
   * Send(), and at the latest after the request's timeout.
   */
  RequestId Send(const std::string& aAddress,
                 const LinkRequest& aRequest,
                 Callback aCallback);

  /** Gives up a request and tells the peer; its callback never runs. */
  void Cancel(RequestId aRequest);

  /** Number of links that were replaced because they went silent. */
  std::uint64_t UnresponsiveLinks() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::nodes
