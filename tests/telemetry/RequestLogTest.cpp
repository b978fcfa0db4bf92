// Guards against a failed request whose cause can't be found from its id in the
// logs of the nodes: lines that are parsed wrongly, attributed to another
// request, or a summary that names the wrong step.

#include "knapweedpaddle/telemetry/RequestLog.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace knapweedpaddle::telemetry;

namespace {

constexpr const char* kLogs = R"(
  22.24 node-c 2026-08-20T10:33:24.241 level=info category=backend event=run id=7e call=a4-f4.1 server=i-1 outcome=not-run status=0 ms=0 busy=12 queued=22 slots=12 left_out=19 reason=wait_too_long
  22.23 node-a 2026-08-20T10:33:24.242 level=info category=calls event=call id=7e call=a4-f4 route=r outcome=not-run status=0 ms=2 left_ms=997 left_out=0 steps="route r of version 4 to service s; try 1: 10.3.0.17:7660 in c, version v1, expected 418 ms; not-run: wait_too_long; no other \"server\" is left"
  22.25 node-a 2026-08-20T10:33:24.250 level=info category=calls event=call id=8f call=a4-f5 route=r outcome=unknown status=0 ms=900 left_ms=90 left_out=0 steps="route r of version 4 to service s; unknown: the answer was cut off"
  22.26 node-b 2026-08-20T10:33:24.260 level=info category=calls event=call id=9a call=a4-f6 route=r outcome=answered status=200 ms=700 left_ms=90 left_out=0 steps="route r of version 4 to service s; try 1: 10.3.0.18:7660 in c, version v1, expected 650 ms"
  22.27 node-c 2026-08-20T10:33:24.270 level=info category=node event=state detail="serving s v1 7e"
)";

RequestLog
RequestLogOf(const std::string& aId)
{
  std::istringstream logs(kLogs);
  return { logs, aId };
}

} // namespace

TEST_CASE("quoted values of a log line may hold spaces and quotes",
          "[telemetry]")
{
  const LogLine line = ParseLogLine("x 2026-08-20T10:33:24.241 event=call "
                                    "steps=\"a \\\"b\\\"; c\" id=\"\" n=1");
  CHECK(line.time == "2026-08-20T10:33:24.241");
  CHECK(line.prefix == "x ");
  CHECK(line.Field("steps") == "a \"b\"; c");
  CHECK(line.Field("id").empty());
  CHECK(line.Field("n") == "1");
}

TEST_CASE("the log lines found by a request id state its outcome and reason",
          "[telemetry]")
{
  const RequestLog refused = RequestLogOf("7e");
  REQUIRE(refused.Lines().size() == 2);
  CHECK(refused.Lines()[0].Field("event") == "run");
  CHECK(refused.Lines()[0].Field("reason") == "wait_too_long");
  CHECK(refused.Cause() ==
        "not-run after 2 ms: wait_too_long; no other \"server\" is left");
  CHECK(RequestLogOf("8f").Cause() ==
        "unknown after 900 ms: the answer was cut off");
  CHECK(RequestLogOf("9a").Cause() ==
        "answered with status 200 after 700 ms: try 1: 10.3.0.18:7660 in c, "
        "version v1, expected 650 ms");
  CHECK(RequestLogOf("a4-f4").Lines().size() == 2);
  CHECK(RequestLogOf("none").Lines().empty());
}
