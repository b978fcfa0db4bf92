#include "knapweedpaddle/nodes/RequestDelayEstimator.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using nodes::RequestDelayEstimator;

namespace {

constexpr Microseconds kSecond{ 1'000'000 };
/** Offset of the receiver's clock to the sender's. */
constexpr Microseconds kOffset{ -7'000'000 };

} // namespace

TEST_CASE("requests are as late as they are later than the fastest one",
          "[links]")
{
  RequestDelayEstimator delays;
  const auto add = [&](Microseconds aSentAt, Microseconds aTravelTime) {
    return delays.Add(aSentAt, aSentAt + kOffset + aTravelTime);
  };
  CHECK(add(9 * kSecond, Microseconds(1500)) == Microseconds(0));
  CHECK(add(10 * kSecond, Microseconds(900)) == Microseconds(0));
  CHECK(add(11 * kSecond, kSecond) == kSecond - Microseconds(900));
  CHECK(add(12 * kSecond, Microseconds(900)) == Microseconds(0));
}

TEST_CASE("clocks that drift apart don't make all later requests late",
          "[links]")
{
  RequestDelayEstimator delays;
  delays.Add(9 * kSecond, 9 * kSecond);
  // The sender's clock falls back by a second.
  CHECK(delays.Add(19 * kSecond, 20 * kSecond) == kSecond);
  delays.SetEarliestSendTime(20 * kSecond + Microseconds(100));
  CHECK(delays.Add(19 * kSecond + Microseconds(1000),
                   20 * kSecond + Microseconds(1800)) == Microseconds(1700));
  CHECK(delays.Add(21 * kSecond, 22 * kSecond) == Microseconds(900));
}
