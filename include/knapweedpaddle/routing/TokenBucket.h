#pragma once

#include "knapweedpaddle/common/Time.h"

namespace knapweedpaddle::routing {

/** A token bucket on a clock passed in. Thread safety: one thread. */
class TokenBucket
{
public:
  /**
   * @param aRatePerSecond  tokens gained each second.
   * @param aBurst          most tokens held; the bucket starts full.
   */
  TokenBucket(double aRatePerSecond, double aBurst);

  /** Takes tokens; false when there are too few. Times must not fall. */
  bool Take(Timestamp aNow, double aTokens = 1);

  /** Changes the burst; tokens beyond it are lost. */
  void SetBurst(double aBurst);

  /** Adds tokens, up to the burst. */
  void Add(double aTokens);

private:
  double mRate;
  double mBurst;
  double mTokens;
  Timestamp mLast{};
};

} // namespace knapweedpaddle::routing
