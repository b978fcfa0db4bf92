#pragma once

#include "knapweedpaddle/common/Time.h"

#include <algorithm>
#include <random>

namespace knapweedpaddle {

/**
 * Exponential backoff with jitter: each delay is drawn at random between a
 * quarter of the current step and the whole step, so that processes that failed
 * together do not retry together.
 *
 * Thread safety: one thread.
 */
class Backoff
{
public:
  /**
   * @param aFirstStep  step of the first delay.
   * @param aMaxStep    limit of the doubling.
   */
  Backoff(Milliseconds aFirstStep, Milliseconds aMaxStep)
    : mFirstStep(aFirstStep)
    , mMaxStep(aMaxStep)
    , mStep(aFirstStep)
  {
  }

  /** Returns the next delay and doubles the step. */
  Milliseconds Next(std::mt19937_64& aRandom)
  {
    const std::int64_t shortest = std::max<std::int64_t>(mStep.count() / 4, 1);
    std::uniform_int_distribution<std::int64_t> delay(
      shortest, std::max(shortest, mStep.count()));
    mStep = std::min(mMaxStep, mStep * 2);
    return Milliseconds(delay(aRandom));
  }

  /** Starts again with the first step; call after a success. */
  void Reset() { mStep = mFirstStep; }

private:
  Milliseconds mFirstStep;
  Milliseconds mMaxStep;
  Milliseconds mStep;
};

} // namespace knapweedpaddle
