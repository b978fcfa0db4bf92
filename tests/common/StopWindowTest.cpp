// Which calls a stopping process takes: none that could be cut off by its exit,
// and none once callers had the time to turn to another node.

#include "knapweedpaddle/common/StopWindow.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;

namespace {

const Timestamp kSignalAt = Timestamp(std::chrono::hours(1));

} // namespace

TEST_CASE("a process that is not stopping takes every call", "[stop]")
{
  const StopWindow window;
  CHECK(window.Takes(kSignalAt, kSignalAt + std::chrono::hours(1000)));
  CHECK(window.IsOpen(kSignalAt));
}

TEST_CASE("a stopping process takes only calls that end before its exit",
          "[stop]")
{
  const Milliseconds grace = GENERATE(as<Milliseconds>(), 1000, 6000, 10'000);
  const StopWindow window(kSignalAt, grace);
  CHECK(window.EndsAt() < kSignalAt + grace);
  CHECK(window.IsOpen(window.AnnouncesAt()));
  for (Milliseconds after(0); after < grace; after += Milliseconds(50)) {
    const Timestamp now = kSignalAt + after;
    for (Milliseconds left(1); left < 2 * grace; left += Milliseconds(50)) {
      const bool takes = window.Takes(now, now + left);
      CHECK_FALSE((takes && now + left >= window.EndsAt()));
      CHECK_FALSE((takes && after > grace / 2));
    }
  }
  CHECK(window.Takes(kSignalAt, kSignalAt + grace / 4));
  CHECK_FALSE(window.IsOpen(kSignalAt + grace / 2));
}
