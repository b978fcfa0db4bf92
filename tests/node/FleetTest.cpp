// Checks that configurations and rollouts reach every node of a fleet in time
// while nodes, the links between them or the store fail.

#include "fakes/SettledFleet.h"
#include "knapweedpaddle/store/CatalogueRows.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using fakes::FakeFleet;
using fakes::PlatformFault;
using fakes::SettledFleet;

namespace {

constexpr std::uint64_t kSeedCount = 8;
constexpr Milliseconds kSettleTime{ 6000 };
/** The platform's limit until a written configuration is in force. */
constexpr Milliseconds kMaxApplyTime{ 2000 };
constexpr Milliseconds kRolloutDuration{ 16'000 };

/** Returns a settled fleet in which six servers of each of some further
 * versions have started. */
std::unique_ptr<FakeFleet>
FleetWithServersOf(const std::vector<std::string>& aVersions,
                   std::uint64_t aSeed)
{
  auto fleet = SettledFleet(aSeed);
  for (int n = 0; n < 6; ++n) {
    for (const auto& version : aVersions) {
      fleet->Start(fleet->Add("zone" + std::to_string(n % 3), "svc", version));
    }
  }
  fleet->clock.RunFor(Milliseconds(2000));
  return fleet;
}

/** What happens around the order of the next version. */
enum class NextOrderTrouble
{
  kNone,
  kSomeRestart, ///< half of the nodes, after the order
  kAllRestart,  ///< all nodes, after the order
  kCutOff,      ///< one node, from before the rollback until the order
};

/** Rolls a failing version back, orders the next one, and checks that the first
 * one gets no calls while the second one is completed. */
void
CheckNextOrder(NextOrderTrouble aTrouble)
{
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    INFO("seed " << seed);
    const auto fleet = FleetWithServersOf({ "v2", "v3" }, seed);
    fleet->failShare = 0.5;
    fleet->OrderRollout("v2", kRolloutDuration);
    fleet->clock.RunFor(Milliseconds(500));
    if (aTrouble == NextOrderTrouble::kCutOff) {
      fleet->nodes[1].cutFromPeers = true;
      fleet->nodes[1].storeFault = PlatformFault::kDown;
    }
    fleet->clock.RunFor(Milliseconds(5500));
    REQUIRE(fleet->RolloutState() == "rolled_back");
    fleet->nodes[1].cutFromPeers = false;
    fleet->nodes[1].storeFault = PlatformFault::kNone;
    fleet->OrderRollout("v3", kRolloutDuration);
    fleet->clock.RunFor(Milliseconds(1000));
    for (std::size_t n = 0; n < fleet->nodes.size(); ++n) {
      if (aTrouble == NextOrderTrouble::kAllRestart ||
          (aTrouble == NextOrderTrouble::kSomeRestart && n % 2 == 0)) {
        fleet->Start(fleet->nodes[n]);
      }
    }
    fleet->clock.RunFor(Milliseconds(2000));
    const std::uint64_t before = fleet->callsToNewVersion;
    const std::uint64_t totalBefore = fleet->totalCalls;
    fleet->clock.RunFor(kRolloutDuration);
    CHECK(fleet->RolloutState() == "completed");
    CHECK(fleet->totalCalls > totalBefore);
    CHECK(fleet->callsToNewVersion == before);
  }
}

} // namespace

// Guards against nodes that miss a new configuration because their way to the
// store or to their peers fails shortly before it is written.
TEST_CASE("a new configuration reaches every running node within the limit",
          "[fleet]")
{
  struct Fault
  {
    std::string name;
    std::function<void(FakeFleet&)> inject;
  };
  const std::vector<Fault> faults{
    { "none", [](FakeFleet&) {} },
    { "the store refuses a third of the nodes",
      [](FakeFleet& aFleet) {
        for (std::size_t n = 0; n < 4; ++n) {
          aFleet.nodes[n * 3].storeFault = PlatformFault::kDown;
        }
      } },
    { "five nodes get no answer from the store",
      [](FakeFleet& aFleet) {
        for (std::size_t n = 0; n < 5; ++n) {
          aFleet.nodes[n].storeFault = PlatformFault::kLostRequest;
        }
      } },
    { "three nodes are cut from their peers",
      [](FakeFleet& aFleet) {
        for (std::size_t n = 0; n < 3; ++n) {
          aFleet.nodes[n].cutFromPeers = true;
        }
      } },
    { "all nodes are cut from each other",
      [](FakeFleet& aFleet) {
        for (auto& it : aFleet.nodes) {
          it.cutFromPeers = true;
        }
      } },
    { "a fifth of the datagrams between nodes is lost",
      [](FakeFleet& aFleet) { aFleet.loss = 0.2; } },
    { "six nodes die",
      [](FakeFleet& aFleet) {
        for (std::size_t n = 0; n < 6; ++n) {
          aFleet.Kill(aFleet.nodes[n]);
        }
      } },
  };
  for (const auto& fault : faults) {
    for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
      for (const int delay : { 0, 700, 2500 }) {
        INFO(fault.name << ", seed " << seed << ", after " << delay << " ms");
        const auto fleet = SettledFleet(seed);
        fault.inject(*fleet);
        fleet->clock.RunFor(Milliseconds(delay));
        fleet->WriteConfig(9);
        fleet->clock.RunFor(kMaxApplyTime);
        CHECK(fleet->AllServe(9));
      }
    }
  }
}

// Guards against idle slots: a stopping node sends its callers away at once,
// but peers use its backend server until it announces the stop.
TEST_CASE("the server of a stopping node gets calls until the node leaves",
          "[fleet][stop]")
{
  const auto fleet = SettledFleet(1);
  FakeFleet::NodeState& stopping = fleet->nodes[2];
  const auto targets = [&] {
    std::size_t count = 0;
    for (const auto& [service, list] : fleet->nodes[0].view->targets) {
      count += static_cast<std::size_t>(std::ranges::count(
        list, stopping.core->Members().Self().node, &routing::Target::node));
    }
    return count;
  };
  REQUIRE(stopping.core->IsReady());
  REQUIRE(targets() == 1);
  stopping.core->BeginStop();
  fleet->clock.RunFor(Milliseconds(1000));
  CHECK_FALSE(stopping.core->IsReady());
  CHECK(targets() == 1);
  stopping.core->Leave();
  fleet->clock.RunFor(Milliseconds(1000));
  CHECK(targets() == 0);
}

TEST_CASE("all nodes learn in time which request crashed servers", "[fleet]")
{
  constexpr std::uint64_t kRequest = 77;
  /** The platform's limit until a machine is in touch. */
  constexpr Milliseconds kMaxContactTime{ 3000 };
  for (std::uint64_t seed = 0; seed < kSeedCount; ++seed) {
    const auto fleet = SettledFleet(seed);
    fleet->loss = 0.05;
    for (std::size_t n = 0; n < 3; ++n) {
      fleet->nodes[n].core->TakeSuspects({ { kRequest, 1, false } });
    }
    fleet->clock.RunFor(kMaxContactTime);
    for (std::size_t n = 0; n < fleet->nodes.size(); ++n) {
      const CrashSuspects& others = fleet->nodes[n].view->suspects;
      REQUIRE(others.contains(kRequest));
      CHECK(others.at(kRequest).crashes == (n < 3 ? 2U : 3U));
      CHECK_FALSE(others.at(kRequest).answered);
    }
    fleet->nodes[5].core->TakeSuspects({ { kRequest, 0, true } });
    fleet->clock.RunFor(kMaxContactTime);
    CHECK(fleet->nodes[0].view->suspects.at(kRequest).answered);
  }
}

// Guards against a node that goes back to an older version when several writes
// are on their way to it at once by different paths, and nodes restart.
TEST_CASE("many writes in a row end with the newest version, and no node goes "
          "back",
          "[fleet]")
{
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    INFO("seed " << seed);
    const auto fleet = SettledFleet(seed);
    fleet->loss = 0.05;
    for (std::uint64_t version = 6; version < 40; version += 2) {
      fleet->WriteConfig(version);
      fleet->clock.RunFor(Milliseconds(200));
      if (version == 20) {
        fleet->Kill(fleet->nodes[4]);
      }
      if (version == 30) {
        fleet->Start(fleet->nodes[4]);
      }
    }
    fleet->clock.RunFor(kMaxApplyTime);
    CHECK(fleet->AllServe(38));
    CHECK_FALSE(fleet->configRegressed);
  }
}

// Guards against a load on the store that grows with the number of nodes: only
// two readers in each zone may follow it.
TEST_CASE(
  "60 nodes read the store little more often than their six readers need",
  "[fleet]")
{
  FakeFleet fleet(3);
  for (int n = 0; n < 60; ++n) {
    fleet.Add("zone" + std::to_string(n % 3), "svc");
  }
  fleet.WriteConfig(5);
  fleet.StartAll();
  fleet.clock.RunFor(kSettleTime);
  REQUIRE(fleet.AllServe(5));
  const std::uint64_t before = fleet.shared.reads;
  constexpr std::uint64_t kChanges = 20;
  for (std::uint64_t version = 6; version < 6 + kChanges; ++version) {
    fleet.WriteConfig(version);
    fleet.clock.RunFor(Milliseconds(1000));
  }
  CHECK(fleet.AllServe(5 + kChanges));
  constexpr std::uint64_t kReaderNodes = 6;
  CHECK(fleet.shared.reads - before <= kReaderNodes * (kChanges + 10) + 20);
}

// Guards against nodes that stop looking for a configuration when the store
// held none at their start.
TEST_CASE("nodes apply a first configuration that is written after their start",
          "[fleet]")
{
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    INFO("seed " << seed);
    FakeFleet fleet(seed);
    for (int n = 0; n < 12; ++n) {
      fleet.Add("zone" + std::to_string(n % 3), "svc");
    }
    fleet.StartAll();
    fleet.clock.RunFor(Milliseconds(4000));
    fleet.WriteConfig(5);
    fleet.clock.RunFor(kMaxApplyTime);
    CHECK(fleet.AllServe(5));
  }
}

TEST_CASE("odd rows of another writer don't keep nodes from finding each other",
          "[fleet]")
{
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    INFO("seed " << seed);
    FakeFleet fleet(seed);
    for (int n = 0; n < 12; ++n) {
      fleet.Add("zone" + std::to_string(n % 3), "svc");
    }
    fleet.WriteConfig(5);
    store::Transaction transaction;
    int key = 0;
    for (const std::string& it : { std::string(60'000, '['),
                                   std::string("10.0.0.1:65616"),
                                   std::string("99999999999999999999:1"),
                                   std::string() }) {
      transaction.writes.push_back(
        { store::kMemberPrefix + std::to_string(++key), it, false });
    }
    fleet.shared.table.Commit(transaction);
    fleet.StartAll();
    fleet.clock.RunFor(kSettleTime);
    CHECK(fleet.AllServe(5));
    for (const auto& it : fleet.nodes) {
      CHECK(it.core->Members().Members().size() == 11);
    }
  }
}

// Guards against a load peak on the store when all nodes start together: each
// starting node could take itself for a reader, or read member rows before any
// is written.
TEST_CASE("a simultaneous start of all nodes stays within the store's limits",
          "[fleet]")
{
  // The store allows 2,000 reads and 400 writes a second for 600 nodes, which
  // is three reads for each node.
  constexpr std::uint64_t kNodes = 80;
  constexpr std::uint64_t kReadsPerNode = 3;
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    for (const bool isRestart : { false, true }) {
      INFO(
        "seed " << seed
                << (isRestart ? ", member rows left by an earlier start" : ""));
      FakeFleet fleet(seed);
      for (std::uint64_t n = 0; n < kNodes; ++n) {
        fleet.Add("zone" + std::to_string(n % 4), "svc");
      }
      fleet.WriteConfig(5);
      fleet.StartAll();
      if (isRestart) {
        fleet.clock.RunFor(kSettleTime);
        for (auto& it : fleet.nodes) {
          fleet.Kill(it);
        }
        fleet.shared.reads = 0;
        fleet.shared.writes = 0;
        fleet.StartAll();
      }
      fleet.clock.RunFor(Milliseconds(3000));
      CHECK(fleet.AllServe(5));
      for (const auto& it : fleet.nodes) {
        REQUIRE(it.view);
        CHECK(it.view->targets.at("svc").size() == kNodes);
      }
      CHECK(fleet.shared.reads <= kNodes * kReadsPerNode);
      CHECK(fleet.shared.writes <= kNodes);
    }
  }
}

// Guards against nodes that know only some of the members, or an old version,
// after all nodes stopped at once and started again with a slow store.
TEST_CASE("a fleet that lost power everywhere comes back from the store",
          "[fleet]")
{
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    INFO("seed " << seed);
    const auto fleet = SettledFleet(seed);
    for (auto& it : fleet->nodes) {
      fleet->Kill(it);
    }
    fleet->clock.RunFor(Milliseconds(1000));
    fleet->WriteConfig(8);
    for (auto& it : fleet->nodes) {
      it.storeFault = PlatformFault::kSlow;
    }
    fleet->StartAll();
    fleet->clock.RunFor(Milliseconds(3000));
    CHECK(fleet->AllServe(8));
    for (const auto& it : fleet->nodes) {
      REQUIRE(it.view);
      CHECK(it.view->targets.at("svc").size() == fleet->nodes.size());
    }
  }
}

// Guards against a rollout that stops when the nodes that judge it die: others
// have to take over from the stage that it had reached.
TEST_CASE("a rollout of a good version is completed in time, also when judges "
          "die",
          "[fleet]")
{
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    for (const std::size_t deaths : { 0, 2, 5 }) {
      INFO("seed " << seed << ", " << deaths << " deaths");
      const auto fleet = FleetWithServersOf({ "v2" }, seed);
      fleet->OrderRollout("v2", kRolloutDuration);
      fleet->clock.RunFor(Milliseconds(5000));
      CHECK(fleet->RolloutState() == "active");
      for (std::size_t n = 0; n < deaths; ++n) {
        fleet->Kill(fleet->nodes[n * 2]);
      }
      fleet->clock.RunFor(kRolloutDuration - Milliseconds(5000));
      CHECK(fleet->RolloutState() == "completed");
    }
  }
}

// Guards against a failing version that gets too many calls, and against a
// rollback that is not reported because nodes lose the store meanwhile.
TEST_CASE(
  "a rollout of a failing version is rolled back with at most a tenth of "
  "the calls",
  "[fleet]")
{
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    for (const bool storeFails : { false, true }) {
      INFO("seed " << seed
                   << (storeFails ? ", half of the nodes lose the store" : ""));
      const auto fleet = FleetWithServersOf({ "v2" }, seed);
      fleet->failShare = 0.5;
      fleet->totalCalls = 0;
      fleet->OrderRollout("v2", kRolloutDuration);
      fleet->clock.RunFor(Milliseconds(1000));
      for (std::size_t n = 0; storeFails && n < fleet->nodes.size(); n += 2) {
        fleet->nodes[n].storeFault = PlatformFault::kDown;
      }
      fleet->clock.RunFor(kRolloutDuration);
      CHECK(fleet->RolloutState() == "rolled_back");
      // The platform allows a failing version at most a tenth of the calls.
      CHECK(fleet->callsToNewVersion * 10 <= fleet->totalCalls);
      const std::uint64_t before = fleet->callsToNewVersion;
      fleet->clock.RunFor(Milliseconds(3000));
      CHECK(fleet->callsToNewVersion == before);
    }
  }
}

// Guards against a version that was rolled back and gets calls again: the order
// of the next version must not make any node forget it.
TEST_CASE("a version that was rolled back gets no calls once the next version "
          "is ordered",
          "[fleet]")
{
  CheckNextOrder(NextOrderTrouble::kNone);
}

TEST_CASE(
  "a version that was rolled back gets no calls after half of the nodes "
  "were restarted",
  "[fleet]")
{
  CheckNextOrder(NextOrderTrouble::kSomeRestart);
}

TEST_CASE("a version that was rolled back gets no calls after all nodes were "
          "restarted",
          "[fleet]")
{
  CheckNextOrder(NextOrderTrouble::kAllRestart);
}

TEST_CASE("a version that was rolled back gets no calls from a node that was "
          "cut off",
          "[fleet]")
{
  CheckNextOrder(NextOrderTrouble::kCutOff);
}

// Guards against a repaired version that is condemned for the failures that led
// to its earlier rollback.
TEST_CASE("a version that was rolled back and repaired is completed when it is "
          "ordered again",
          "[fleet]")
{
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    INFO("seed " << seed);
    const auto fleet = FleetWithServersOf({ "v2" }, seed);
    fleet->failShare = 0.5;
    fleet->OrderRollout("v2", kRolloutDuration);
    fleet->clock.RunFor(kRolloutDuration);
    REQUIRE(fleet->RolloutState() == "rolled_back");
    fleet->failShare = 0;
    fleet->OrderRollout("v2", kRolloutDuration);
    fleet->clock.RunFor(kRolloutDuration);
    CHECK(fleet->RolloutState() == "completed");
  }
}

TEST_CASE("a change is in force in time although the restored store gave its "
          "revision out before",
          "[fleet]")
{
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    for (const int rowsAfter : { 0, 40 }) {
      INFO("seed " << seed << ", " << rowsAfter << " rows after the change");
      const auto fleet = SettledFleet(seed);
      const standins::InMemoryStore copy = fleet->shared.table;
      fleet->WriteConfig(6);
      fleet->WriteOtherRows(20);
      fleet->clock.RunFor(kMaxApplyTime);
      REQUIRE(fleet->AllServe(6));
      fleet->RestoreStore(copy, [&] {
        fleet->WriteConfig(6);
        fleet->WriteConfig(7);
        fleet->WriteOtherRows(rowsAfter);
      });
      fleet->clock.RunFor(kMaxApplyTime);
      CHECK(fleet->AllServe(7));
      CHECK_FALSE(fleet->configRegressed);
    }
  }
}

TEST_CASE("a rollout is neither begun anew nor forgotten when the store is "
          "restored",
          "[fleet]")
{
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    // Seconds after the order; the last one is after the rollout's end.
    for (const int restoredAfter : { 3, 9, 15 }) {
      for (const int rowsBefore : { 0, 30 }) {
        INFO("seed " << seed << ", restored after " << restoredAfter
                     << " s, with " << rowsBefore << " rows before the order");
        const auto fleet = FleetWithServersOf({ "v2" }, seed);
        const standins::InMemoryStore copy = fleet->shared.table;
        fleet->WriteOtherRows(10);
        fleet->OrderRollout("v2", kRolloutDuration);
        fleet->clock.RunFor(Milliseconds(restoredAfter * 1000));
        const bool completed = fleet->RolloutState() == "completed";
        CHECK(completed == (restoredAfter == 15));
        fleet->RestoreStore(copy, [&] {
          fleet->WriteOtherRows(rowsBefore);
          fleet->OrderRollout("v2", kRolloutDuration);
        });
        if (completed) {
          const std::uint64_t before = fleet->callsToNewVersion;
          const std::uint64_t totalBefore = fleet->totalCalls;
          fleet->clock.RunFor(Milliseconds(4000));
          CHECK(fleet->RolloutState() == "completed");
          CHECK(fleet->callsToNewVersion - before ==
                fleet->totalCalls - totalBefore);
        } else {
          fleet->clock.RunFor(kRolloutDuration -
                              Milliseconds(restoredAfter * 1000 + 1000));
          CHECK(fleet->RolloutState() == "completed");
        }
      }
    }
  }
}

TEST_CASE("a rollout ordered after the store was restored is carried out",
          "[fleet]")
{
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    INFO("seed " << seed);
    const auto fleet = FleetWithServersOf({ "v2" }, seed);
    const standins::InMemoryStore copy = fleet->shared.table;
    fleet->WriteOtherRows(30);
    fleet->OrderRollout("v0", kRolloutDuration);
    fleet->clock.RunFor(Milliseconds(1000));
    fleet->RestoreStore(copy, [] {});
    fleet->OrderRollout("v2", kRolloutDuration);
    fleet->clock.RunFor(kRolloutDuration);
    CHECK(fleet->RolloutState() == "completed");
  }
}

TEST_CASE("a node that starts after the restored store lost the member rows "
          "finds its peers",
          "[fleet]")
{
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    INFO("seed " << seed);
    FakeFleet fleet(seed);
    for (int n = 0; n < 12; ++n) {
      fleet.Add("zone" + std::to_string(n % 3), "svc");
    }
    fleet.WriteConfig(5);
    const standins::InMemoryStore copy = fleet.shared.table;
    fleet.StartAll();
    fleet.clock.RunFor(kSettleTime);
    REQUIRE(fleet.AllServe(5));
    fleet.RestoreStore(copy, [] {});
    fleet.clock.RunFor(Milliseconds(2000));
    fleet.Start(fleet.Add("zone0", "svc"));
    fleet.clock.RunFor(Milliseconds(4000));
    for (const auto& it : fleet.nodes) {
      REQUIRE(it.view);
      CHECK(it.view->targets.at("svc").size() == fleet.nodes.size());
    }
  }
}
