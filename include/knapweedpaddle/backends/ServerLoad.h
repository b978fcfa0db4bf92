#pragma once

#include <cstdint>

namespace knapweedpaddle::backends {

/** Load of a backend server, which its owner node reports with each answer. */
struct ServerLoad
{
  /** Number of calls that hold a slot. */
  std::uint32_t busy = 0;
  /** Number of calls queued at the owner node. */
  std::uint32_t queued = 0;
  /** Number of slots; 0 while the server accepts no calls. */
  std::uint32_t slots = 0;
  /** Moving average of the service time of all calls; 0: unknown. */
  std::uint32_t serviceMs = 0;
  /** Moving average of the service time of the answered call's route. */
  std::uint32_t routeMs = 0;
  /** Moving average of the share of failed calls. */
  std::uint32_t failedPercent = 0;
  /** Time between two calls at the rate that the server names, in microseconds;
   * 0 without a rate limit. */
  std::uint32_t rateIntervalUs = 0;
  /** Expected wait of a further call for the rate limit. */
  std::uint32_t rateWaitMs = 0;

  bool operator==(const ServerLoad&) const = default;
};

} // namespace knapweedpaddle::backends
