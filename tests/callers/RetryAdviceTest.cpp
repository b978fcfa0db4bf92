// The time after which the caller of a refused call is told to come back.

#include "knapweedpaddle/callers/RetryAdvice.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using namespace knapweedpaddle::callers;

namespace {

backends::ServerLoad
Load(std::uint32_t aQueued, std::uint32_t aRateWaitMs)
{
  backends::ServerLoad load;
  load.slots = 10;
  load.serviceMs = 100;
  load.queued = aQueued;
  load.rateWaitMs = aRateWaitMs;
  return load;
}

} // namespace

TEST_CASE("a refused caller comes back when the first server has room",
          "[calls]")
{
  RetryAdvice advice;
  CHECK(advice.RetryAfter() == Milliseconds(200));
  advice.AddRefusal(Load(49, 0));
  CHECK(advice.RetryAfter() == Milliseconds(500));
  advice.AddRefusal(Load(0, 300));
  CHECK(advice.RetryAfter() == Milliseconds(300));
  advice.AddRefusal(Load(9, 400));
  CHECK(advice.RetryAfter() == Milliseconds(300));
}

TEST_CASE("a server without slots gives no advice, and advice has limits",
          "[calls]")
{
  RetryAdvice advice;
  advice.AddRefusal({});
  CHECK(advice.RetryAfter() == Milliseconds(200));
  advice.AddRefusal(Load(0, 20'000));
  CHECK(advice.RetryAfter() == Milliseconds(1000));
  advice.AddRefusal(Load(0, 0));
  CHECK(advice.RetryAfter() == Milliseconds(50));
}
