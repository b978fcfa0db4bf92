#pragma once

#include "knapweedpaddle/common/Time.h"

namespace knapweedpaddle::routing {

/** A token bucket; the caller passes in the time. Thread safety: one thread. */
class TokenBucket
{
public:
  /**
   * @param aRatePerSecond  tokens added each second.
   * @param aBurst          capacity of the bucket, which starts full.
   */
  TokenBucket(double aRatePerSecond, double aBurst);

  /** Takes tokens; returns false, and takes none, if there are too few. Times
   * passed in must not decrease. */
  bool Take(Timestamp aNow, double aTokens = 1);

  /** Changes the capacity; tokens beyond it are discarded. */
  void SetBurst(double aBurst);

  /** Adds tokens, up to the capacity. */
  void Add(double aTokens);

private:
  double mRate;
  double mBurst;
  double mTokens;
  Timestamp mLast{};
};

} // namespace knapweedpaddle::routing
