#pragma once

#include <cmath>

namespace knapweedpaddle::routing {

/**
 * Evenly spread numbers in [0, 1): of any run of them, the part below a share
 * is the share to within a few calls, where random numbers scatter more.
 *
 * Thread safety: one thread.
 */
class LowDiscrepancySequence
{
public:
  /** @param aStart  in [0, 1); differs between nodes. */
  explicit LowDiscrepancySequence(double aStart)
    : mNext(aStart)
  {
  }

  double Next()
  {
    constexpr double kGoldenRatioFraction = 0.6180339887498949;
    mNext = std::fmod(mNext + kGoldenRatioFraction, 1.0);
    return mNext;
  }

private:
  double mNext;
};

} // namespace knapweedpaddle::routing
