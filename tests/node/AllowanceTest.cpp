// The calls that a fleet of nodes admits for teams with allowances, while the
// teams ask for too much and nodes, links and coordinators fail.

#include "fakes/FakeFleet.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

using namespace knapweedpaddle;
using fakes::FakeFleet;

namespace {

/** The platform's bound: calls in any window of this length stay below the
 * allowance of the window, plus a share and a number. */
constexpr std::chrono::seconds kWindow{ 5 };
constexpr double kOvershoot = 0.1;
constexpr double kSlack = 20;
constexpr Milliseconds kStep{ 20 };
/** Intervals at which nodes report the calls of teams, and look for a surge. */
constexpr Milliseconds kReportInterval{ 250 };
constexpr Milliseconds kTickInterval{ 100 };

double
MostInWindow(const node::TeamAllowance& aTeam)
{
  return (aTeam.callsPerSecond * kWindow.count() + aTeam.burst) *
           (1 + kOvershoot) +
         kSlack;
}

/** Callers of some teams, spread over the nodes of a fleet. */
class Callers
{
public:
  struct Team
  {
    node::TeamAllowance allowance;
    double demand = 0;              ///< calls per second over all nodes
    std::deque<Timestamp> admitted; ///< in the last window
    std::size_t most = 0;           ///< calls admitted in any window
    std::size_t asked = 0;
    std::size_t refused = 0;
  };

  Callers(FakeFleet& aFleet, unsigned aSeed)
    : mFleet(aFleet)
    , mRandom(aSeed)
  {
  }

  /** Adds a team whose demand is a multiple of its allowance. */
  Team& Add(const std::string& aName, double aRate, double aDemand)
  {
    Team& team = teams[aName];
    team.allowance = { aRate, aRate };
    team.demand = aRate * aDemand;
    mFleet.teams[aName] = team.allowance;
    return team;
  }

  void RunFor(Milliseconds aTime)
  {
    mNextReport = std::max(mNextReport, mFleet.clock.Now());
    mNextTick = std::max(mNextTick, mFleet.clock.Now());
    for (const Timestamp end = mFleet.clock.Now() + aTime;
         mFleet.clock.Now() < end;) {
      mFleet.clock.RunFor(kStep);
      std::vector<FakeFleet::NodeState*> running;
      for (auto& it : mFleet.nodes) {
        if (it.incarnation != 0 && it.view) {
          running.push_back(&it);
        }
      }
      for (auto& [name, team] : teams) {
        Call(name, team, running);
      }
      const bool isDue = mFleet.clock.Now() >= mNextReport;
      const bool isTick = mFleet.clock.Now() >= mNextTick;
      for (auto* it : running) {
        if (isDue || (isTick && it->allowances->HasSurge())) {
          it->core->TakeTeamUsages(
            it->allowances->TakeUsages(mFleet.clock.BootTime()));
        }
      }
      mNextReport += isDue ? kReportInterval : Milliseconds(0);
      mNextTick += isTick ? kTickInterval : Milliseconds(0);
    }
  }

  std::map<std::string, Team> teams;
  /** Chooses the nodes that get a team's calls; empty: all alike. */
  std::function<bool(const FakeFleet::NodeState&)> isUsed;

private:
  void Call(const std::string& aName,
            Team& aTeam,
            const std::vector<FakeFleet::NodeState*>& aNodes)
  {
    std::vector<FakeFleet::NodeState*> used;
    std::ranges::copy_if(aNodes, std::back_inserter(used), [this](auto* aNode) {
      return !isUsed || isUsed(*aNode);
    });
    config::TeamEntry entry;
    entry.header.name = aName;
    entry.callsPerSecond = aTeam.allowance.callsPerSecond;
    entry.burst = aTeam.allowance.burst;
    std::poisson_distribution<int> calls(
      aTeam.demand * std::chrono::duration<double>(kStep).count());
    const Timestamp now = mFleet.clock.Now();
    for (int n = used.empty() ? 0 : calls(mRandom); n > 0; --n) {
      auto& node = *used[mRandom() % used.size()];
      ++aTeam.asked;
      if (node.allowances->Take(entry, mFleet.clock.BootTime()).admitted) {
        aTeam.admitted.push_back(now);
      } else {
        ++aTeam.refused;
      }
    }
    while (!aTeam.admitted.empty() && aTeam.admitted.front() <= now - kWindow) {
      aTeam.admitted.pop_front();
    }
    aTeam.most = std::max(aTeam.most, aTeam.admitted.size());
  }

  FakeFleet& mFleet;
  std::mt19937 mRandom;
  Timestamp mNextReport{};
  Timestamp mNextTick{};
};

struct Fixture
{
  explicit Fixture(unsigned aSeed, int aNodes = 12)
    : fleet(aSeed)
    , callers(fleet, aSeed + 1)
  {
    for (int n = 0; n < aNodes; ++n) {
      fleet.Add("zone" + std::to_string(n % 3), "svc");
    }
  }

  /** Starts the fleet and lets it settle without calls. */
  void Start()
  {
    fleet.WriteConfig(5);
    fleet.StartAll();
    fleet.clock.RunFor(Milliseconds(6000));
  }

  void CheckBounds() const
  {
    for (const auto& [name, team] : callers.teams) {
      INFO("team " << name);
      CHECK(static_cast<double>(team.most) <= MostInWindow(team.allowance));
    }
  }

  FakeFleet fleet;
  Callers callers;
};

} // namespace

// Load: many teams at two thirds of their allowances, over all nodes or in one
// zone only. None of them may be refused a call.
TEST_CASE("teams within their allowances are not limited", "[allowance]")
{
  for (const bool inOneZone : { false, true }) {
    INFO((inOneZone ? "calls in one zone" : "calls at all nodes"));
    Fixture it(1);
    for (int n = 0; n < 8; ++n) {
      it.callers.Add("t" + std::to_string(n), 9 + 40.0 * n, 0.66);
    }
    it.Start();
    if (inOneZone) {
      it.callers.isUsed = [](const auto& aNode) {
        return aNode.settings.zone == "zone1";
      };
    }
    it.callers.RunFor(Milliseconds(15'000));
    for (const auto& [name, team] : it.callers.teams) {
      INFO("team " << name);
      CHECK(team.asked > 50);
      CHECK(team.refused == 0);
    }
  }
}

// Load: one team asks for seven times its usual all at once, as it does in the
// trials of the platform. It gets its allowance, and no other team notices.
TEST_CASE("a team that asks for too much gets its allowance", "[allowance]")
{
  for (unsigned seed = 1; seed <= 8; ++seed) {
    for (const double rate : { 9.0, 60.0, 700.0 }) {
      INFO("seed " << seed << ", rate " << rate);
      Fixture it(seed);
      auto& hot = it.callers.Add("hot", rate, 0.63);
      auto& calm = it.callers.Add("calm", rate, 0.63);
      it.Start();
      it.callers.RunFor(Milliseconds(4000));
      CHECK(hot.refused == 0);
      hot.demand = rate * 0.63 * 7;
      const std::size_t before = hot.asked - hot.refused;
      it.callers.RunFor(Milliseconds(10'000));
      const auto admitted =
        static_cast<double>(hot.asked - hot.refused - before);
      it.CheckBounds();
      CHECK(admitted >= 0.9 * rate * 10);
      CHECK(calm.refused == 0);
      // Once it asks for less again, it is not limited for long.
      hot.demand = rate * 0.63;
      it.callers.RunFor(Milliseconds(3000));
      const std::size_t refused = hot.refused;
      it.callers.RunFor(Milliseconds(5000));
      CHECK(hot.refused - refused <= 2);
    }
  }
}

// Guards against nodes that together admit a multiple of an allowance because
// each part of a fleet takes the whole of it.
TEST_CASE("the calls of a team stay within its allowance under any fault",
          "[allowance]")
{
  for (unsigned seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    Fixture it(seed);
    for (const double rate : { 12.0, 90.0, 500.0 }) {
      it.callers.Add("full" + std::to_string(rate), rate, 1.0);
      it.callers.Add("over" + std::to_string(rate), rate, 3.0);
    }
    it.Start();
    it.callers.RunFor(Milliseconds(3000));
    for (int step = 0; step < 10; ++step) {
      switch (random() % 6) {
        case 0:
          it.fleet.loss = random() % 2 == 0 ? 0.15 : 0;
          break;
        case 1: // a zone is cut off, or the fleet falls apart into its zones
          for (std::size_t n = 0; n < it.fleet.nodes.size(); ++n) {
            it.fleet.nodes[n].partition =
              random() % 2 == 0 ? static_cast<int>(n % 3) : 0;
          }
          break;
        case 2:
          for (auto& node : it.fleet.nodes) {
            node.partition = 0;
            node.cutFromPeers = false;
          }
          break;
        case 3:
          it.fleet.nodes[random() % it.fleet.nodes.size()].cutFromPeers = true;
          break;
        case 4: // processes start anew and have forgotten everything
          for (auto& node : it.fleet.nodes) {
            if (random() % 3 == 0) {
              it.fleet.Start(node);
            }
          }
          break;
        default:
          for (auto& [name, team] : it.callers.teams) {
            team.demand =
              team.allowance.callsPerSecond * (random() % 3 == 0 ? 5.0 : 1.0);
          }
          break;
      }
      it.callers.RunFor(Milliseconds(400 + random() % 2500));
    }
    it.CheckBounds();
  }
}

// Guards against callers that are refused as their node's coordinator ends.
TEST_CASE("teams within their allowances don't notice that nodes end",
          "[allowance]")
{
  Fixture it(3);
  auto& team = it.callers.Add("t", 300, 0.6);
  it.Start();
  it.callers.RunFor(Milliseconds(5000));
  REQUIRE(team.refused == 0);
  for (std::size_t n = 0; n < it.fleet.nodes.size(); n += 2) {
    it.fleet.Kill(it.fleet.nodes[n]);
    it.callers.RunFor(Milliseconds(2000));
  }
  CHECK(static_cast<double>(team.refused) <=
        0.01 * static_cast<double>(team.asked));
}

// Guards against messages that grow with the teams of a configuration, most of
// which send few calls.
TEST_CASE("a node without calls sends small reports only", "[allowance]")
{
  Fixture it(1, 3);
  for (int n = 0; n < 200; ++n) {
    it.callers.Add("t" + std::to_string(n), 10, 0);
  }
  it.Start();
  CHECK(it.fleet.nodes[0].allowances->TakeUsages(Microseconds(0)).empty());
}
