#pragma once

#include "knapweedpaddle/common/Time.h"

#include <algorithm>

namespace knapweedpaddle {

/**
 * Decides which calls a process that was told to stop still takes. Callers and
 * peers keep sending calls until they know of the stop, so calls are taken for
 * a while, but only those that are certain to end before the process exits. Any
 * other call is refused at once, so that it can run elsewhere.
 *
 * Thread safety: any thread, as it never changes.
 */
class StopWindow
{
public:
  /** A window of a process that is not stopping: takes every call. */
  StopWindow() = default;

  /**
   * A window that begins with the signal to stop.
   *
   * @param aGracePeriod  time from the signal until the process is killed.
   */
  StopWindow(Timestamp aSignalAt, Milliseconds aGracePeriod)
    : mTakesUntil(aSignalAt +
                  std::min<Milliseconds>(kMaxTakeTime, aGracePeriod / 2))
    , mEndsAt(aSignalAt + aGracePeriod - kExitMargin)
  {
  }

  /** Returns true if a call with a deadline may be taken. */
  bool Takes(Timestamp aNow, Timestamp aDeadline) const
  {
    return IsOpen(aNow) && aDeadline <= mEndsAt - kAnswerMargin;
  }

  /** Returns true while some calls may be taken. */
  bool IsOpen(Timestamp aNow) const { return aNow < mTakesUntil; }

  /** Returns when peers are told of the stop. They send calls until then, since
   * the slots of the backend server would be unused otherwise. */
  Timestamp AnnouncesAt() const { return mTakesUntil - kAnnounceTime; }

  /** Returns when the process exits at the latest. */
  Timestamp EndsAt() const { return mEndsAt; }

private:
  /** Callers are sent elsewhere after two failed readiness checks, which are a
   * second apart. */
  static constexpr Milliseconds kMaxTakeTime{ 2500 };
  /** Time in which peers hear of the stop. */
  static constexpr Milliseconds kAnnounceTime{ 1000 };
  /** Part of the grace period in which the process exits. */
  static constexpr Milliseconds kExitMargin{ 400 };
  /** Time to send the answer of a call that ends at its deadline. */
  static constexpr Milliseconds kAnswerMargin{ 200 };

  Timestamp mTakesUntil = Timestamp::max();
  Timestamp mEndsAt = Timestamp::max();
};

} // namespace knapweedpaddle
