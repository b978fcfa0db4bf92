#pragma once

#include "knapweedpaddle/common/Reason.h"
#include "knapweedpaddle/common/SharedBytes.h"
#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace knapweedpaddle::nodes {

/** Why a request to a peer got no response. */
enum class LinkError
{
  /** The peer never got the whole request, so it did not process it. */
  kNotSent,
  /** The peer reported that it did not process the request. */
  kRefused,
  /** No response arrived in time; the peer may have processed the request. */
  kTimeout,
  /** The connection stopped answering pings; the peer may have processed the
   * request. */
  kUnresponsive,
  /** The connection failed; the peer may have processed the request. */
  kBroken,
  /** The response body exceeds kMaxLinkBodyBytes. */
  kTooLarge,
};

using LinkReason = Reason<LinkError>;

/** Header field of a request or response over a link. */
struct LinkHeader
{
  std::string name; ///< in lower case
  std::string value;
};

/** Returns the value of the first header with the given name, or "". */
std::string
HeaderValue(const std::vector<LinkHeader>& aHeaders, const std::string& aName);

/** Request to a peer; a link is an HTTP/2 connection between two nodes. */
struct LinkRequest
{
  std::string path;
  std::vector<LinkHeader> headers;
  SharedBytes body;
  Milliseconds timeout{ 1000 };
  /** Keeps waiting for the response until the timeout even if the connection
   * stops answering pings, because the request must not be sent again. */
  bool waitUntilTimeout = false;
  /** Set for a received request: when its headers began to arrive. */
  Timestamp begunAt{};
  /** Set for a received request: how much longer than others it was on its way
   * to this process. */
  Milliseconds delay{ 0 };
};

/** Response of a peer to a LinkRequest. */
struct LinkResponse
{
  int status = 0;
  std::vector<LinkHeader> headers;
  SharedBytes body;
};

/** Maximum size of a request or response body. */
inline constexpr std::size_t kMaxLinkBodyBytes = 64UL * 1024 * 1024;

/** Size up to which a request's body is sent without waiting until the server
 * accepts it. */
inline constexpr std::uint32_t kFreeBodyBytes = 4 * 1024;

} // namespace knapweedpaddle::nodes
