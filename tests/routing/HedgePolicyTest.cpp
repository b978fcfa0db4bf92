// When slow calls are sent to a second server, what that changes for callers,
// and what it costs the servers.

#include "knapweedpaddle/routing/HedgePolicy.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <vector>

using namespace knapweedpaddle;
using namespace knapweedpaddle::routing;

namespace {

const Timestamp kNow{ std::chrono::hours(1) };
constexpr double kMeanMs = 100;
constexpr Milliseconds kTarget{ 400 };

config::RouteEntry
Route(config::CallClass aClass)
{
  config::RouteEntry route;
  route.callClass = aClass;
  route.slowAfter = kTarget;
  route.maxTries = 2;
  return route;
}

/** Result of a run of calls. */
struct Outcome
{
  double p50Ms = 0;
  double p99Ms = 0;
  double extraShare = 0; ///< second tries for each call
};

/**
 * Calls at a constant rate to servers of which three calls in a hundred take
 * seven times as long, as the platform's sheets name it.
 */
Outcome
RunCalls(double aShare, double aRefusedShare)
{
  std::mt19937 random(1);
  const auto draw = [&random] {
    return std::uniform_real_distribution<double>(0, 1)(random);
  };
  const auto serviceMs = [&] {
    return kMeanMs * (0.6 + 0.8 * draw()) * (draw() < 0.03 ? 7 : 1);
  };
  HedgePolicy policy(aShare);
  const auto delay =
    HedgePolicy::DelayOf(Route(config::CallClass::kIdempotent), kMeanMs);
  REQUIRE(delay);
  const auto delayMs = static_cast<double>(delay->count());
  std::vector<double> times;
  int hedges = 0;
  constexpr int kCalls = 20'000;
  for (int n = 0; n < kCalls; ++n) {
    const Timestamp now = kNow + Milliseconds(2) * n;
    policy.CountCall(now);
    if (draw() < aRefusedShare) {
      policy.CountRefusal(now);
    }
    double time = serviceMs();
    if (time > delayMs && !policy.Check(now)) {
      ++hedges;
      time = std::min(time, delayMs + serviceMs());
    }
    times.push_back(time);
  }
  std::ranges::sort(times);
  return { times[kCalls / 2],
           times[kCalls * 99 / 100],
           static_cast<double>(hedges) / kCalls };
}

} // namespace

// Load: a service with room, some of whose calls are slow by chance.
TEST_CASE("hedging brings the slowest answers into the target", "[hedge]")
{
  const Outcome without = RunCalls(0, 0);
  const Outcome with = RunCalls(0.05, 0);
  INFO("p99 " << without.p99Ms << " ms without, " << with.p99Ms << " ms with, "
              << with.extraShare << " extra");
  CHECK(without.extraShare == 0);
  CHECK(without.p99Ms > static_cast<double>(kTarget.count()));
  CHECK(with.p99Ms <= static_cast<double>(kTarget.count()));
  CHECK(with.extraShare <= 0.05);
}

TEST_CASE("second tries stay within the share that operators permit", "[hedge]")
{
  for (const double share : { 0.0, 0.005, 0.02 }) {
    INFO("share " << share);
    CHECK(RunCalls(share, 0).extraShare <= share + 0.001);
  }
}

// Load: a service that refuses one call in ten. A second try would take the
// slot of another call.
TEST_CASE("nothing is hedged while servers lack room", "[hedge]")
{
  CHECK(RunCalls(0.05, 0.1).extraShare <= 0.001);
  HedgePolicy policy(1);
  for (int n = 0; n < 100; ++n) {
    policy.CountCall(kNow);
    policy.CountRefusal(kNow);
  }
  CHECK(policy.Check(kNow) == HedgeRefusal::kShortOfRoom);
  for (int n = 0; n < 1000; ++n) {
    policy.CountCall(kNow + std::chrono::seconds(6));
  }
  CHECK_FALSE(policy.Check(kNow + std::chrono::seconds(6)));
}

TEST_CASE("a call that must not run twice is never hedged", "[hedge]")
{
  CHECK_FALSE(
    HedgePolicy::DelayOf(Route(config::CallClass::kAtMostOnce), kMeanMs));
  auto once = Route(config::CallClass::kIdempotent);
  once.maxTries = 1;
  CHECK_FALSE(HedgePolicy::DelayOf(once, kMeanMs));
  // No time is left in which a second server could answer.
  CHECK_FALSE(HedgePolicy::DelayOf(Route(config::CallClass::kIdempotent), 300));
}
