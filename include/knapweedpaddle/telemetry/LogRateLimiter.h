#pragma once

#include "knapweedpaddle/common/Time.h"

#include <algorithm>
#include <cstdint>

namespace knapweedpaddle::telemetry {

/**
 * Bounds lines about single calls, whose number follows the load.
 *
 * Thread safety: one thread.
 */
class LogRateLimiter
{
public:
  LogRateLimiter(double aLinesPerSecond, double aBurst)
    : mRate(aLinesPerSecond)
    , mBurst(aBurst)
    , mLines(aBurst)
  {
  }

  /** True when a line may be written. */
  bool Take(Timestamp aNow)
  {
    if (mLast != Timestamp{} && aNow > mLast) {
      mLines = std::min(
        mBurst,
        mLines + mRate * std::chrono::duration<double>(aNow - mLast).count());
    }
    mLast = aNow;
    if (mLines < 1) {
      ++mLeftOut;
      return false;
    }
    mLines -= 1;
    return true;
  }

  /** Returns how many lines were left out since the last call. */
  std::uint64_t TakeSuppressedCount()
  {
    const std::uint64_t count = mLeftOut;
    mLeftOut = 0;
    return count;
  }

private:
  double mRate;
  double mBurst;
  double mLines;
  Timestamp mLast{};
  std::uint64_t mLeftOut = 0;
};

} // namespace knapweedpaddle::telemetry
