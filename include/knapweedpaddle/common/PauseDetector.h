#pragma once

#include "knapweedpaddle/common/Time.h"

namespace knapweedpaddle {

/**
 * Notices that the process did not run for a while, by gaps between regular
 * ticks. Thread safety: one thread.
 */
class PauseDetector
{
public:
  /** @param aLongest  a longer gap is a pause. */
  explicit PauseDetector(Milliseconds aLongest)
    : mLongest(aLongest)
  {
  }

  /** Notes that the thread runs; call at a fraction of the longest gap. */
  void Tick(Timestamp aNow)
  {
    NoteGap(aNow);
    mLastTick = aNow;
  }

  /** True once after each pause. */
  bool TakePause(Timestamp aNow)
  {
    NoteGap(aNow);
    const bool paused = mPaused;
    mPaused = false;
    return paused;
  }

  /**
   * Returns how long a message read now may have waited unread because of a
   * pause: the pause's length for a short time after its end, else zero.
   */
  Milliseconds DelayFromPause(Timestamp aNow)
  {
    NoteGap(aNow);
    return aNow < mStaleUntil ? mGap : Milliseconds(0);
  }

private:
  static constexpr Milliseconds kBacklogTime{ 500 };

  void NoteGap(Timestamp aNow)
  {
    if (mLastTick == Timestamp{} || aNow - mLastTick <= mLongest) {
      return;
    }
    mGap = std::chrono::duration_cast<Milliseconds>(aNow - mLastTick);
    mStaleUntil = aNow + kBacklogTime;
    mPaused = true;
    mLastTick = aNow;
  }

  Milliseconds mLongest;
  Milliseconds mGap{ 0 };
  Timestamp mLastTick{};
  Timestamp mStaleUntil{};
  bool mPaused = false;
};

} // namespace knapweedpaddle
