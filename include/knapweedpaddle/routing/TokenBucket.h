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

  /** Changes the rate for the time after the last Take(). */
  void SetRate(double aRatePerSecond) { mRate = aRatePerSecond; }

  /** Returns the time until the bucket holds a number of tokens, which may
   * exceed its capacity. The rate must not be 0. */
  Microseconds TimeUntil(double aTokens, Timestamp aNow) const;

  /** Adds tokens, up to the capacity. */
  void Add(double aTokens);

private:
  double mRate;
  double mBurst;
  double mTokens;
  Timestamp mLast{};
};

} // namespace knapweedpaddle::routing
