#pragma once

#include "knapweedpaddle/common/Time.h"

#include <optional>

namespace knapweedpaddle {

/**
 * Detects that the process did not run for a while (because its VM or the
 * process was suspended, for example) from gaps between regular ticks. Times
 * are boot times, since a Timestamp does not count the suspension of a VM.
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
  void Tick(Microseconds aNow)
  {
    CheckForPause(aNow);
    mLastTick = aNow;
  }

  /** Returns true for the first call after a pause, else false. */
  bool TakePause(Microseconds aNow)
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
  Milliseconds DelayFromPause(Microseconds aNow)
  {
    CheckForPause(aNow);
    return aNow < mBacklogUntil ? mLastPause : Milliseconds(0);
  }

private:
  /** Time to read the messages that arrived during a pause. */
  static constexpr Milliseconds kBacklogDrainTime{ 500 };

  void CheckForPause(Microseconds aNow)
  {
    if (!mLastTick || aNow - *mLastTick <= mMaxGap) {
      return;
    }
    mLastPause = std::chrono::duration_cast<Milliseconds>(aNow - *mLastTick);
    mBacklogUntil = aNow + kBacklogDrainTime;
    mPaused = true;
    mLastTick = aNow;
  }

  Milliseconds mMaxGap;
  Milliseconds mLastPause{ 0 };
  std::optional<Microseconds> mLastTick;
  Microseconds mBacklogUntil{ 0 };
  bool mPaused = false;
};

} // namespace knapweedpaddle
