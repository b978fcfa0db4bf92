#pragma once

#include "knapweedpaddle/common/Time.h"

namespace knapweedpaddle {

/**
 * Detects that the process did not run for a while (because its VM or the
 * process was suspended, for example) from gaps between regular ticks.
 *
 * Thread safety: one thread.
 */
class PauseDetector
{
public:
  /** @param aMaxGap  a longer gap between two ticks counts as a pause. */
  explicit PauseDetector(Milliseconds aMaxGap)
    : mMaxGap(aMaxGap)
  {
  }

  /** Records that the thread runs; call several times per maximum gap. */
  void Tick(Timestamp aNow)
  {
    CheckForPause(aNow);
    mLastTick = aNow;
  }

  /** Returns true for the first call after a pause, else false. */
  bool TakePause(Timestamp aNow)
  {
    CheckForPause(aNow);
    const bool paused = mPaused;
    mPaused = false;
    return paused;
  }

  /**
   * Returns how long a message that is read now may have waited because of a
   * pause: the length of the last pause for kBacklogDrainTime after it, else
   * zero.
   */
  Milliseconds DelayFromPause(Timestamp aNow)
  {
    CheckForPause(aNow);
    return aNow < mBacklogUntil ? mLastPause : Milliseconds(0);
  }

private:
  /** Time to read the messages that arrived during a pause. */
  static constexpr Milliseconds kBacklogDrainTime{ 500 };

  void CheckForPause(Timestamp aNow)
  {
    if (mLastTick == Timestamp{} || aNow - mLastTick <= mMaxGap) {
      return;
    }
    mLastPause = std::chrono::duration_cast<Milliseconds>(aNow - mLastTick);
    mBacklogUntil = aNow + kBacklogDrainTime;
    mPaused = true;
    mLastTick = aNow;
  }

  Milliseconds mMaxGap;
  Milliseconds mLastPause{ 0 };
  Timestamp mLastTick{};
  Timestamp mBacklogUntil{};
  bool mPaused = false;
};

} // namespace knapweedpaddle
