// Guards against log output that stalls a node: standard output is a pipe whose
// reader may stop reading, and lines about calls grow in number with the load.

#include "telemetry/LogSink.h"

#include "knapweedpaddle/telemetry/LogRateLimiter.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>

using namespace knapweedpaddle;
using namespace knapweedpaddle::telemetry;

TEST_CASE("writing to a full pipe drops lines and logs their number", "[log]")
{
  int ends[2];
  REQUIRE(pipe2(ends, O_CLOEXEC) == 0);
  LogSink sink(ends[1]);
  const std::string line(200, 'x');
  constexpr int kLines = 5000; // 1 MB, far more than a pipe holds
  const auto start = std::chrono::steady_clock::now();
  for (int n = 0; n < kLines; ++n) {
    sink.Write(line);
  }
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
  const std::uint64_t dropped = sink.Dropped();
  CHECK(dropped > 0);
  CHECK(dropped < kLines);

  fcntl(ends[0], F_SETFL, O_NONBLOCK);
  std::string buf(1 << 20, '\0');
  while (read(ends[0], buf.data(), buf.size()) > 0) {
  }
  sink.Write("after");
  const ssize_t size = read(ends[0], buf.data(), buf.size());
  REQUIRE(size > 0);
  const std::string text(buf.data(), static_cast<std::size_t>(size));
  CHECK(text.find("event=log_lines_dropped count=" + std::to_string(dropped)) !=
        std::string::npos);
  CHECK(text.find("after\n") != std::string::npos);
  close(ends[0]);
  close(ends[1]);
}

TEST_CASE("the log rate limiter bounds lines and counts suppressed ones",
          "[log]")
{
  LogRateLimiter limiter(10, 5);
  Timestamp now{ std::chrono::hours(1) };
  int written = 0;
  for (int n = 0; n < 1000; ++n) {
    now += Milliseconds(1);
    written += limiter.Take(now) ? 1 : 0;
  }
  CHECK(written >= 14);
  CHECK(written <= 16);
  CHECK(limiter.TakeSuppressedCount() ==
        static_cast<std::uint64_t>(1000 - written));
  CHECK(limiter.TakeSuppressedCount() == 0);
}
