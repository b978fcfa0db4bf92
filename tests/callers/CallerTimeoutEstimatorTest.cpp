// The estimated time since the first try of a call, from the time that its
// caller has left.

#include "knapweedpaddle/callers/CallerTimeoutEstimator.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using callers::CallerTimeoutEstimator;
using std::chrono::seconds;

namespace {

const Timestamp kNow{ std::chrono::hours(1) };

} // namespace

TEST_CASE(
  "less time left than usual on a route counts as time since the first try",
  "[calls]")
{
  CallerTimeoutEstimator estimator;
  CHECK(estimator.TimeSinceFirstTry("a", Milliseconds(2000), kNow) ==
        Milliseconds(0));
  CHECK(estimator.TimeSinceFirstTry("a", Milliseconds(1700), kNow) ==
        Milliseconds(300));
  CHECK(estimator.TimeSinceFirstTry("b", Milliseconds(500), kNow) ==
        Milliseconds(0));
  CHECK(estimator.TimeSinceFirstTry("a", Milliseconds(2000), kNow) ==
        Milliseconds(0));
}

TEST_CASE("the estimate follows callers that switch to a shorter timeout",
          "[calls]")
{
  CallerTimeoutEstimator estimator;
  estimator.TimeSinceFirstTry("a", Milliseconds(2000), kNow);
  CHECK(estimator.TimeSinceFirstTry(
          "a", Milliseconds(800), kNow + seconds(11)) == Milliseconds(1200));
  CHECK(estimator.TimeSinceFirstTry(
          "a", Milliseconds(800), kNow + seconds(22)) == Milliseconds(0));
}
