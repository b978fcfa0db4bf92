// Guards against configuration changes that faults break: with nine nodes in
// three zones, faults of nodes, zones, datagrams and the platform begin at
// several moments around a change. No node may go back to an older version, use
// an entry that refers to a missing one or hold part of a change, and all nodes
// have to serve the change in time after the fault ends.

#include "fakes/FakeMesh.h"
#include "proof/ProofLog.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using fakes::BasicEntries;
using fakes::FakeMesh;
using fakes::PlatformFault;

namespace {

/** Longest time until a change is in force on all nodes. */
constexpr Milliseconds kMaxChangeTime{ 7000 };
constexpr Milliseconds kFaultDuration{ 5000 };
constexpr std::uint64_t kSeeds = 12;
const std::vector<std::string> kZones{ "regina-yard",
                                       "saskatoon-hall",
                                       "lethbridge-vault" };

/** A fault with the functions that begin and end it. The proof log prints its
 * name. */
struct Fault
{
  const char* name;
  void (*begin)(FakeMesh&);
  void (*end)(FakeMesh&);
};

/** Calls a method of the mesh for each node of a zone. */
void
ForEachInZone(FakeMesh& aMesh,
              const std::string& aZone,
              void (FakeMesh::*aMethod)(FakeMesh::NodeState&))
{
  for (auto& it : aMesh.members) {
    if (it.zone == aZone) {
      (aMesh.*aMethod)(it);
    }
  }
}

/** Cuts a zone from all other zones in both directions. */
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
    [](FakeMesh& aMesh) { ForEachInZone(aMesh, kZones[0], &FakeMesh::Kill); },
    [](FakeMesh& aMesh) {
      ForEachInZone(aMesh, kZones[0], &FakeMesh::Start);
    } },
  { "zone paused",
    [](FakeMesh& aMesh) { ForEachInZone(aMesh, kZones[1], &FakeMesh::Pause); },
    [](FakeMesh& aMesh) {
      ForEachInZone(aMesh, kZones[1], &FakeMesh::Resume);
    } },
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

/** Start times of a fault, relative to the request for the change. */
const std::vector<Milliseconds> kFaultStarts{ Milliseconds(-3000),
                                              Milliseconds(0),
                                              Milliseconds(8),
                                              Milliseconds(40),
                                              Milliseconds(400) };

/** Returns a mesh of nine nodes that serve version 1. */
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

/** Which properties of the proof log one case violated. */
struct Outcome
{
  bool olderServed = false;   ///< P1: a node went back to an older version
  bool danglingEntry = false; ///< P2: an entry referred to a missing one
  bool partialChange = false; ///< P3: a node held part of a change
  bool late = false;          ///< P10: the change was not in force in time
  std::string detail;         ///< last violation
};

/**
 * Runs one change with faults.
 *
 * @param aFaultStart  relative to the request for the change.
 */
Outcome
RunCase(const std::vector<const Fault*>& aFaults,
        Milliseconds aFaultStart,
        std::uint64_t aSeed)
{
  const auto mesh = StartedMesh(aSeed);
  REQUIRE(mesh->AllServe(1));
  const Timestamp requested = mesh->clock.Now() + Milliseconds(3000);
  for (const Fault* it : aFaults) {
    mesh->clock.ScheduleAt(requested + aFaultStart,
                           [&mesh, it] { it->begin(*mesh); });
    mesh->clock.ScheduleAt(requested + aFaultStart + kFaultDuration,
                           [&mesh, it] { it->end(*mesh); });
  }
  mesh->clock.ScheduleAt(requested, [&mesh] {
    auto entries = BasicEntries("v2");
    for (auto& it : entries) {
      config::HeaderOf(it).revision = 1;
    }
    mesh->Accept(mesh->members[4], "second", std::move(entries));
  });
  mesh->clock.RunUntil(requested + aFaultStart + kFaultDuration +
                       Milliseconds(10));
  // The version in the table must be in force, even if the answer to the
  // operator was lost.
  const std::uint64_t head =
    std::stoull(mesh->shared.table.Read({ "head" }).front().value);
  mesh->clock.RunFor(kMaxChangeTime);

  Outcome outcome;
  for (const auto& it : mesh->violations) {
    outcome.olderServed |= it.starts_with("P1");
    outcome.danglingEntry |= it.starts_with("P2");
    outcome.partialChange |= it.starts_with("P3");
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

/** Number of cases that violated each property. */
struct Tally
{
  std::uint64_t cases = 0;
  std::uint64_t olderServed = 0;
  std::uint64_t danglingEntry = 0;
  std::uint64_t partialChange = 0;
  std::uint64_t late = 0;

  void Add(const Outcome& aOutcome)
  {
    ++cases;
    olderServed += aOutcome.olderServed ? 1 : 0;
    danglingEntry += aOutcome.danglingEntry ? 1 : 0;
    partialChange += aOutcome.partialChange ? 1 : 0;
    late += aOutcome.late ? 1 : 0;
  }

  /** Writes the counts to the proof log. */
  void WriteProof(const std::string& aFault, const std::string& aTest) const
  {
    proof::Note("P1", aFault, cases, olderServed, aTest);
    proof::Note("P2", aFault, cases, danglingEntry, aTest);
    proof::Note("P3", aFault, cases, partialChange, aTest);
    proof::Note("P10", aFault, cases, late, aTest);
  }
};

} // namespace

TEST_CASE("a configuration change takes effect whole and in time under each "
          "single fault at each start time",
          "[mesh]")
{
  for (const auto& fault : kFaults) {
    Tally tally;
    for (const auto faultStart : kFaultStarts) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const Outcome outcome = RunCase({ &fault }, faultStart, seed);
        INFO(fault.name << " starting at " << faultStart.count() << " ms, seed "
                        << seed << " " << outcome.detail);
        CHECK_FALSE(outcome.olderServed);
        CHECK_FALSE(outcome.danglingEntry);
        CHECK_FALSE(outcome.partialChange);
        CHECK_FALSE(outcome.late);
        tally.Add(outcome);
      }
    }
    tally.WriteProof(fault.name, "mesh single");
  }
}

TEST_CASE("a configuration change takes effect whole and in time under each "
          "pair of faults at each start time",
          "[mesh]")
{
  Tally tally;
  for (std::size_t n = 0; n < kFaults.size(); ++n) {
    for (std::size_t m = n; m < kFaults.size(); ++m) {
      for (const auto faultStart : kFaultStarts) {
        const Outcome outcome =
          RunCase({ &kFaults[n], &kFaults[m] }, faultStart, n * 100 + m);
        INFO(kFaults[n].name << " + " << kFaults[m].name << " starting at "
                             << faultStart.count()
                             << " ms: " << outcome.detail);
        CHECK_FALSE(outcome.olderServed);
        CHECK_FALSE(outcome.danglingEntry);
        CHECK_FALSE(outcome.partialChange);
        CHECK_FALSE(outcome.late);
        tally.Add(outcome);
      }
    }
  }
  tally.WriteProof("together: every pair", "mesh pairs");
}

TEST_CASE("150 nodes starting at once keep platform reads within their budget",
          "[mesh]")
{
  // The platform answers 2,000 reads a second, of which the nodes may use a
  // quarter.
  constexpr std::uint64_t kMaxReadsPerSecond = 500;
  FakeMesh mesh(7);
  for (std::size_t n = 0; n < 150; ++n) {
    mesh.Add(kZones[n % kZones.size()]);
  }
  mesh.SetPlatformFault(PlatformFault::kSlow);
  mesh.StartAll();
  std::uint64_t mostReads = 0;
  for (int second = 0; second < 60; ++second) {
    const std::uint64_t before = mesh.shared.reads;
    mesh.clock.RunFor(Milliseconds(1000));
    if (second >= 1) {
      mostReads = std::max(mostReads, mesh.shared.reads - before);
    }
  }
  CHECK(mostReads <= kMaxReadsPerSecond);
  CHECK(mesh.ServingCount() == 150);
  CHECK(mesh.violations.empty());
}

TEST_CASE(
  "a zone cut from everything keeps serving, and its nodes do not serve "
  "after they all restart at once until the cut heals",
  "[mesh]")
{
  const auto mesh = StartedMesh(3);
  CutBothWays(*mesh, kZones[2]);
  mesh->CutPlatform(kZones[2]);
  mesh->clock.RunFor(Milliseconds(20'000));
  CHECK(mesh->ServingCount() == 9);
  // A node of the cut zone that restarts gets its configuration from the zone.
  mesh->Start(mesh->members[2]);
  mesh->clock.RunFor(Milliseconds(5000));
  CHECK(mesh->members[2].view->open);
  CHECK(mesh->members[2].view->config->version == 1);
  // If all nodes of the zone restart, none holds a configuration, so none may
  // serve.
  ForEachInZone(*mesh, kZones[2], &FakeMesh::Start);
  mesh->clock.RunFor(Milliseconds(20'000));
  CHECK(mesh->ServingCount() == 6);
  mesh->Heal();
  mesh->clock.RunFor(kMaxChangeTime);
  CHECK(mesh->ServingCount() == 9);
  CHECK(mesh->violations.empty());
}

// Guards against a node that serves, after its VM was suspended, the version
// that it held before: the monotonic clock does not count that time.
TEST_CASE("a node whose VM was suspended does not serve until it is up to date",
          "[mesh][pause]")
{
  const auto mesh = StartedMesh(3);
  REQUIRE(mesh->ServingCount() == 9);
  mesh->SetPlatformFault(PlatformFault::kDown);
  mesh->clock.Suspend(Milliseconds(5000));
  mesh->clock.RunFor(Milliseconds(200));
  CHECK(mesh->ServingCount() == 0);
  mesh->SetPlatformFault(PlatformFault::kNone);
  mesh->clock.RunFor(kMaxChangeTime);
  CHECK(mesh->ServingCount() == 9);
  CHECK(mesh->violations.empty());
}

TEST_CASE(
  "a catalogue change accepted after the store was restored is in force "
  "on every node",
  "[mesh]")
{
  const auto mesh = StartedMesh(3);
  const standins::InMemoryStore copy = mesh->shared.table;
  const auto accept = [&mesh](const char* aOperation, const char* aVersion) {
    auto entries = BasicEntries(aVersion);
    for (auto& it : entries) {
      config::HeaderOf(it).revision = 1;
    }
    mesh->Accept(mesh->members[4], aOperation, std::move(entries));
    mesh->clock.RunFor(kMaxChangeTime);
  };
  accept("lost", "v2");
  REQUIRE(mesh->AllServe(2));
  mesh->SetPlatformFault(PlatformFault::kDown);
  mesh->shared.table.RestoreFrom(copy);
  mesh->clock.RunFor(Milliseconds(2000));
  mesh->SetPlatformFault(PlatformFault::kNone);
  mesh->clock.RunFor(kMaxChangeTime);
  accept("after", "v3");
  INFO(mesh->acceptResults["after"].message);
  REQUIRE(mesh->acceptResults["after"].outcome ==
          operators::AcceptOutcome::kAccepted);
  for (const auto& it : mesh->members) {
    const auto* service = it.view->config->Get<config::ServiceEntry>(
      config::EntryKind::kService, "svc");
    REQUIRE(service);
    CHECK(service->version == "v3");
  }
}
