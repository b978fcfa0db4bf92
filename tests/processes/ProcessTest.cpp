// Tests with real processes, signals and sockets: the platform stand-in, six
// machines in three zones, and callers. The callers' records are compared with
// the backend servers' logs.

#include "CallHistory.h"
#include "knapweedpaddle/common/Time.h"
#include "proof/ProofLog.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

using namespace knapweedpaddle;
using namespace knapweedpaddle::processes;

namespace {

/** The time within which a change has to be in force on every node. */
constexpr int kConvergenceTimeoutMs = 7000;
/** A node's drain timeout of 10 s and 1 s for its exit. */
constexpr int kStopTimeoutMs = 11'000;
const std::vector<std::string> kZones{ "regina-yard",
                                       "saskatoon-hall",
                                       "lethbridge-vault" };
const std::string kCatalogue =
  std::string(KNAPWEED_SOURCE_DIR) + "/examples/coulee-chime.json";

void
StartMachines(TestMesh& aMesh)
{
  for (std::size_t n = 0; n < 6; ++n) {
    aMesh.AddMachine(
      kZones[n % 3], n % 2 == 0 ? "timetable" : "dispatch", "v1");
  }
  REQUIRE(aMesh.AwaitVersion(0, 10'000));
  REQUIRE(aMesh.ApplyFile(*aMesh.machines[0], kCatalogue) == 0);
  REQUIRE(aMesh.AwaitVersion(1, kConvergenceTimeoutMs));
  REQUIRE(aMesh.AwaitServers(6, 10'000));
}

void
Sleep(int aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

void
CheckHistory(CallHistory& aHistory, const std::string& aFault)
{
  const HistorySummary summary = aHistory.Check();
  WARN(aFault << ": " << summary.calls << " calls, " << summary.answered
              << " answered, " << summary.notRun << " not-run, "
              << summary.unknown << " unknown");
  CHECK(summary.answered > 0);
  CHECK(summary.corruptResponses == 0);
  CHECK(summary.notRunButRan == 0);
  CHECK(summary.repeatedRuns == 0);
  proof::Note(
    "P5", aFault, 1, summary.corruptResponses > 0 ? 1 : 0, "processes");
  proof::Note("P6", aFault, 1, summary.notRunButRan > 0 ? 1 : 0, "processes");
  proof::Note("P7", aFault, 1, summary.repeatedRuns > 0 ? 1 : 0, "processes");
}

} // namespace

TEST_CASE(
  "calls pass through the mesh, and all nodes stop gracefully under load",
  "[processes]")
{
  TestMesh mesh(17000);
  StartMachines(mesh);
  const std::string base = "http://" + mesh.machines[0]->CallerAddress();
  const Response lookup = SendRequest("GET", base + "/timetable/today");
  CHECK(lookup.status == 200);
  CHECK(lookup.outcome == "answered");
  // The backend server on this VM runs another service, so the call passes
  // through two nodes.
  const Response check = SendRequest("GET", base + "/dispatch/status/bell-3");
  CHECK(check.status == 200);
  const Response push =
    SendRequest("POST", base + "/dispatch/push/school-9", "ring");
  CHECK(push.body.ends_with("echo=ring\n"));
  CHECK(SendRequest("GET", base + "/nothing/here").outcome == "not-run");
  CHECK(
    SendRequest("GET", base + "/timetable/x", "", { "Knapweed-Timeout-Ms: 0" })
      .outcome == "not-run");
  CHECK(SendRequest(
          "GET", base + "/timetable/x", "", { "Knapweed-Timeout-Ms: soon" })
          .status == 400);
  CHECK(SendRequest("POST", base + "/-/v1/changes", "{}").status == 401);
  CHECK(
    SendRequest("GET", base + "/-/metrics").body.find("knapweed_calls_total") !=
    std::string::npos);

  CallHistory history(mesh, 4);
  Sleep(1000);
  for (auto& it : mesh.machines) {
    it->node->Signal(SIGTERM);
  }
  int graceful = 0;
  for (auto& it : mesh.machines) {
    graceful += it->node->Wait(kStopTimeoutMs) == 0 ? 1 : 0;
  }
  CHECK(graceful == 6);
  proof::Note(
    "P9", "every node stopped under load", 6, 6 - graceful, "processes");
  CheckHistory(history, "every node stopped under load");
}

TEST_CASE("calls in progress at planned stops that overlap are answered or "
          "certainly not run",
          "[processes][stop]")
{
  constexpr int kCallsPerStop = 8;
  TestMesh mesh(17600);
  mesh.backendFlags = { "--service_ms=500" };
  StartMachines(mesh);
  std::atomic<int> answered = 0;
  std::atomic<int> lost = 0;
  std::vector<std::thread> callers;
  const auto startCalls = [&](const Machine& aIngress) {
    for (int n = 0; n < kCallsPerStop; ++n) {
      callers.emplace_back(
        [&answered, &lost, address = aIngress.CallerAddress()] {
          const Response response = SendRequest(
            "POST", "http://" + address + "/dispatch/push/school-1", "ring");
          answered += response.outcome == "answered" ? 1 : 0;
          lost +=
            response.outcome != "answered" && response.outcome != "not-run" ? 1
                                                                            : 0;
        });
    }
  };
  // Each stop is that of an owner or an ingress at which calls are in progress.
  const std::vector<std::size_t> stopped{ 1, 0, 3 };
  startCalls(*mesh.machines[0]);
  startCalls(*mesh.machines[2]);
  for (const auto n : stopped) {
    Sleep(150);
    mesh.machines[n]->node->Signal(SIGTERM);
    startCalls(*mesh.machines[2]);
  }
  for (auto& it : callers) {
    it.join();
  }
  for (const auto n : stopped) {
    CHECK(mesh.machines[n]->node->Wait(kStopTimeoutMs) == 0);
  }
  CHECK(lost == 0);
  // The calls before the first stop fit into the slots of three servers.
  CHECK(answered >= 2 * kCallsPerStop);
  proof::Note(
    "P9", "overlapping stops, slow servers", 1, lost > 0 ? 1 : 0, "processes");
}

TEST_CASE("a leaving backend server gets no new calls", "[processes]")
{
  constexpr int kLeaveBoundMs = 3000;
  TestMesh mesh(17100);
  StartMachines(mesh);
  CallHistory history(mesh, 4);
  Sleep(1000);
  Machine& leaving = *mesh.machines[2];
  leaving.node->Signal(SIGTERM);
  const auto left = std::chrono::system_clock::now();
  CHECK(leaving.node->Wait(kStopTimeoutMs) == 0);
  Sleep(kLeaveBoundMs + 1000);
  const auto bound =
    std::chrono::duration_cast<std::chrono::microseconds>(
      (left + std::chrono::milliseconds(kLeaveBoundMs)).time_since_epoch())
      .count();
  std::size_t late = 0;
  std::ifstream file(mesh.Folder() + "/calls-" +
                     std::to_string(leaving.basePort));
  for (std::string line; std::getline(file, line);) {
    late +=
      line.starts_with("start ") && std::stoll(line.substr(6)) > bound ? 1 : 0;
  }
  CHECK(late == 0);
  proof::Note(
    "P8", "node stopped under load", 1, late > 0 ? 1 : 0, "processes");
  CheckHistory(history, "node stopped under load");
}

TEST_CASE("calls stay correct while nodes are killed, paused and restarted",
          "[processes]")
{
  TestMesh mesh(17200);
  StartMachines(mesh);
  CallHistory history(mesh, 6);
  Sleep(500);
  mesh.machines[1]->node->Signal(SIGKILL);
  mesh.machines[1]->node->Wait(1000);
  mesh.machines[2]->node->Signal(SIGSTOP);
  Sleep(3500);
  mesh.machines[2]->node->Signal(SIGCONT);
  mesh.StartNode(*mesh.machines[1]);
  Sleep(1500);
  // All nodes of one zone are killed and restarted at once.
  mesh.machines[0]->node->Signal(SIGKILL);
  mesh.machines[3]->node->Signal(SIGKILL);
  Sleep(500);
  mesh.StartNode(*mesh.machines[0]);
  mesh.StartNode(*mesh.machines[3]);
  CHECK(mesh.AwaitVersion(1, kConvergenceTimeoutMs));
  Sleep(1000);
  CheckHistory(history, "nodes killed, paused and restarted");
}

TEST_CASE("calls stay correct while backend servers hang, die and pause",
          "[processes]")
{
  TestMesh mesh(17300);
  StartMachines(mesh);
  CallHistory history(mesh, 6);
  Sleep(500);
  SendRequest("POST",
              "http://" + mesh.machines[0]->BackendAddress() + "/fault",
              R"({"hang":true})");
  SendRequest("POST",
              "http://" + mesh.machines[3]->BackendAddress() + "/fault",
              R"({"die_unanswered":true})");
  Sleep(2000);
  mesh.StartBackend(*mesh.machines[3]);
  mesh.machines[5]->backend->Signal(SIGSTOP);
  Sleep(2500);
  mesh.machines[5]->backend->Signal(SIGCONT);
  Sleep(1000);
  CheckHistory(history, "backend servers hang, die and pause");
}

TEST_CASE(
  "servers that name a rate get no more calls, also from a node that is "
  "restarted",
  "[processes]")
{
  constexpr std::size_t kRate = 20;
  constexpr std::int64_t kWindowMicroseconds = 4'000'000;
  // One and a half times the rate, and 5 calls more, in any 4 s.
  constexpr std::size_t kMaxCalls = kRate * 4 * 3 / 2 + 5;
  TestMesh mesh(17600);
  StartMachines(mesh);
  CallHistory history(mesh, 6);
  Sleep(500);
  Machine& limited = *mesh.machines[2];
  SendRequest("POST",
              "http://" + limited.BackendAddress() + "/fault",
              R"({"rate_limit":")" + std::to_string(kRate) + R"("})");
  Sleep(500);
  const auto from = WallMicroseconds();
  Sleep(4000);
  limited.node->Signal(SIGKILL);
  limited.node->Wait(1000);
  mesh.StartNode(limited);
  Sleep(5000);
  std::vector<std::int64_t> starts;
  std::ifstream file(mesh.Folder() + "/calls-" +
                     std::to_string(limited.basePort));
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("start ") && std::stoll(line.substr(6)) > from) {
      starts.push_back(std::stoll(line.substr(6)));
    }
  }
  std::ranges::sort(starts);
  std::size_t most = 0;
  for (auto first = starts.begin(); first != starts.end(); ++first) {
    const auto last =
      std::lower_bound(first, starts.end(), *first + kWindowMicroseconds);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  CHECK(most <= kMaxCalls);
  CHECK(starts.size() >= 7 * kRate);
  CheckHistory(history, "a server names a rate and its node is restarted");
}

TEST_CASE("calls stay correct while the platform is down, silent or slow",
          "[processes]")
{
  TestMesh mesh(17400);
  StartMachines(mesh);
  CallHistory history(mesh, 6);
  Sleep(500);
  for (const char* mode : { "down", "lose_answers", "slow" }) {
    mesh.SetPlatformFault(mode, 700);
    Sleep(2500);
    mesh.SetPlatformFault("none");
    Sleep(500);
  }
  const std::size_t before = history.AnsweredCalls();
  Sleep(1000);
  CHECK(history.AnsweredCalls() > before);
  CheckHistory(history, "platform down, losing answers, slow");
}

TEST_CASE(
  "a move to a good version completes and one to a bad version is rolled back",
  "[processes]")
{
  TestMesh mesh(17500);
  for (std::size_t n = 0; n < 6; ++n) {
    mesh.AddMachine(kZones[n % 3], "timetable", n < 3 ? "v1" : "v2");
  }
  REQUIRE(mesh.AwaitVersion(0, 10'000));
  REQUIRE(mesh.ApplyFile(*mesh.machines[0], kCatalogue) == 0);
  REQUIRE(mesh.AwaitServers(6, 10'000));
  const bool good = GENERATE(true, false);
  if (!good) {
    for (std::size_t n = 3; n < 6; ++n) {
      SendRequest("POST",
                  "http://" + mesh.machines[n]->BackendAddress() + "/fault",
                  R"({"fail_share":0.7})");
    }
  }
  CallHistory history(mesh, 12);
  const std::string file = mesh.Folder() + "/move.json";
  const auto now = WallNow();
  std::ofstream(file) << nlohmann::json{ { "entries",
                                           { { { "kind", "move" },
                                               { "name", "timetable-v2" },
                                               { "owner", "coulee" },
                                               { "service", "timetable" },
                                               { "from_version", "v1" },
                                               { "to_version", "v2" },
                                               { "start_at", now },
                                               { "done_by", now + 30'000 },
                                               { "canary_share", 0.05 },
                                               { "bake_ms", 3000 } } } } };
  Process move({ std::string(KNAPWEED_BUILD_DIR) + "/apps/knapweed",
                 "--node=" + mesh.machines[1]->CallerAddress(),
                 "--token=secret",
                 "move",
                 "start",
                 file },
               mesh.Folder() + "/move.log");
  const int code = move.Wait(45'000);
  CHECK(code == (good ? 0 : 6));
  proof::Note("P4",
              good ? "good version, real processes"
                   : "bad version, real processes",
              1,
              code == (good ? 0 : 6) ? 0 : 1,
              "processes");
  history.Check();
}
