// Reports of backend servers that come late, twice, from others, or after the
// server was replaced.

#include "knapweedpaddle/backends/BackendServerTracker.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using namespace knapweedpaddle::backends;

namespace {

const Timestamp kNow{ std::chrono::hours(1) };
constexpr const char* kAddress = "10.0.0.1:80";

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
Saying(ServerReport aReport, ReportedState aState)
{
  aReport.state = aState;
  return aReport;
}

} // namespace

TEST_CASE("a later report of the same start wins", "[ledger]")
{
  BackendServerTracker ledger(kAddress);
  CHECK(ledger.Apply(Report("a", 100, 2), kNow) == ReportOutcome::kAccepted);
  CHECK(ledger.Apply(Report("a", 100, 1), kNow) == ReportOutcome::kOutdated);
  CHECK(ledger.Apply(Report("a", 100, 2), kNow) == ReportOutcome::kOutdated);
  CHECK(ledger.Apply(Report("a", 100, 3), kNow) == ReportOutcome::kAccepted);
  REQUIRE(ledger.Ready());
  CHECK(ledger.Ready()->sequence == 3);
}

TEST_CASE("a later start wins, also under the same id", "[ledger]")
{
  BackendServerTracker ledger(kAddress);
  ledger.Apply(Report("a", 100, 9), kNow);
  CHECK(ledger.Apply(Report("a", 200, 1), kNow) == ReportOutcome::kAccepted);
  CHECK(ledger.Apply(Report("a", 100, 10), kNow) == ReportOutcome::kOutdated);
  CHECK(ledger.Apply(Report("b", 150, 99), kNow) == ReportOutcome::kOutdated);
  CHECK(ledger.Apply(Report("b", 300, 1), kNow) == ReportOutcome::kAccepted);
  CHECK(ledger.Ready()->id == "b");
}

TEST_CASE("a server that leaves does not come back under its start", "[ledger]")
{
  for (const auto state : { ReportedState::kDraining, ReportedState::kGone }) {
    BackendServerTracker ledger(kAddress);
    ledger.Apply(Report("a", 100, 1), kNow);
    CHECK(ledger.Apply(Saying(Report("a", 100, 2), state), kNow) ==
          ReportOutcome::kAccepted);
    CHECK(ledger.Ready() == nullptr);
    CHECK(ledger.Apply(Report("a", 100, 3), kNow) == ReportOutcome::kOutdated);
    CHECK(ledger.Ready() == nullptr);
    CHECK(ledger.Apply(Report("a", 400, 1), kNow) == ReportOutcome::kAccepted);
    CHECK(ledger.Ready() != nullptr);
  }
}

TEST_CASE("a sign-off may name nothing but the id", "[ledger]")
{
  BackendServerTracker ledger(kAddress);
  ledger.Apply(Report("a", 100, 1), kNow);
  ServerReport other;
  other.id = "b";
  other.state = ReportedState::kGone;
  CHECK(ledger.Apply(other, kNow) == ReportOutcome::kAccepted);
  CHECK(ledger.Ready() != nullptr);
  ServerReport old = other;
  old.id = "a";
  old.startedAtMs = 50;
  CHECK(ledger.Apply(old, kNow) == ReportOutcome::kOutdated);
  CHECK(ledger.Ready() != nullptr);
  old.startedAtMs = 0;
  CHECK(ledger.Apply(old, kNow) == ReportOutcome::kAccepted);
  CHECK(ledger.Ready() == nullptr);
}

TEST_CASE("reports of others name nobody", "[ledger]")
{
  BackendServerTracker ledger(kAddress);
  ServerReport elsewhere = Report("a", 100, 1);
  elsewhere.address = "10.0.0.2:80";
  CHECK(ledger.Apply(elsewhere, kNow) == ReportOutcome::kForeign);
  ServerReport without = Report("a", 0, 1);
  CHECK(ledger.Apply(without, kNow) == ReportOutcome::kForeign);
  CHECK(ledger.Latest() == nullptr);
}

TEST_CASE("a silent server is forgotten", "[ledger]")
{
  BackendServerTracker ledger(kAddress);
  ledger.Apply(Report("a", 100, 1), kNow);
  CHECK_FALSE(ledger.Expire(kNow + Milliseconds(900), Milliseconds(1000)));
  CHECK(ledger.Expire(kNow + Milliseconds(1100), Milliseconds(1000)));
  CHECK(ledger.Ready() == nullptr);
}
