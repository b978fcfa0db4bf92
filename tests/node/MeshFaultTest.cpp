// Faults at every step of a configuration change, on nine nodes in three zones.

#include "fakes/FakeMesh.h"
#include "proof/ProofLog.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using fakes::BasicEntries;
using fakes::FakeMesh;
using fakes::PlatformFault;

namespace {

constexpr Milliseconds kBound{
  7000
}; ///< the target's time for a change to be in force
constexpr Milliseconds kFaultTime{ 5000 };
constexpr std::uint64_t kSeeds = 12;
const std::vector<std::string> kZones{ "regina-yard",
                                       "saskatoon-hall",
                                       "lethbridge-vault" };

/** A fault that begins and ends. */
struct Fault
{
  const char* name;
  void (*begin)(FakeMesh&);
  void (*end)(FakeMesh&);
};

void
EachIn(FakeMesh& aMesh,
       const std::string& aZone,
       void (FakeMesh::*aMethod)(FakeMesh::NodeState&))
{
  for (auto& it : aMesh.members) {
    if (it.zone == aZone) {
      (aMesh.*aMethod)(it);
    }
  }
}

void
CutBothWays(FakeMesh& aMesh, const std::string& aZone)
{
  for (const auto& it : kZones) {
    if (it != aZone) {
      aMesh.Cut(it, aZone);
      aMesh.Cut(aZone, it);
    }
  }
}

template<PlatformFault Kind>
void
SetPlatform(FakeMesh& aMesh)
{
  aMesh.SetPlatformFault(Kind);
}

const std::vector<Fault> kFaults{
  { "node killed, restarted with nothing",
    [](FakeMesh& aMesh) { aMesh.Kill(aMesh.members[0]); },
    [](FakeMesh& aMesh) { aMesh.Start(aMesh.members[0]); } },
  { "node paused past each lease",
    [](FakeMesh& aMesh) { aMesh.Pause(aMesh.members[1]); },
    [](FakeMesh& aMesh) { aMesh.Resume(aMesh.members[1]); } },
  { "zone's herd dies and returns",
    [](FakeMesh& aMesh) { EachIn(aMesh, kZones[0], &FakeMesh::Kill); },
    [](FakeMesh& aMesh) { EachIn(aMesh, kZones[0], &FakeMesh::Start); } },
  { "zone paused",
    [](FakeMesh& aMesh) { EachIn(aMesh, kZones[1], &FakeMesh::Pause); },
    [](FakeMesh& aMesh) { EachIn(aMesh, kZones[1], &FakeMesh::Resume); } },
  { "zone cut from zones",
    [](FakeMesh& aMesh) { CutBothWays(aMesh, kZones[2]); },
    [](FakeMesh& aMesh) { aMesh.Heal(); } },
  { "zone cut one way",
    [](FakeMesh& aMesh) { aMesh.Cut(kZones[0], kZones[2]); },
    [](FakeMesh& aMesh) { aMesh.Heal(); } },
  { "zone cut from platform",
    [](FakeMesh& aMesh) { aMesh.CutPlatform(kZones[2]); },
    [](FakeMesh& aMesh) { aMesh.HealPlatform(); } },
  { "zone cut from zones and platform",
    [](FakeMesh& aMesh) {
      CutBothWays(aMesh, kZones[2]);
      aMesh.CutPlatform(kZones[2]);
    },
    [](FakeMesh& aMesh) {
      aMesh.Heal();
      aMesh.HealPlatform();
    } },
  { "datagrams lost",
    [](FakeMesh& aMesh) { aMesh.SetLoss(0.3); },
    [](FakeMesh& aMesh) { aMesh.SetLoss(0); } },
  { "platform down",
    SetPlatform<PlatformFault::kDown>,
    SetPlatform<PlatformFault::kNone> },
  { "platform slow",
    SetPlatform<PlatformFault::kSlow>,
    SetPlatform<PlatformFault::kNone> },
  { "platform answers lost after the write",
    SetPlatform<PlatformFault::kLostAnswer>,
    SetPlatform<PlatformFault::kNone> },
  { "platform writes late",
    SetPlatform<PlatformFault::kLateWrite>,
    SetPlatform<PlatformFault::kNone> },
};

/** When a fault begins, relative to the change being asked for. */
const std::vector<Milliseconds> kSteps{ Milliseconds(-3000),
                                        Milliseconds(0),
                                        Milliseconds(8),
                                        Milliseconds(40),
                                        Milliseconds(400) };

std::unique_ptr<FakeMesh>
StartedMesh(std::uint64_t aSeed)
{
  auto mesh = std::make_unique<FakeMesh>(aSeed);
  for (std::size_t n = 0; n < 9; ++n) {
    mesh->Add(kZones[n % kZones.size()]);
  }
  mesh->StartAll();
  mesh->clock.RunFor(Milliseconds(4000));
  mesh->Accept(mesh->members[4], "first", BasicEntries("v1"));
  mesh->clock.RunFor(Milliseconds(4000));
  return mesh;
}

struct Outcome
{
  bool older = false;
  bool dangling = false;
  bool partial = false;
  bool late = false;
  std::string detail;
};

/** Runs one change with faults that begin at a step and end some time later. */
Outcome
RunCell(const std::vector<const Fault*>& aFaults,
        Milliseconds aStep,
        std::uint64_t aSeed)
{
  const auto mesh = StartedMesh(aSeed);
  REQUIRE(mesh->AllServe(1));
  const Timestamp asked = mesh->clock.Now() + Milliseconds(3000);
  for (const Fault* it : aFaults) {
    mesh->clock.ScheduleAt(asked + aStep, [&mesh, it] { it->begin(*mesh); });
    mesh->clock.ScheduleAt(asked + aStep + kFaultTime,
                           [&mesh, it] { it->end(*mesh); });
  }
  mesh->clock.ScheduleAt(asked, [&mesh] {
    auto entries = BasicEntries("v2");
    for (auto& it : entries) {
      config::HeaderOf(it).revision = 1;
    }
    mesh->Accept(mesh->members[4], "second", std::move(entries));
  });
  mesh->clock.RunUntil(asked + aStep + kFaultTime + Milliseconds(10));
  // Whether the operator heard or not, what the table holds must be in force.
  const std::uint64_t head =
    std::stoull(mesh->shared.table.Read({ "head" }).front().value);
  mesh->clock.RunFor(kBound);

  Outcome outcome;
  for (const auto& it : mesh->violations) {
    outcome.older |= it.starts_with("P1");
    outcome.dangling |= it.starts_with("P2");
    outcome.partial |= it.starts_with("P3");
    outcome.detail = it;
  }
  outcome.late = !mesh->AllServe(head);
  const auto answer = mesh->acceptResults.find("second");
  if (answer != mesh->acceptResults.end() &&
      answer->second.outcome == operators::AcceptOutcome::kAccepted &&
      !mesh->AllServe(2)) {
    outcome.late = true;
  }
  return outcome;
}

struct Tally
{
  std::uint64_t cells = 0;
  std::uint64_t older = 0;
  std::uint64_t dangling = 0;
  std::uint64_t partial = 0;
  std::uint64_t late = 0;

  void Add(const Outcome& aOutcome)
  {
    ++cells;
    older += aOutcome.older ? 1 : 0;
    dangling += aOutcome.dangling ? 1 : 0;
    partial += aOutcome.partial ? 1 : 0;
    late += aOutcome.late ? 1 : 0;
  }

  void Note(const std::string& aFault, const std::string& aTest) const
  {
    proof::Note("P1", aFault, cells, older, aTest);
    proof::Note("P2", aFault, cells, dangling, aTest);
    proof::Note("P3", aFault, cells, partial, aTest);
    proof::Note("P10", aFault, cells, late, aTest);
  }
};

} // namespace

TEST_CASE("a change under each single fault at each step", "[mesh]")
{
  for (const auto& fault : kFaults) {
    Tally tally;
    for (const auto step : kSteps) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const Outcome outcome = RunCell({ &fault }, step, seed);
        INFO(fault.name << " step " << step.count() << " seed " << seed << " "
                        << outcome.detail);
        CHECK_FALSE(outcome.older);
        CHECK_FALSE(outcome.dangling);
        CHECK_FALSE(outcome.partial);
        CHECK_FALSE(outcome.late);
        tally.Add(outcome);
      }
    }
    tally.Note(fault.name, "mesh single");
  }
}

TEST_CASE("a change under each pair of faults", "[mesh]")
{
  Tally tally;
  for (std::size_t n = 0; n < kFaults.size(); ++n) {
    for (std::size_t m = n; m < kFaults.size(); ++m) {
      for (const auto step : kSteps) {
        const Outcome outcome =
          RunCell({ &kFaults[n], &kFaults[m] }, step, n * 100 + m);
        INFO(kFaults[n].name << " + " << kFaults[m].name << " step "
                             << step.count() << " " << outcome.detail);
        CHECK_FALSE(outcome.older);
        CHECK_FALSE(outcome.dangling);
        CHECK_FALSE(outcome.partial);
        CHECK_FALSE(outcome.late);
        tally.Add(outcome);
      }
    }
  }
  tally.Note("together: every pair", "mesh pairs");
}

TEST_CASE("a storm of starts keeps platform reads within their budget",
          "[mesh]")
{
  // 2,000 reads a second is all that the platform gives; a quarter is ours.
  constexpr std::uint64_t kReadsPerSecond = 500;
  FakeMesh mesh(7);
  for (std::size_t n = 0; n < 150; ++n) {
    mesh.Add(kZones[n % kZones.size()]);
  }
  mesh.SetPlatformFault(PlatformFault::kSlow);
  mesh.StartAll();
  std::uint64_t most = 0;
  for (int second = 0; second < 60; ++second) {
    const std::uint64_t before = mesh.shared.reads;
    mesh.clock.RunFor(Milliseconds(1000));
    if (second >= 1) {
      most = std::max(most, mesh.shared.reads - before);
    }
  }
  CHECK(most <= kReadsPerSecond);
  CHECK(mesh.ServingCount() == 150);
  CHECK(mesh.violations.empty());
}

TEST_CASE("a zone cut from everything serves on, and a herd that returns there "
          "holds what peers "
          "remember",
          "[mesh]")
{
  const auto mesh = StartedMesh(3);
  CutBothWays(*mesh, kZones[2]);
  mesh->CutPlatform(kZones[2]);
  mesh->clock.RunFor(Milliseconds(20'000));
  CHECK(mesh->ServingCount() == 9);
  // One of the cut zone's nodes restarts with nothing but its zone to ask.
  mesh->Start(mesh->members[2]);
  mesh->clock.RunFor(Milliseconds(5000));
  CHECK(mesh->members[2].view->open);
  CHECK(mesh->members[2].view->config->version == 1);
  // All of them at once hold nothing and must not serve.
  EachIn(*mesh, kZones[2], &FakeMesh::Start);
  mesh->clock.RunFor(Milliseconds(20'000));
  CHECK(mesh->ServingCount() == 6);
  mesh->Heal();
  mesh->clock.RunFor(kBound);
  CHECK(mesh->ServingCount() == 9);
  CHECK(mesh->violations.empty());
}
