#pragma once

#include <cstdint>

namespace knapweedpaddle::backends {

/** How busy a backend server is, as its owner tells with each answer. */
struct ServerLoad
{
  std::uint32_t busy = 0;      ///< calls that hold a slot
  std::uint32_t queued = 0;    ///< calls that wait at the owner
  std::uint32_t slots = 0;     ///< 0 while the server takes no calls
  std::uint32_t serviceMs = 0; ///< moving average of a call's time, 0: unknown
  std::uint32_t routeMs = 0;   ///< the same for the route of the call answered
  std::uint32_t failedPercent = 0; ///< moving average over the latest calls

  bool operator==(const ServerLoad&) const = default;
};

} // namespace knapweedpaddle::backends
