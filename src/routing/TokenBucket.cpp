#include "knapweedpaddle/routing/TokenBucket.h"

#include <algorithm>

namespace knapweedpaddle::routing {

TokenBucket::TokenBucket(double aRatePerSecond, double aBurst)
  : mRate(aRatePerSecond)
  , mBurst(aBurst)
  , mTokens(aBurst)
{
}

bool
TokenBucket::Take(Timestamp aNow, double aTokens)
{
  if (mLast != Timestamp{} && aNow > mLast) {
    Add(mRate * std::chrono::duration<double>(aNow - mLast).count());
  }
  mLast = aNow;
  if (mTokens < aTokens) {
    return false;
  }
  mTokens -= aTokens;
  return true;
}

void
TokenBucket::SetBurst(double aBurst)
{
  mBurst = aBurst;
  mTokens = std::min(mTokens, mBurst);
}

Microseconds
TokenBucket::TimeUntil(double aTokens, Timestamp aNow) const
{
  const std::chrono::duration<double> missing((aTokens - mTokens) / mRate);
  const std::chrono::duration<double> elapsed =
    mLast == Timestamp{} ? Timestamp::duration(0) : aNow - mLast;
  return std::max(std::chrono::ceil<Microseconds>(missing - elapsed),
                  Microseconds(0));
}

void
TokenBucket::Add(double aTokens)
{
  mTokens = std::min(mBurst, mTokens + aTokens);
}

} // namespace knapweedpaddle::routing
