#pragma once

#include "knapweedpaddle/config/Entry.h"
#include "knapweedpaddle/routing/TokenBucket.h"

#include <optional>

namespace knapweedpaddle::routing {

/** Why a slow call is not sent to a second server. */
enum class HedgeRefusal
{
  kShareSpent,  ///< operators permit no more second tries
  kShortOfRoom, ///< servers of the service refuse calls for want of room
};

inline constexpr std::array<EnumName<HedgeRefusal>, 2> kHedgeRefusalNames{ {
  { HedgeRefusal::kShareSpent, "share_spent" },
  { HedgeRefusal::kShortOfRoom, "short_of_room" },
} };

/**
 * Decides when a call that may be repeated is hedged, that is sent to a second
 * server while the first one has not answered. The second tries of a service
 * stay within a share of its calls, and there are none while its servers lack
 * room: they would then take slots from calls that have none.
 *
 * Thread safety: the traffic thread only. The times passed in must not
 * decrease.
 */
class HedgePolicy
{
public:
  /** @param aShare  second tries permitted for each call; 0: none. */
  explicit HedgePolicy(double aShare);

  /**
   * Returns the time after which a call is hedged: when it is well above the
   * mean, but early enough for the second server to answer within the target.
   *
   * @param aMeanMs  mean time of the route's calls; 0: not known.
   * @return nothing for a call that must not run twice, or for which there is
   * no such time.
   */
  static std::optional<Milliseconds> DelayOf(const config::RouteEntry& aRoute,
                                             double aMeanMs);

  /** Counts the first try of a call. */
  void CountCall(Timestamp aNow);

  /** Counts a try that a server refused for want of room. */
  void CountRefusal(Timestamp aNow);

  /** Takes a second try from the share. @return why it must not be sent. */
  std::optional<HedgeRefusal> Check(Timestamp aNow);

private:
  void Decay(Timestamp aNow);

  double mShare;
  TokenBucket mBudget;
  double mCalls = 0;    ///< decaying count
  double mRefusals = 0; ///< decaying count
  Timestamp mDecayedAt{};
};

} // namespace knapweedpaddle::routing
