// Checks when a configuration counts as confirmed to be the newest one, for
// single answers and in a fleet whose nodes, links and store fail.

#include "knapweedpaddle/node/ConfigFreshness.h"

#include "fakes/FakeFleet.h"
#include "knapweedpaddle/nodes/DutyAssignment.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using fakes::FakeFleet;
using fakes::PlatformFault;
using nodes::GossipKind;
using nodes::GossipMessage;
using nodes::MemberState;

namespace {

constexpr std::uint64_t kSeedCount = 8;
constexpr Milliseconds kSettleTime{ 6000 };
constexpr Milliseconds kStep{ 100 };

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

std::unique_ptr<FakeFleet>
SettledFleet(std::uint64_t aSeed, int aNodes = 12, int aZones = 3)
{
  auto fleet = std::make_unique<FakeFleet>(aSeed);
  for (int n = 0; n < aNodes; ++n) {
    fleet->Add("zone" + std::to_string(n % aZones), "svc");
  }
  fleet->WriteConfig(5);
  fleet->StartAll();
  fleet->clock.RunFor(kSettleTime);
  REQUIRE(fleet->AllServe(5));
  return fleet;
}

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
