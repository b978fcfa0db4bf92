#pragma once

#include "knapweedpaddle/common/Time.h"

#include <algorithm>
#include <cstdint>

namespace knapweedpaddle::telemetry {

/**
 * Token bucket that limits how many log lines about single calls are written,
 * because their number grows with the load.
 *
 * Thread safety: one thread.
 */
class LogRateLimiter
{
public:
  LogRateLimiter(double aLinesPerSecond, double aBurst)
    : mTokensPerSecond(aLinesPerSecond)
    , mBurst(aBurst)
    , mTokens(aBurst)
  {
  }

  /** Takes one token; returns false, and counts the line as suppressed, when
   * none is left. */
  bool Take(Timestamp aNow)
  {
    if (mLastTake != Timestamp{} && aNow > mLastTake) {
      mTokens = std::min(
        mBurst,
        mTokens + mTokensPerSecond *
                    std::chrono::duration<double>(aNow - mLastTake).count());
    }
    mLastTake = aNow;
    if (mTokens < 1) {
      ++mSuppressed;
      return false;
    }
    mTokens -= 1;
    return true;
  }

  /** Returns the number of lines suppressed since the previous call. */
  std::uint64_t TakeSuppressedCount()
  {
    const std::uint64_t count = mSuppressed;
    mSuppressed = 0;
    return count;
  }

private:
  double mTokensPerSecond;
  double mBurst;
  double mTokens;
  Timestamp mLastTake{};
  std::uint64_t mSuppressed = 0;
};

} // namespace knapweedpaddle::telemetry
