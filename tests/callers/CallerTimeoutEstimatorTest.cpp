#include "knapweedpaddle/callers/CallerTimeoutEstimator.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using callers::CallerTimeoutEstimator;
using std::chrono::seconds;

namespace {

const Timestamp kNow{ std::chrono::hours(1) };

} // namespace

TEST_CASE("a call with less time left than others was tried before", "[calls]")
{
  CallerTimeoutEstimator budgets;
  CHECK(budgets.TimeSinceFirstTry("a", Milliseconds(2000), kNow) ==
        Milliseconds(0));
  CHECK(budgets.TimeSinceFirstTry("a", Milliseconds(1700), kNow) ==
        Milliseconds(300));
  CHECK(budgets.TimeSinceFirstTry("b", Milliseconds(500), kNow) ==
        Milliseconds(0));
  CHECK(budgets.TimeSinceFirstTry("a", Milliseconds(2000), kNow) ==
        Milliseconds(0));
}

TEST_CASE("callers that have less time from now on are learned", "[calls]")
{
  CallerTimeoutEstimator budgets;
  budgets.TimeSinceFirstTry("a", Milliseconds(2000), kNow);
  CHECK(budgets.TimeSinceFirstTry("a", Milliseconds(800), kNow + seconds(11)) ==
        Milliseconds(1200));
  CHECK(budgets.TimeSinceFirstTry("a", Milliseconds(800), kNow + seconds(22)) ==
        Milliseconds(0));
}
