// Orders to evacuate a zone: how they merge, reach the nodes of a fleet and
// end, while nodes, links or the store fail.

#include "fakes/SettledFleet.h"
#include "knapweedpaddle/node/EvacuationTracker.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using fakes::FakeFleet;
using fakes::PlatformFault;
using fakes::SettledFleet;
using node::EvacuationTracker;

namespace {

constexpr std::uint64_t kSeedCount = 6;
/** The platform's limit until no calls reach an evacuated zone. */
constexpr Milliseconds kMaxEvacuationTime{ 5000 };

void
Order(FakeFleet& aFleet, const std::string& aZone, bool aActive)
{
  store::Transaction transaction;
  transaction.writes.push_back({ "op/evacuate/" + aZone, "{}", !aActive });
  aFleet.shared.table.Commit(transaction);
}

/** Returns true if each running node with a view sends calls to the servers of
 * exactly the zones that are not in a set. */
bool
AllAvoid(const FakeFleet& aFleet, const std::set<std::string>& aZones)
{
  return std::ranges::all_of(aFleet.nodes, [&](const auto& aNode) {
    return !aNode.view || aNode.view->evacuatedZones == aZones;
  });
}

} // namespace

// Guards against nodes that disagree for good about a zone, as they got the
// same orders in a different order.
TEST_CASE("evacuation orders merge to the same state in any order",
          "[evacuation]")
{
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    std::vector<ZoneEvacuation> orders;
    for (std::uint64_t revision = 1; revision <= 12; ++revision) {
      orders.push_back(
        { "zone" + std::to_string(random() % 3), revision, random() % 2 == 0 });
    }
    EvacuationTracker first;
    first.Merge(orders);
    std::ranges::shuffle(orders, random);
    EvacuationTracker second;
    for (const auto& it : orders) {
      second.Merge({ it });
      second.Merge({ it });
    }
    CHECK(first.Orders() == second.Orders());
    EvacuationTracker third;
    third.Merge(second.Orders());
    CHECK(third.EvacuatedZones() == first.EvacuatedZones());
  }
}

TEST_CASE("a read of all orders ends those that it does not hold",
          "[evacuation]")
{
  EvacuationTracker it;
  CHECK(it.MergeComplete({ { "a", 5, true } }, 7));
  CHECK(it.EvacuatedZones() == std::set<std::string>{ "a" });
  CHECK_FALSE(it.MergeComplete({}, 4)); // read before the order was written
  CHECK(it.EvacuatedZones().contains("a"));
  CHECK(it.MergeComplete({}, 9));
  CHECK(it.EvacuatedZones().empty());
  CHECK_FALSE(it.Merge({ { "a", 5, true } })); // told by a peer that is late
  CHECK(it.Merge({ { "a", 12, true } }));
}

TEST_CASE("an evacuation begins and ends everywhere in time", "[evacuation]")
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
    { "the store does not answer five nodes",
      [](FakeFleet& aFleet) {
        for (std::size_t n = 0; n < 5; ++n) {
          aFleet.nodes[n].storeFault = PlatformFault::kLostRequest;
        }
      } },
    { "the connections to the store go silent",
      [](FakeFleet& aFleet) { aFleet.SilenceStoreConnections(); } },
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
    { "half of the nodes restart",
      [](FakeFleet& aFleet) {
        for (std::size_t n = 0; n < 6; ++n) {
          aFleet.Start(aFleet.nodes[n]);
        }
      } },
  };
  for (const auto& fault : faults) {
    for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
      INFO(fault.name << ", seed " << seed);
      const auto fleet = SettledFleet(seed);
      fault.inject(*fleet);
      Order(*fleet, "zone1", true);
      fleet->clock.RunFor(kMaxEvacuationTime);
      CHECK(AllAvoid(*fleet, { "zone1" }));
      Order(*fleet, "zone1", false);
      Order(*fleet, "zone2", true);
      fleet->clock.RunFor(kMaxEvacuationTime);
      CHECK(AllAvoid(*fleet, { "zone2" }));
    }
  }
}

// Guards against a node that starts while the store is down and sends calls to
// a zone whose evacuation its peers know of.
TEST_CASE("a node that starts learns of an evacuation from its peers",
          "[evacuation]")
{
  const auto fleet = SettledFleet(1);
  Order(*fleet, "zone1", true);
  fleet->clock.RunFor(kMaxEvacuationTime);
  FakeFleet::NodeState& node = fleet->nodes[0];
  fleet->Start(node);
  fleet->clock.RunFor(Milliseconds(300)); // its member row is written
  for (auto& it : fleet->nodes) {
    it.storeFault = PlatformFault::kDown;
  }
  fleet->clock.RunFor(Milliseconds(3000));
  REQUIRE(node.view);
  CHECK(node.view->evacuatedZones.contains("zone1"));
}

// Guards against an evacuation that never ends, as the store came back from a
// copy that does not hold the order.
TEST_CASE("an order that a restored store does not hold has ended",
          "[evacuation]")
{
  const auto fleet = SettledFleet(1);
  const standins::InMemoryStore copy = fleet->shared.table;
  Order(*fleet, "zone1", true);
  fleet->clock.RunFor(kMaxEvacuationTime);
  REQUIRE(AllAvoid(*fleet, { "zone1" }));
  fleet->RestoreStore(copy, [] {});
  fleet->clock.RunFor(kMaxEvacuationTime);
  CHECK(AllAvoid(*fleet, {}));
}
