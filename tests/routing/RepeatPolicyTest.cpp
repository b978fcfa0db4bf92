// Checks which calls may run a second time.

#include "knapweedpaddle/routing/RepeatPolicy.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using namespace knapweedpaddle::routing;
using config::CallClass;

namespace {

constexpr Milliseconds kMaxApplyTime{ 2000 };
constexpr Microseconds kConfirmedAt{ 60'000'000 };

config::RouteEntry
RouteOf(CallClass aClass)
{
  config::RouteEntry route;
  route.callClass = aClass;
  return route;
}

} // namespace

// Guards against non-idempotent calls that run twice since the configuration
// that takes them for idempotent ones is out of date.
TEST_CASE("a call may run again only under a configuration that was the newest "
          "when the call was received, less the apply time",
          "[retry]")
{
  RepeatPolicy policy(kMaxApplyTime);
  const auto route = RouteOf(CallClass::kIdempotent);
  const auto check = [&](Microseconds aReceivedAt) {
    return policy.CheckRepeat(CallClass::kIdempotent, &route, aReceivedAt);
  };
  CHECK(check(kConfirmedAt) == RetryRefusal::kConfigUnconfirmed);
  policy.Confirm(kConfirmedAt);
  CHECK_FALSE(check(kConfirmedAt - Microseconds(1)).has_value());
  CHECK_FALSE(check(kConfirmedAt + kMaxApplyTime).has_value());
  CHECK(check(kConfirmedAt + kMaxApplyTime + Microseconds(1)) ==
        RetryRefusal::kConfigUnconfirmed);
  policy.Confirm(kConfirmedAt - kMaxApplyTime);
  CHECK_FALSE(check(kConfirmedAt + kMaxApplyTime).has_value());
  policy.Confirm(kConfirmedAt + kMaxApplyTime);
  CHECK_FALSE(check(kConfirmedAt + 2 * kMaxApplyTime).has_value());
}

TEST_CASE("a call runs again only if its first and its newest route permit it",
          "[retry]")
{
  RepeatPolicy policy(kMaxApplyTime);
  policy.Confirm(kConfirmedAt);
  for (const CallClass first :
       { CallClass::kIdempotent, CallClass::kCheck, CallClass::kAtMostOnce }) {
    CHECK(policy.CheckRepeat(first, nullptr, kConfirmedAt) ==
          RetryRefusal::kMayHaveRun);
    for (const CallClass newest : { CallClass::kIdempotent,
                                    CallClass::kCheck,
                                    CallClass::kAtMostOnce }) {
      const auto route = RouteOf(newest);
      const bool forbidden =
        first == CallClass::kAtMostOnce || newest == CallClass::kAtMostOnce;
      CHECK(policy.CheckRepeat(first, &route, kConfirmedAt).has_value() ==
            forbidden);
    }
  }
}
