// Reports of backend servers that arrive late, twice, for another server, or
// after the server was replaced.

#include "knapweedpaddle/backends/BackendServerTracker.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using namespace knapweedpaddle::backends;

namespace {

const Timestamp kNow{ std::chrono::hours(1) };
constexpr const char* kAddress = "10.0.0.1:80";
constexpr WallMilliseconds kWallNow = 500;

ServerReport
Report(const std::string& aId, std::uint64_t aStart, std::uint64_t aSequence)
{
  ServerReport report;
  report.id = aId;
  report.service = "timetable";
  report.address = kAddress;
  report.version = "v1";
  report.slots = 12;
  report.sequence = aSequence;
  report.startedAtMs = aStart;
  return report;
}

ServerReport
WithState(ServerReport aReport, ReportedState aState)
{
  aReport.state = aState;
  return aReport;
}

} // namespace

TEST_CASE("a report with an older sequence number is outdated", "[ledger]")
{
  BackendServerTracker tracker(kAddress);
  CHECK(tracker.Apply(Report("a", 100, 2), kNow, kWallNow) ==
        ReportOutcome::kAccepted);
  CHECK(tracker.Apply(Report("a", 100, 1), kNow, kWallNow) ==
        ReportOutcome::kOutdated);
  CHECK(tracker.Apply(Report("a", 100, 2), kNow, kWallNow) ==
        ReportOutcome::kOutdated);
  CHECK(tracker.Apply(Report("a", 100, 3), kNow, kWallNow) ==
        ReportOutcome::kAccepted);
  REQUIRE(tracker.Ready());
  CHECK(tracker.Ready()->sequence == 3);
}

TEST_CASE("a server that said in an answer that it leaves is not ready again "
          "until it restarts",
          "[ledger]")
{
  BackendServerTracker tracker(kAddress);
  CHECK_FALSE(tracker.OnLeaving("other", 50));
  CHECK(tracker.Apply(Report("a", 100, 1), kNow, kWallNow) ==
        ReportOutcome::kAccepted);
  CHECK(tracker.OnLeaving("a", 100));
  CHECK_FALSE(tracker.OnLeaving("a", 100));
  CHECK_FALSE(tracker.Ready());
  CHECK(tracker.Apply(Report("a", 100, 2), kNow, kWallNow) ==
        ReportOutcome::kOutdated);
  CHECK_FALSE(tracker.Ready());
  CHECK(tracker.Apply(Report("a", 101, 1), kNow, kWallNow) ==
        ReportOutcome::kAccepted);
  CHECK(tracker.Ready());
}

TEST_CASE("reports of an earlier server start are outdated", "[ledger]")
{
  BackendServerTracker tracker(kAddress);
  tracker.Apply(Report("a", 100, 9), kNow, kWallNow);
  CHECK(tracker.Apply(Report("a", 200, 1), kNow, kWallNow) ==
        ReportOutcome::kAccepted);
  CHECK(tracker.Apply(Report("a", 100, 10), kNow, kWallNow) ==
        ReportOutcome::kOutdated);
  CHECK(tracker.Apply(Report("b", 150, 99), kNow, kWallNow) ==
        ReportOutcome::kOutdated);
  CHECK(tracker.Apply(Report("b", 300, 1), kNow, kWallNow) ==
        ReportOutcome::kAccepted);
  CHECK(tracker.Ready()->id == "b");
}

TEST_CASE("a draining or gone server is ready again only after a restart",
          "[ledger]")
{
  for (const auto state : { ReportedState::kDraining, ReportedState::kGone }) {
    BackendServerTracker tracker(kAddress);
    tracker.Apply(Report("a", 100, 1), kNow, kWallNow);
    CHECK(tracker.Apply(WithState(Report("a", 100, 2), state),
                        kNow,
                        kWallNow) == ReportOutcome::kAccepted);
    CHECK(tracker.Ready() == nullptr);
    CHECK(tracker.Apply(Report("a", 100, 3), kNow, kWallNow) ==
          ReportOutcome::kOutdated);
    CHECK(tracker.Ready() == nullptr);
    CHECK(tracker.Apply(Report("a", 400, 1), kNow, kWallNow) ==
          ReportOutcome::kAccepted);
    CHECK(tracker.Ready() != nullptr);
  }
}

TEST_CASE("a sign-off needs only the id of the server", "[ledger]")
{
  BackendServerTracker tracker(kAddress);
  tracker.Apply(Report("a", 100, 1), kNow, kWallNow);
  ServerReport other;
  other.id = "b";
  other.state = ReportedState::kGone;
  CHECK(tracker.Apply(other, kNow, kWallNow) == ReportOutcome::kAccepted);
  CHECK(tracker.Ready() != nullptr);
  ServerReport old = other;
  old.id = "a";
  old.startedAtMs = 50;
  CHECK(tracker.Apply(old, kNow, kWallNow) == ReportOutcome::kOutdated);
  CHECK(tracker.Ready() != nullptr);
  old.startedAtMs = 0;
  CHECK(tracker.Apply(old, kNow, kWallNow) == ReportOutcome::kAccepted);
  CHECK(tracker.Ready() == nullptr);
}

TEST_CASE("reports with another address or without a start time are rejected",
          "[ledger]")
{
  BackendServerTracker tracker(kAddress);
  ServerReport otherAddress = Report("a", 100, 1);
  otherAddress.address = "10.0.0.2:80";
  CHECK(tracker.Apply(otherAddress, kNow, kWallNow) == ReportOutcome::kForeign);
  ServerReport withoutStart = Report("a", 0, 1);
  CHECK(tracker.Apply(withoutStart, kNow, kWallNow) == ReportOutcome::kForeign);
  CHECK(tracker.Latest() == nullptr);
}

TEST_CASE("a server without reports is dropped after the silence limit",
          "[ledger]")
{
  BackendServerTracker tracker(kAddress);
  tracker.Apply(Report("a", 100, 1), kNow, kWallNow);
  CHECK_FALSE(tracker.Expire(kNow + Milliseconds(900), Milliseconds(1000)));
  CHECK(tracker.Expire(kNow + Milliseconds(1100), Milliseconds(1000)));
  CHECK(tracker.Ready() == nullptr);
}

TEST_CASE("a sign-off at a restarted node bars a ready report that was delayed",
          "[ledger]")
{
  ServerReport signOff;
  signOff.id = "a";
  signOff.state = ReportedState::kGone;
  // The node doesn't know the server's start, and the sign-off does not tell
  // it.
  BackendServerTracker tracker(kAddress);
  CHECK(tracker.Apply(signOff, kNow, kWallNow) == ReportOutcome::kAccepted);
  CHECK(tracker.Apply(Report("a", 100, 20), kNow, kWallNow) ==
        ReportOutcome::kOutdated);
  CHECK_FALSE(tracker.Ready());
  const auto restarted = static_cast<std::uint64_t>(kWallNow) + 1;
  CHECK(tracker.Apply(Report("a", restarted, 1), kNow, kWallNow) ==
        ReportOutcome::kAccepted);
  CHECK(tracker.Ready());
}
