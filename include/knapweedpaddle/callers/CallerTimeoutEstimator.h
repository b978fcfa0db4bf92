#pragma once

#include "knapweedpaddle/common/Time.h"

#include <string>
#include <unordered_map>

namespace knapweedpaddle::callers {

/**
 * Estimates the timeout with which callers start the calls of a route. Callers
 * send the time that is left, so a call with less than that timeout was tried
 * before, and its latency target counts from the first try.
 *
 * Thread safety: one thread.
 */
class CallerTimeoutEstimator
{
public:
  /**
   * Records the time that a caller has left for a call.
   *
   * @return the estimated time since the caller's first try.
   */
  Milliseconds TimeSinceFirstTry(const std::string& aRoute,
                                 Milliseconds aTimeLeft,
                                 Timestamp aNow);

private:
  /** Longest time left in the current and in the previous period. */
  struct LongestTimeouts
  {
    Milliseconds current{ 0 };
    Milliseconds previous{ 0 };
    Timestamp startedAt{}; ///< start of the current period
  };

  std::unordered_map<std::string, LongestTimeouts> mRoutes;
};

} // namespace knapweedpaddle::callers
