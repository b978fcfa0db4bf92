#pragma once

#include "knapweedpaddle/common/Time.h"
#include "knapweedpaddle/routing/TokenBucket.h"

#include <cstddef>
#include <optional>
#include <string>

namespace knapweedpaddle::backends {

/**
 * Keeps the calls to a backend server within the rate that it takes from all
 * callers together. A server in need names that rate in its answers for as long
 * as it holds.
 *
 * A new process does not know whether the server named a rate before. Until the
 * first answer it has only a few calls in progress.
 *
 * Thread safety: the traffic thread only.
 */
class ServerRateLimit
{
public:
  /** Parses a rate in calls per second; nothing if it is no finite number of at
   * least 0. */
  static std::optional<double> Parse(const std::string& aText);

  /**
   * Records what an answer says. An answer without a rate lifts the limit,
   * unless its call was sent before the limit was last named: the server may
   * have written such an answer earlier.
   *
   * @param aRate    rate in calls per second that the answer names, if any.
   * @param aSentAt  when the answered call was sent.
   * @param aNow     must not precede the time of the last call.
   * @return true if the limit changed.
   */
  bool OnAnswer(std::optional<double> aRate, Timestamp aSentAt, Timestamp aNow);

  /** Lifts the limit, when another server takes the place of the one that
   * named it. */
  void Lift() { mRate.reset(); }

  /**
   * Returns true, and counts the call, if one more call may be sent now.
   *
   * @param aInProgress  number of calls sent and not answered yet.
   * @param aNow         must not precede the time of the last call.
   */
  bool TakeCall(std::size_t aInProgress, Timestamp aNow);

  /** Returns the time until a call may be sent that has a number of others
   * ahead of it; 0 without a limit. */
  Microseconds WaitFor(std::size_t aCallsAhead, Timestamp aNow) const;

  /** Returns the time between two calls at the rate in force; 0 without a
   * limit. */
  Microseconds CallInterval() const;

  /** Returns the rate that the server names, in calls per second, if any. */
  std::optional<double> Rate() const { return mRate; }

private:
  std::optional<double> mRate;
  routing::TokenBucket mBucket{ 0, 0 }; ///< one token a call, while limited
  Timestamp mNamedAt{};                 ///< when an answer last named the rate
  bool mHasAnswer = false;
};

} // namespace knapweedpaddle::backends
