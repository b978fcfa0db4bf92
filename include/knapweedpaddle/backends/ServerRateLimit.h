#pragma once

#include "knapweedpaddle/common/Time.h"

#include <optional>
#include <string>

namespace knapweedpaddle::backends {

/**
 * The number of calls a second that a backend server in need takes from all
 * callers together. The server names it in its answers for as long as it holds.
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

  /** Returns the rate that the server names, in calls per second, if any. */
  std::optional<double> Rate() const { return mRate; }

private:
  std::optional<double> mRate;
  Timestamp mNamedAt{}; ///< when an answer last named the rate
};

} // namespace knapweedpaddle::backends
