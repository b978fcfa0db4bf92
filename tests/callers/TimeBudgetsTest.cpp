#include "knapweedpaddle/callers/TimeBudgets.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using callers::TimeBudgets;
using std::chrono::seconds;

namespace {

const Timestamp kNow{ std::chrono::hours(1) };

} // namespace

TEST_CASE("a call with less time left than others was tried before", "[calls]")
{
  TimeBudgets budgets;
  CHECK(budgets.TimeSpent("a", Milliseconds(2000), kNow) == Milliseconds(0));
  CHECK(budgets.TimeSpent("a", Milliseconds(1700), kNow) == Milliseconds(300));
  CHECK(budgets.TimeSpent("b", Milliseconds(500), kNow) == Milliseconds(0));
  CHECK(budgets.TimeSpent("a", Milliseconds(2000), kNow) == Milliseconds(0));
}

TEST_CASE("callers that have less time from now on are learned", "[calls]")
{
  TimeBudgets budgets;
  budgets.TimeSpent("a", Milliseconds(2000), kNow);
  CHECK(budgets.TimeSpent("a", Milliseconds(800), kNow + seconds(11)) ==
        Milliseconds(1200));
  CHECK(budgets.TimeSpent("a", Milliseconds(800), kNow + seconds(22)) ==
        Milliseconds(0));
}
