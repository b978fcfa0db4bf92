#pragma once

#include "knapweedpaddle/common/Time.h"

#include <cstddef>
#include <deque>

namespace knapweedpaddle::backends {

/**
 * Keeps the calls to a cold backend server within the number that it takes in
 * any second. Servers are cold for a while after their start, and may become
 * cold again later; more calls than they take would crash them.
 *
 * Calls are counted in a sliding second rather than by a token bucket, so that
 * a second without calls does not permit a burst in the next one. A server
 * whose state is not known counts as cold.
 *
 * Thread safety: the traffic thread only. The times passed in must not
 * decrease.
 */
class WarmupLimit
{
public:
  /**
   * @param aStart  start of this process. The calls that the process before it
   * sent to a cold server in the last second count as the most it takes.
   */
  explicit WarmupLimit(Timestamp aStart);

  /** Sets the calls that a cold server takes in any second; 0: any number, so
   * that this object limits nothing. */
  void SetCallsPerSecond(double aCalls);

  /** Records how long the server stays cold, by its own word; 0 if it is warm.
   */
  void SetWarmupLeft(Milliseconds aLeft, Timestamp aNow);

  /** Records that the server may have become cold. */
  void SetUnknown() { mIsKnown = false; }

  /** Returns true if cold servers of the service have a limit. */
  bool IsEnabled() const { return mMaxCalls > 0; }

  /** Returns false until the server's state is told, and after SetUnknown(). */
  bool IsKnown() const { return mIsKnown; }

  /** Returns true while the server is, or may be, too cold for any number of
   * calls. */
  bool IsCold(Timestamp aNow) const;

  /** Returns true if one more call may be sent now. */
  bool HasRoom(Timestamp aNow);

  /** Counts a call that is sent now. */
  void CountCall(Timestamp aNow);

  /** Returns the time until a call may be sent that has a number of others
   * ahead of it; 0 while the server is warm. */
  Microseconds WaitFor(std::size_t aCallsAhead, Timestamp aNow) const;

  /** Returns the mean time between two calls; 0 while the server is warm. */
  Microseconds CallInterval(Timestamp aNow) const;

private:
  void ForgetOldCalls(Timestamp aNow);

  Timestamp mStart;
  std::size_t mMaxCalls = 0; ///< in any window; 0: not limited
  bool mIsKnown = false;
  Timestamp mColdUntil{};
  std::deque<Timestamp> mSent; ///< calls of the last window, in order
};

} // namespace knapweedpaddle::backends
