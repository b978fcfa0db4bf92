#pragma once

#include "knapweedpaddle/common/Time.h"

#include <string>
#include <unordered_map>

namespace knapweedpaddle::callers {

/**
 * Learns how much time the callers of a route have for a request. Callers send
 * what is left of it, so a call with less has been tried before, and its target
 * time began then.
 *
 * Thread safety: one thread.
 */
class CallerTimeoutEstimator
{
public:
  /**
   * Notes the time that a caller has left.
   *
   * @return how long ago the caller seems to have sent its first try.
   */
  Milliseconds TimeSinceFirstTry(const std::string& aRoute,
                                 Milliseconds aLeft,
                                 Timestamp aNow);

private:
  /** The most time seen, in this period and the one before it. */
  struct LongestTimeouts
  {
    Milliseconds current{ 0 };
    Milliseconds previous{ 0 };
    Timestamp startedAt{};
  };

  std::unordered_map<std::string, LongestTimeouts> mRoutes;
};

} // namespace knapweedpaddle::callers
