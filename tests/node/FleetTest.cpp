// Configurations and rollouts in a fleet, while nodes, peers and the store
// fail.

#include "fakes/FakeFleet.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using fakes::FakeFleet;
using fakes::PlatformFault;

namespace {

constexpr std::uint64_t kSeeds = 8;
constexpr Milliseconds kSettle{ 6000 };
constexpr Milliseconds kApplyBound{ 2000 }; ///< of the platform's pages
constexpr Milliseconds kRollout{ 16'000 };

/** Twelve nodes in three zones that hold configuration 5. */
std::unique_ptr<FakeFleet>
Settled(std::uint64_t aSeed)
{
  auto fleet = std::make_unique<FakeFleet>(aSeed);
  for (int n = 0; n < 12; ++n) {
    fleet->Add("zone" + std::to_string(n % 3), "svc");
  }
  fleet->WriteConfig(5);
  fleet->StartAll();
  fleet->clock.RunFor(kSettle);
  REQUIRE(fleet->AllServe(5));
  return fleet;
}

} // namespace

TEST_CASE("a configuration is in force everywhere in time", "[fleet]")
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
    { "the store is silent to five nodes",
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
    { "a fifth of the datagrams is lost",
      [](FakeFleet& aFleet) { aFleet.loss = 0.2; } },
    { "six nodes die",
      [](FakeFleet& aFleet) {
        for (std::size_t n = 0; n < 6; ++n) {
          aFleet.Kill(aFleet.nodes[n]);
        }
      } },
  };
  for (const auto& fault : faults) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      for (const int delay : { 0, 700, 2500 }) {
        INFO(fault.name << ", seed " << seed << ", after " << delay << " ms");
        const auto fleet = Settled(seed);
        fault.inject(*fleet);
        fleet->clock.RunFor(Milliseconds(delay));
        fleet->WriteConfig(9);
        fleet->clock.RunFor(kApplyBound);
        CHECK(fleet->AllServe(9));
      }
    }
  }
}

TEST_CASE("a storm of configurations ends with the newest, none falls back",
          "[fleet]")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    const auto fleet = Settled(seed);
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
    fleet->clock.RunFor(kApplyBound);
    CHECK(fleet->AllServe(38));
    CHECK_FALSE(fleet->configRegressed);
  }
}

TEST_CASE("the store is read by few, however many nodes there are", "[fleet]")
{
  FakeFleet fleet(3);
  for (int n = 0; n < 60; ++n) {
    fleet.Add("zone" + std::to_string(n % 3), "svc");
  }
  fleet.WriteConfig(5);
  fleet.StartAll();
  fleet.clock.RunFor(kSettle);
  REQUIRE(fleet.AllServe(5));
  const std::uint64_t before = fleet.shared.reads;
  constexpr std::uint64_t kChanges = 20;
  for (std::uint64_t version = 6; version < 6 + kChanges; ++version) {
    fleet.WriteConfig(version);
    fleet.clock.RunFor(Milliseconds(1000));
  }
  CHECK(fleet.AllServe(5 + kChanges));
  constexpr std::uint64_t kReaders = 6;
  CHECK(fleet.shared.reads - before <= kReaders * (kChanges + 10) + 20);
}

TEST_CASE("the first configuration may come long after the start", "[fleet]")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    FakeFleet fleet(seed);
    for (int n = 0; n < 12; ++n) {
      fleet.Add("zone" + std::to_string(n % 3), "svc");
    }
    fleet.StartAll();
    fleet.clock.RunFor(Milliseconds(4000));
    fleet.WriteConfig(5);
    fleet.clock.RunFor(kApplyBound);
    CHECK(fleet.AllServe(5));
  }
}

TEST_CASE("a herd's start stays within the store's rates", "[fleet]")
{
  // 2,000 reads and 400 writes a second for 600 nodes: three reads a node.
  constexpr std::uint64_t kNodes = 80;
  constexpr std::uint64_t kReadsEach = 3;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const bool again : { false, true }) {
      INFO("seed " << seed << (again ? ", rows of an earlier start" : ""));
      FakeFleet fleet(seed);
      for (std::uint64_t n = 0; n < kNodes; ++n) {
        fleet.Add("zone" + std::to_string(n % 4), "svc");
      }
      fleet.WriteConfig(5);
      fleet.StartAll();
      if (again) {
        fleet.clock.RunFor(kSettle);
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
      CHECK(fleet.shared.reads <= kNodes * kReadsEach);
      CHECK(fleet.shared.writes <= kNodes);
    }
  }
}

TEST_CASE("a fleet that lost power everywhere comes back from the store",
          "[fleet]")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    const auto fleet = Settled(seed);
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

TEST_CASE("a good version is completed in time, also when its judge dies",
          "[fleet]")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const std::size_t deaths : { 0, 2, 5 }) {
      INFO("seed " << seed << ", " << deaths << " deaths");
      const auto fleet = Settled(seed);
      for (int n = 0; n < 6; ++n) {
        fleet->Start(fleet->Add("zone" + std::to_string(n % 3), "svc", "v2"));
      }
      fleet->clock.RunFor(Milliseconds(2000));
      fleet->OrderRollout("v2", kRollout);
      fleet->clock.RunFor(Milliseconds(5000));
      CHECK(fleet->RolloutState() == "active");
      for (std::size_t n = 0; n < deaths; ++n) {
        fleet->Kill(fleet->nodes[n * 2]);
      }
      fleet->clock.RunFor(kRollout - Milliseconds(5000));
      CHECK(fleet->RolloutState() == "completed");
    }
  }
}

TEST_CASE("a bad version is taken back, and gets few calls", "[fleet]")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const bool storeFails : { false, true }) {
      INFO("seed " << seed << (storeFails ? ", store fails for half" : ""));
      const auto fleet = Settled(seed);
      for (int n = 0; n < 6; ++n) {
        fleet->Start(fleet->Add("zone" + std::to_string(n % 3), "svc", "v2"));
      }
      fleet->clock.RunFor(Milliseconds(2000));
      fleet->failShare = 0.5;
      fleet->totalCalls = 0;
      fleet->OrderRollout("v2", kRollout);
      fleet->clock.RunFor(Milliseconds(1000));
      for (std::size_t n = 0; storeFails && n < fleet->nodes.size(); n += 2) {
        fleet->nodes[n].storeFault = PlatformFault::kDown;
      }
      fleet->clock.RunFor(kRollout);
      CHECK(fleet->RolloutState() == "rolled_back");
      // A tenth of the calls, of the platform's pages.
      CHECK(fleet->callsToNewVersion * 10 <= fleet->totalCalls);
      const std::uint64_t before = fleet->callsToNewVersion;
      fleet->clock.RunFor(Milliseconds(3000));
      CHECK(fleet->callsToNewVersion == before);
    }
  }
}
