#pragma once

#include <cmath>

namespace knapweedpaddle::routing {

/**
 * A low-discrepancy sequence in [0, 1): multiples of the golden ratio, modulo
 * 1. In any run of its numbers, the count below a given share differs from the
 * expected count by a few only, less than with random numbers.
 *
 * Thread safety: one thread.
 */
class LowDiscrepancySequence
{
public:
  /** @param aStart  first value, in [0, 1); should differ between nodes. */
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
