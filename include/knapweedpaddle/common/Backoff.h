#pragma once

#include "knapweedpaddle/common/Time.h"

#include <algorithm>
#include <random>

namespace knapweedpaddle {

/**
 * Exponential backoff with full jitter: each delay is drawn between a quarter
 * of the present step and the whole of it, so that a herd spreads out.
 *
 * Thread safety: one thread.
 */
class Backoff
{
public:
  Backoff(Milliseconds aFirst, Milliseconds aMost)
    : mFirst(aFirst)
    , mMost(aMost)
    , mStep(aFirst)
  {
  }

  /** Returns the next delay and doubles the step. */
  Milliseconds Next(std::mt19937_64& aRandom)
  {
    const std::int64_t least = std::max<std::int64_t>(mStep.count() / 4, 1);
    std::uniform_int_distribution<std::int64_t> draw(
      least, std::max(least, mStep.count()));
    mStep = std::min(mMost, mStep * 2);
    return Milliseconds(draw(aRandom));
  }

  void Reset() { mStep = mFirst; }

private:
  Milliseconds mFirst;
  Milliseconds mMost;
  Milliseconds mStep;
};

} // namespace knapweedpaddle
