// Checks when a configuration counts as confirmed to be the newest one, for
// single answers and in a fleet whose nodes, links and store fail.

#include "knapweedpaddle/node/ConfigFreshness.h"

#include "fakes/SettledFleet.h"
#include "knapweedpaddle/nodes/DutyAssignment.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using fakes::FakeFleet;
using fakes::PlatformFault;
using fakes::SettledFleet;
using nodes::GossipKind;
using nodes::GossipMessage;
using nodes::MemberState;

namespace {

constexpr std::uint64_t kSeedCount = 8;
constexpr Milliseconds kStep{ 100 };
/** The platform's limit until a written configuration is in force. */
constexpr Milliseconds kMaxApplyTime{ 2000 };
/** The platform's limit until a machine is in touch after a fault. */
constexpr Milliseconds kMaxContactTime{ 3000 };

nodes::MemberRecord
Record(int aNumber, const std::string& aZone)
{
  nodes::MemberRecord record;
  record.node =
    *nodes::ParseNodeId("10.0.0." + std::to_string(aNumber) + ":7100");
  record.zone = aZone;
  record.state = MemberState::kServing;
  record.incarnation = 1;
  return record;
}

/** Membership of node aSelf of aCount nodes that all know each other. */
nodes::Membership
MembershipOf(int aSelf, int aCount, int aZones = 1)
{
  const auto zone = [aZones](int aNumber) {
    return "zone" + std::to_string(aNumber % aZones);
  };
  nodes::Membership members({}, Record(aSelf, zone(aSelf)), 1);
  for (int n = 1; n <= aCount; ++n) {
    if (n != aSelf) {
      members.MergeAndDisseminate(
        { Record(n, zone(n)), nodes::Liveness::kAlive }, Timestamp{});
    }
  }
  return members;
}

/** The freshness of node 1 of two, and the messages that it sends. */
struct Fixture
{
  /** Lets time pass until this node has sent its next query. */
  GossipMessage NextQuery()
  {
    const std::size_t before = sent.size();
    while (sent.size() == before) {
      clock.RunFor(kStep);
      freshness.Tick();
    }
    return sent.back().message;
  }

  /** Returns the other node's answer to a query. */
  GossipMessage AnswerTo(const GossipMessage& aQuery,
                         std::optional<Milliseconds> aAge) const
  {
    GossipMessage answer;
    answer.kind = GossipKind::kConfigAnswer;
    answer.sequence = aQuery.sequence;
    answer.sender = sent.back().to;
    answer.configVersion = version;
    answer.configAge = aAge;
    return answer;
  }

  fakes::FakeClock clock;
  fakes::FakeScheduler scheduler{ clock };
  nodes::Membership members = MembershipOf(1, 2, 2);
  std::vector<nodes::Datagram> sent;
  std::vector<Microseconds> confirmed;
  std::uint64_t version = 5;
  node::ConfigFreshness freshness{
    { scheduler,
      members,
      [this](const nodes::Datagram& aDatagram) { sent.push_back(aDatagram); },
      [this] { return version; },
      [this](Microseconds aAsOf) { confirmed.push_back(aAsOf); } }
  };
};

} // namespace

// Guards against answers that wait, as in the sockets of a paused process, and
// then confirm an outdated configuration as if they were new.
TEST_CASE("an answer confirms the time of its query less the peer's age",
          "[freshness]")
{
  Fixture it;
  const GossipMessage query = it.NextQuery();
  const Microseconds sentAt = it.clock.BootTime();
  SECTION("answered late")
  {
    it.clock.RunFor(Milliseconds(300));
  }
  SECTION("answered after the VM was suspended")
  {
    it.clock.Suspend(Milliseconds(30'000));
  }
  it.freshness.Receive(it.AnswerTo(query, Milliseconds(700)));
  REQUIRE(it.confirmed.size() == 1);
  CHECK(it.confirmed[0] == sentAt - Milliseconds(700));
  CHECK(it.freshness.Age() ==
        std::chrono::ceil<Milliseconds>(it.clock.BootTime() - sentAt) +
          Milliseconds(700));
}

TEST_CASE("answers that don't concern this node's version confirm nothing",
          "[freshness]")
{
  Fixture it;
  GossipMessage answer = it.AnswerTo(it.NextQuery(), Milliseconds(0));
  SECTION("the peer has a newer version")
  {
    answer.configVersion = it.version + 1;
  }
  SECTION("the peer's own version was never confirmed")
  {
    answer.configAge.reset();
  }
  SECTION("no such query was sent")
  {
    ++answer.sequence;
  }
  SECTION("the query went to another node")
  {
    answer.sender = it.members.Self().node;
  }
  it.freshness.Receive(answer);
  CHECK(it.confirmed.empty());
  CHECK_FALSE(it.freshness.Age().has_value());
}

TEST_CASE("an answer counts once, and an older confirmation does not replace a "
          "later one",
          "[freshness]")
{
  Fixture it;
  const GossipMessage query = it.NextQuery();
  it.freshness.Receive(it.AnswerTo(query, Milliseconds(100)));
  it.freshness.Receive(it.AnswerTo(query, Milliseconds(0)));
  it.freshness.Confirm(it.clock.BootTime() - Milliseconds(5000));
  CHECK(it.confirmed.size() == 1);
}

TEST_CASE("the age of a configuration counts the time of a suspension",
          "[freshness]")
{
  Fixture it;
  it.freshness.Confirm(it.clock.BootTime());
  it.clock.Suspend(Milliseconds(4000));
  CHECK(it.freshness.Age() == Milliseconds(4000));
}

// Guards against nodes that stay without a confirmation since the only member
// that they ask is gone, and against members that all others ask.
TEST_CASE("the members of a zone ask along a tree, and others after a failure",
          "[freshness]")
{
  constexpr int kNodes = 40;
  constexpr std::size_t kMaxChildren = 6;
  std::map<nodes::NodeId, nodes::NodeId> parents;
  std::map<nodes::NodeId, std::size_t> children;
  for (int n = 1; n <= kNodes; ++n) {
    const auto members = MembershipOf(n, kNodes);
    const auto source = nodes::ConfirmationSource(members, 0);
    const bool isRoot = nodes::HoldsDuty(members, nodes::kConfigReaderDuty, 1);
    REQUIRE(source.has_value() != isRoot);
    if (!source) {
      continue;
    }
    parents[members.Self().node] = *source;
    ++children[*source];
    CHECK(*source != members.Self().node);
    const bool isSecond =
      nodes::HoldsDuty(members, nodes::kConfigReaderDuty, 2);
    CHECK((nodes::ConfirmationSource(members, 1) == source) == isSecond);
  }
  CHECK(parents.size() == kNodes - 1);
  for (const auto& [node, count] : children) {
    CHECK(count <= kMaxChildren);
  }
  for (const auto& [node, parent] : parents) {
    int depth = 1;
    for (auto it = parents.find(parent); it != parents.end(); ++depth) {
      it = parents.find(it->second);
    }
    CHECK(depth <= 2);
  }
}

// Guards against calls that are routed by the configuration from before a pause
// because the routing view is published again before the store has answered.
TEST_CASE("a node that was paused confirms its configuration by answers from "
          "after the pause",
          "[freshness][pause]")
{
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    for (const bool storeAnswers : { true, false }) {
      INFO("seed " << seed << ", store answers: " << storeAnswers);
      const auto fleet = SettledFleet(seed);
      fleet->WriteConfig(9);
      for (auto& it : fleet->nodes) {
        it.storeFault =
          storeAnswers ? PlatformFault::kNone : PlatformFault::kLostRequest;
        it.core->OnPause();
      }
      const Microseconds resumedAt = fleet->clock.BootTime();
      for (int n = 0; n < 1000; ++n) {
        fleet->clock.RunFor(Milliseconds(1));
        for (const auto& it : fleet->nodes) {
          CHECK_FALSE((it.confirmedAt >= resumedAt && it.configVersion < 9));
        }
      }
      CHECK_FALSE(fleet->outdatedConfirmed);
      if (storeAnswers) {
        CHECK(fleet->AllServe(9));
        CHECK(std::ranges::all_of(fleet->nodes, [&](const auto& aNode) {
          return aNode.confirmedAt >= resumedAt;
        }));
      }
    }
  }
}

// Guards against a new configuration that stays unknown to the whole mesh while
// its readers wait for answers on connections that went silent.
TEST_CASE("a new configuration is in force in time although the connections to "
          "the store went silent",
          "[freshness][silence]")
{
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    for (int delay = 0; delay < 5000; delay += 350) {
      INFO("seed " << seed << ", after " << delay << " ms");
      const auto fleet = SettledFleet(seed);
      fleet->clock.RunFor(Milliseconds(delay));
      fleet->SilenceStoreConnections();
      fleet->clock.RunFor(Milliseconds(50));
      fleet->WriteConfig(9);
      fleet->clock.RunFor(kMaxApplyTime);
      CHECK(fleet->AllServe(9));
      CHECK_FALSE(fleet->outdatedConfirmed);
    }
  }
}

// Guards against calls that are not repeated, in calm, for want of a
// confirmation, and against reads of the store that grow with the fleet.
TEST_CASE("in calm the configuration of each node was confirmed lately, for a "
          "few reads in each zone",
          "[freshness]")
{
  struct Size
  {
    int nodes;
    int zones;
    Milliseconds maxAge; ///< the platform's limit for a fleet of this size
  };
  constexpr Milliseconds kCalm{ 10'000 };
  for (const Size& size : { Size{ 12, 3, Milliseconds(2000) },
                            Size{ 87, 3, Milliseconds(2500) },
                            Size{ 194, 5, Milliseconds(3000) } }) {
    INFO(size.nodes << " nodes");
    const auto fleet = SettledFleet(3, size.nodes, size.zones);
    const std::uint64_t before = fleet->shared.reads;
    for (Milliseconds time{ 0 }; time < kCalm; time += kStep) {
      fleet->clock.RunFor(kStep);
      CHECK(fleet->AllConfirmed(size.maxAge));
    }
    // The first reader of a zone asks once a second, the second one every 5 s.
    const auto zones = static_cast<std::uint64_t>(size.zones);
    CHECK(fleet->shared.reads - before <= zones * (10 + 2) + zones * 2);
    CHECK_FALSE(fleet->outdatedConfirmed);
  }
}

// Guards against zones whose calls are not repeated for long since the node
// that confirms the configuration for them fails or is turned away by the
// store.
TEST_CASE(
  "after a fault of readers or their way to the store the configuration "
  "is confirmed again in time",
  "[freshness]")
{
  struct Fault
  {
    std::string name;
    std::function<void(FakeFleet&)> inject;
  };
  const auto firstReader = [](FakeFleet& aFleet) -> FakeFleet::NodeState& {
    return *std::ranges::find_if(aFleet.nodes, [](const auto& aNode) {
      return nodes::HoldsDuty(
        aNode.core->Members(), nodes::kConfigReaderDuty, 1);
    });
  };
  const std::vector<Fault> faults{
    { "a first reader dies",
      [&](FakeFleet& aFleet) { aFleet.Kill(firstReader(aFleet)); } },
    { "a first reader gets no answer from the store",
      [&](FakeFleet& aFleet) {
        firstReader(aFleet).storeFault = PlatformFault::kLostRequest;
      } },
    { "the store refuses a zone",
      [](FakeFleet& aFleet) {
        for (std::size_t n = 0; n < aFleet.nodes.size(); n += 3) {
          aFleet.nodes[n].storeFault = PlatformFault::kDown;
        }
      } },
    { "connections to the store go silent",
      [](FakeFleet& aFleet) { aFleet.SilenceStoreConnections(); } },
    { "the VMs were suspended",
      [](FakeFleet& aFleet) { aFleet.clock.Suspend(Milliseconds(20'000)); } },
  };
  for (const auto& fault : faults) {
    for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
      INFO(fault.name << ", seed " << seed);
      const auto fleet = SettledFleet(seed);
      fault.inject(*fleet);
      fleet->clock.RunFor(kMaxContactTime);
      for (int n = 0; n < 20; ++n) {
        fleet->clock.RunFor(kStep);
        CHECK(fleet->AllConfirmed(kMaxApplyTime));
      }
    }
  }
}

// Guards against any order of faults after which a configuration counts as
// confirmed for a time at which the store held a newer one.
TEST_CASE(
  "no configuration is confirmed for a time at which a newer one existed",
  "[freshness]")
{
  constexpr std::uint64_t kSoakSeeds = 15;
  constexpr int kSoakSteps = 300;
  for (std::uint64_t seed = 1; seed <= kSoakSeeds; ++seed) {
    INFO("seed " << seed);
    const auto fleet = SettledFleet(seed);
    std::mt19937_64 random(seed);
    const auto node = [&]() -> FakeFleet::NodeState& {
      return fleet->nodes[random() % fleet->nodes.size()];
    };
    const std::vector<std::function<void()>> faults{
      [&] { fleet->SilenceStoreConnections(); },
      [&] { node().store->SilencePendingRequests(); },
      [&] {
        fleet->clock.Suspend(
          Milliseconds(static_cast<std::int64_t>(random() % 6000)));
      },
      [&] {
        if (FakeFleet::NodeState& it = node(); it.incarnation != 0) {
          it.core->OnPause();
        }
      },
      [&] { fleet->Start(node()); },
      [&] {
        if (FakeFleet::NodeState& it = node(); it.incarnation != 0) {
          fleet->Kill(it);
        }
      },
      [&] { node().cutFromPeers = true; },
      [&] { node().cutFromPeers = false; },
      [&] { node().storeFault = PlatformFault::kDown; },
      [&] { node().storeFault = PlatformFault::kLostRequest; },
      [&] { node().storeFault = PlatformFault::kLostAnswer; },
      [&] { node().storeFault = PlatformFault::kSlow; },
      [&] { node().storeFault = PlatformFault::kNone; },
      [&] { fleet->loss = static_cast<double>(random() % 4) / 10; },
    };
    std::uint64_t version = 5;
    for (int n = 0; n < kSoakSteps; ++n) {
      if (random() % 3 == 0) {
        faults[random() % faults.size()]();
      }
      if (random() % 4 == 0) {
        fleet->WriteConfig(++version);
      }
      fleet->clock.RunFor(
        Milliseconds(static_cast<std::int64_t>(random() % 200)));
    }
    CHECK_FALSE(fleet->outdatedConfirmed);
    CHECK_FALSE(fleet->configRegressed);
  }
}
