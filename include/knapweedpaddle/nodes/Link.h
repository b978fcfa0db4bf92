#pragma once

#include "knapweedpaddle/common/Reason.h"
#include "knapweedpaddle/common/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace knapweedpaddle::nodes {

enum class LinkError
{
  kNotSent,      ///< no connection was made, so the peer never saw the request
  kRefused,      ///< the peer said that it did not process the request
  kTimeout,      ///< no answer in time; the peer may have processed it
  kUnresponsive, ///< the connection stopped answering probes; may have
                 ///< processed it
  kBroken,       ///< the connection failed; may have processed it
  kTooLarge,     ///< the answer exceeded the limit
};

using LinkReason = Reason<LinkError>;

struct LinkHeader
{
  std::string name; ///< lower case
  std::string value;
};

/** Returns the value of the first header with this name, or "". */
std::string
HeaderValue(const std::vector<LinkHeader>& aHeaders, const std::string& aName);

struct LinkRequest
{
  std::string path;
  std::vector<LinkHeader> headers;
  std::string body;
  Milliseconds timeout{ 1000 };
  /** Waits for its answer also on a link that went silent, as it can't be sent
   * again. */
  bool waitUntilTimeout = false;
};

struct LinkResponse
{
  int status = 0;
  std::vector<LinkHeader> headers;
  std::string body;
};

/** Largest body on a link, in bytes. */
inline constexpr std::size_t kMaxLinkBodyBytes = 16UL * 1024 * 1024;

} // namespace knapweedpaddle::nodes
