// Tests that the progress of a rollout does not depend on the order of
// messages, and that faulty versions are condemned and good ones are not.

#include "knapweedpaddle/moves/RolloutEvaluator.h"
#include "knapweedpaddle/moves/RolloutTracker.h"

#include <catch2/catch.hpp>
#include <random>

using namespace knapweedpaddle;
using namespace knapweedpaddle::moves;
using config::CallClass;

namespace {

const Timestamp kNow{ std::chrono::hours(1) };

operators::RolloutOrder
Order(std::uint64_t aRevision)
{
  return { "timetable", "v2", Milliseconds(16'000), aRevision };
}

/** Returns a report of one node about one route. */
EvidenceReport
ReportOf(std::uint64_t aNode,
         const std::string& aRoute,
         VersionCounts aBefore,
         VersionCounts aAfter)
{
  EvidenceReport report;
  report.node = nodes::NodeId{ aNode };
  report.incarnation = 1;
  report.routes.push_back({ "rollout/timetable/v2", aRoute, aBefore, aAfter });
  return report;
}

/** Draws at random how many of some calls are bad. */
std::uint64_t
BadOf(std::uint64_t aCalls, double aShare, std::mt19937_64& aRandom)
{
  return std::binomial_distribution<std::uint64_t>(aCalls, aShare)(aRandom);
}

/** Returns the texts of selectors, for comparisons. */
std::vector<std::string>
TextOf(const std::vector<routing::VersionSelector>& aSelectors)
{
  std::vector<std::string> out;
  out.reserve(aSelectors.size());
  for (const auto& it : aSelectors) {
    out.push_back(it.ToString());
  }
  return out;
}

} // namespace

TEST_CASE("rollout progress does not depend on the order of messages",
          "[rollout]")
{
  RolloutTracker sender;
  sender.AddOrder(Order(7), kNow);
  std::vector<nodes::MoveProgress> messages = sender.Progress();
  for (const auto stage : { RolloutStage::kQuarter, RolloutStage::kHalf }) {
    sender.Advance("timetable", stage, false, "", kNow);
    messages.push_back(sender.Progress().front());
  }
  sender.Advance("timetable", RolloutStage::kDecided, true, "fails", kNow);
  messages.push_back(sender.Progress().front());

  std::mt19937_64 random(3);
  for (int n = 0; n < 50; ++n) {
    std::ranges::shuffle(messages, random);
    RolloutTracker tracker;
    if (n % 2 == 0) {
      tracker.AddOrder(Order(7), kNow);
    }
    for (const auto& it : messages) {
      tracker.Merge(it, kNow);
    }
    const Rollout& rollout = tracker.All().at("timetable");
    CHECK(rollout.stage == RolloutStage::kDecided);
    CHECK(rollout.condemned);
    CHECK(rollout.order.toVersion == "v2");
  }
}

TEST_CASE("an order replaces an older order and never a newer one", "[rollout]")
{
  RolloutTracker tracker;
  CHECK(tracker.AddOrder(Order(7), kNow));
  tracker.Advance("timetable", RolloutStage::kRecorded, true, "fails", kNow);
  CHECK_FALSE(tracker.AddOrder(Order(7), kNow));
  CHECK_FALSE(tracker.AddOrder(Order(5), kNow));
  CHECK(tracker.All().at("timetable").condemned);
  CHECK(tracker.AddOrder(Order(9), kNow));
  CHECK_FALSE(tracker.All().at("timetable").condemned);
  RolloutTracker old;
  old.AddOrder(Order(7), kNow);
  old.Advance("timetable", RolloutStage::kHalf, false, "", kNow);
  CHECK_FALSE(tracker.Merge(old.Progress().front(), kNow));
  CHECK(tracker.All().at("timetable").stage == RolloutStage::kCanary);
}

// Guards against a version that was condemned and gets calls again because of a
// later order, however a node learned of both.
TEST_CASE("a later order does not make a node forget a condemned version",
          "[rollout]")
{
  RolloutTracker sender;
  sender.AddOrder(Order(7), kNow);
  sender.Advance("timetable", RolloutStage::kDecided, true, "fails", kNow);
  const auto condemned = sender.Progress();
  sender.AddOrder({ "timetable", "v3", Milliseconds(16'000), 9 }, kNow);
  const auto versions = [](const RolloutTracker& aTracker, double aDraw) {
    routing::RoutingView view;
    view.splits["timetable"] = aTracker.SplitOf("timetable");
    return view.VersionsFor("timetable", CallClass::kIdempotent, aDraw);
  };
  const auto isUsed = [&versions](const RolloutTracker& aTracker,
                                  const std::string& aVersion) {
    bool used = false;
    for (const double draw : { 0.01, 0.99 }) {
      for (const auto& it : versions(aTracker, draw)) {
        used |= it.Matches(aVersion);
      }
    }
    return used;
  };
  RolloutTracker joined; // Learns of both orders from a peer.
  for (const auto& it : sender.Progress()) {
    joined.Merge(it, kNow);
  }
  RolloutTracker late; // Learns of the verdict after the next order.
  late.AddOrder({ "timetable", "v3", Milliseconds(16'000), 9 }, kNow);
  CHECK(isUsed(late, "v2"));
  for (const auto& it : condemned) {
    CHECK(late.Merge(it, kNow));
  }
  for (const RolloutTracker* it : { &sender, &joined, &late }) {
    CHECK_FALSE(isUsed(*it, "v2"));
    CHECK(isUsed(*it, "v1"));
    CHECK(isUsed(*it, "v3"));
  }
  // Operators may order the version again, whatever peers still tell of it.
  late.AddOrder(Order(12), kNow);
  for (const auto& it : condemned) {
    CHECK_FALSE(late.Merge(it, kNow));
  }
  CHECK(isUsed(late, "v2"));
}

// Guards against a version that gets its whole share of the calls untested,
// because another order replaced its own before its rollout was decided.
TEST_CASE("a version whose rollout was not finished is used only if no other "
          "is left",
          "[rollout]")
{
  RolloutTracker tracker;
  tracker.AddOrder(Order(7), kNow);
  tracker.AddOrder({ "timetable", "v3", Milliseconds(16'000), 9 }, kNow);
  routing::RoutingView view;
  view.splits["timetable"] = tracker.SplitOf("timetable");
  const auto versions =
    TextOf(view.VersionsFor("timetable", CallClass::kIdempotent, 0.99));
  CHECK(versions == std::vector<std::string>{ "!v3,v2", "v2" });
}

TEST_CASE("a condemned version gets no calls, a completed one may get all",
          "[rollout]")
{
  RolloutTracker tracker;
  tracker.AddOrder(Order(7), kNow);
  routing::RoutingView view;
  const auto versions = [&](double aDraw) {
    view.splits["timetable"] = tracker.SplitOf("timetable");
    return TextOf(view.VersionsFor("timetable", CallClass::kIdempotent, aDraw));
  };
  CHECK(versions(0.04) == std::vector<std::string>{ "v2", "!v2" });
  CHECK(versions(0.06) == std::vector<std::string>{ "!v2" });
  tracker.Advance("timetable", RolloutStage::kAll, false, "", kNow);
  CHECK(versions(0.99) == std::vector<std::string>{ "v2" });
  RolloutTracker bad;
  bad.AddOrder(Order(7), kNow);
  bad.Advance("timetable", RolloutStage::kDecided, true, "fails", kNow);
  view.splits["timetable"] = bad.SplitOf("timetable");
  CHECK(TextOf(view.VersionsFor("timetable", CallClass::kIdempotent, 0.01)) ==
        std::vector<std::string>{ "!v2" });
  CHECK(view.VersionsFor("another", CallClass::kIdempotent, 0.5).empty());
}

TEST_CASE("faulty versions are condemned soon after the fault begins",
          "[rollout]")
{
  struct Fault
  {
    std::string name;
    double failures;
    double slow;
    bool oneRoute;
    int firstStep; ///< step at which the fault begins
  };
  const std::vector<Fault> faults{
    { "fails at once", 0.5, 0, false, 0 },
    { "fails on one route", 0.5, 0, true, 0 },
    { "fails later", 0.5, 0, false, 20 },
    { "slow at once", 0, 0.9, false, 0 },
    { "slow on one route, later", 0, 0.9, true, 20 },
  };
  constexpr int kSteps = 40;
  constexpr int kMaxDetectionSteps = 12;
  for (const auto& fault : faults) {
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
      std::mt19937_64 random(seed);
      RolloutEvaluator evaluator;
      VersionCounts before[2];
      VersionCounts after[2];
      int condemnedAt = -1;
      for (int step = 0; step < kSteps && condemnedAt < 0; ++step) {
        for (int route = 0; route < 2; ++route) {
          const bool bad =
            step >= fault.firstStep && (!fault.oneRoute || route == 0);
          before[route].calls += 20;
          before[route].failures += BadOf(20, 0.01, random);
          before[route].slow += BadOf(20, 0.07, random);
          after[route].calls += 3;
          after[route].failures +=
            BadOf(3, bad ? fault.failures : 0.01, random);
          after[route].slow += BadOf(3, bad ? fault.slow : 0.07, random);
          evaluator.Report(
            ReportOf(
              1, "route" + std::to_string(route), before[route], after[route]),
            kNow + Milliseconds(250 * step));
        }
        if (!evaluator.FindRegression(kNow + Milliseconds(250 * step))
               .empty()) {
          condemnedAt = step;
        }
      }
      INFO(fault.name << ", seed " << seed);
      CHECK(condemnedAt >= fault.firstStep);
      CHECK(condemnedAt <= fault.firstStep + kMaxDetectionSteps);
    }
  }
}

TEST_CASE("a good version is not condemned for faults that both versions have",
          "[rollout]")
{
  int condemned = 0;
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    std::mt19937_64 random(seed);
    RolloutEvaluator evaluator;
    VersionCounts before;
    VersionCounts after;
    bool bad = false;
    for (int step = 0; step < 40; ++step) {
      const double failures = step > 20 ? 0.2 : 0.01;
      before.calls += 40;
      before.failures += BadOf(40, failures, random);
      before.slow += BadOf(40, 0.1, random);
      after.calls += 6;
      after.failures += BadOf(6, failures, random);
      after.slow += BadOf(6, 0.1, random);
      const Timestamp now = kNow + Milliseconds(250 * step);
      evaluator.Report(ReportOf(1, "route", before, after), now);
      bad |= !evaluator.FindRegression(now).empty();
    }
    condemned += bad ? 1 : 0;
  }
  CHECK(condemned <= 4); // at most 2% of good versions
}

TEST_CASE("the counts of a restarted node start from zero", "[rollout]")
{
  RolloutEvaluator evaluator;
  evaluator.Report(ReportOf(1, "route", {}, { 30, 0, 0 }), kNow);
  EvidenceReport restarted = ReportOf(1, "route", {}, { 10, 0, 0 });
  restarted.incarnation = 2;
  evaluator.Report(restarted, kNow);
  CHECK(evaluator.NewVersionCalls() == 40);
}
