// Runs a mesh of real processes and injects faults that a seed determines:
// nodes and backend servers are killed, paused, stopped and restarted, the
// platform and the network path to it fail, operators change the catalogue.
// Afterwards the callers' records are compared with the backend servers' logs.

#include "LoopbackProxy.h"
#include "processes/CallHistory.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

ABSL_FLAG(std::uint64_t,
          seed,
          1,
          "seed that determines the faults and their times");
ABSL_FLAG(int, seconds, 20, "time during which faults are injected (s)");
ABSL_FLAG(int, machines, 9, "nodes, each with a backend server");
ABSL_FLAG(int, port, 18000, "first port; each machine uses ten ports");
ABSL_FLAG(int, callers, 12, "number of threads that send calls");
ABSL_FLAG(int,
          service_ms,
          60,
          "time that a call takes at a backend server (ms)");
ABSL_FLAG(std::string,
          catalogue,
          std::string(KNAPWEED_SOURCE_DIR) + "/examples/coulee-chime.json",
          "catalogue file applied at the start");

using namespace knapweedpaddle::processes;
using namespace knapweedpaddle::soak;
using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

/** The time within which a change has to be in force on every node. */
constexpr int kConvergenceTimeoutMs = 7000;
/** A node's drain timeout of 10 s and 1 s for its exit. */
constexpr int kStopTimeoutMs = 11'000;
constexpr int kStartTimeoutMs = 15'000;
/** Includes the time until suspected nodes are seen alive again. */
constexpr int kRecoveryTimeoutMs = 20'000;
const std::vector<std::string> kZones{ "regina-yard",
                                       "saskatoon-hall",
                                       "lethbridge-vault" };

int
RandomBetween(std::mt19937_64& aRandom, int aLeast, int aMost)
{
  return std::uniform_int_distribution<int>(aLeast, aMost)(aRandom);
}

/** Prints each check that fails and counts the failed checks. */
class CheckReport
{
public:
  void Expect(bool aHolds, const std::string& aExpectation)
  {
    if (!aHolds) {
      ++mFailedChecks;
      std::printf("BROKEN: %s\n", aExpectation.c_str());
      std::fflush(stdout);
    }
  }

  int FailedChecks() const { return mFailedChecks; }

private:
  std::atomic<int> mFailedChecks{ 0 };
};

/** Checks that the configuration version of a serving node never decreases. */
class VersionMonitor
{
public:
  VersionMonitor(const TestMesh& aMesh, CheckReport& aReport)
    : mMesh(aMesh)
    , mReport(aReport)
    , mThread([this] { Run(); })
  {
  }

  ~VersionMonitor()
  {
    mStop = true;
    mThread.join();
  }

private:
  void Run()
  {
    std::map<std::string, std::uint64_t> newest;
    while (!mStop) {
      for (const auto& it : mMesh.machines) {
        const std::string address = it->CallerAddress();
        const Response response =
          SendRequest("GET", "http://" + address + "/-/v1/status", "", {}, 300);
        const Json status = Json::parse(response.body, nullptr, false);
        if (!status.is_object() || !status.value("serving", false)) {
          continue;
        }
        const std::uint64_t version = status["version"];
        mReport.Expect(version >= newest[address],
                       address + " went from version " +
                         std::to_string(newest[address]) + " to " +
                         std::to_string(version));
        newest[address] = std::max(newest[address], version);
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
  }

  const TestMesh& mMesh;
  CheckReport& mReport;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

/** Runs the mesh, injects faults, ends each of them later and checks recovery.
 */
class FaultSoak
{
public:
  FaultSoak()
    : mRandom(absl::GetFlag(FLAGS_seed))
    , mMesh(absl::GetFlag(FLAGS_port))
    , mProxy(static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port) + 1),
             static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port)))
  {
    mMesh.platformAddress =
      "127.0.0.1:" + std::to_string(absl::GetFlag(FLAGS_port) + 1);
    // The service time has to be long enough that faults hit running calls.
    mMesh.backendFlags = { "--service_ms=" +
                           std::to_string(absl::GetFlag(FLAGS_service_ms)) };
  }

  int Run()
  {
    if (!StartAll()) {
      std::printf("BROKEN: the mesh did not start\n");
      return 1;
    }
    CallHistory history(mMesh,
                        static_cast<std::size_t>(absl::GetFlag(FLAGS_callers)));
    {
      const VersionMonitor monitor(mMesh, mReport);
      InjectFaults();
      CheckRecovery();
    }
    const HistorySummary summary = history.Check();
    mReport.Expect(summary.answered > 0, "calls are answered");
    mReport.Expect(summary.corruptResponses == 0,
                   "every answer is complete and belongs to its call");
    mReport.Expect(summary.notRunButRan == 0,
                   "a call reported as not-run never ran");
    mReport.Expect(summary.repeatedRuns == 0,
                   "at-most-once calls ran at most once");
    std::printf("seed %llu: %zu calls, %zu answered, %zu not-run, %zu unknown, "
                "%d events, %d broken\n",
                static_cast<unsigned long long>(absl::GetFlag(FLAGS_seed)),
                summary.calls,
                summary.answered,
                summary.notRun,
                summary.unknown,
                mEventCount,
                mReport.FailedChecks());
    if (mReport.FailedChecks() > 0) {
      mMesh.keepFolder = true;
      std::printf("logs are in %s\n", mMesh.Folder().c_str());
      return 1;
    }
    return 0;
  }

private:
  using Task = std::function<void()>;
  using Clock = std::chrono::steady_clock;

  bool StartAll()
  {
    const int machines = absl::GetFlag(FLAGS_machines);
    for (int n = 0; n < machines; ++n) {
      mMesh.AddMachine(kZones[static_cast<std::size_t>(n) % kZones.size()],
                       n % 2 == 0 ? "timetable" : "dispatch",
                       "v1");
    }
    return mMesh.AwaitVersion(0, kStartTimeoutMs) &&
           mMesh.ApplyFile(*mMesh.machines[0],
                           absl::GetFlag(FLAGS_catalogue)) == 0 &&
           mMesh.AwaitVersion(1, kConvergenceTimeoutMs) &&
           mMesh.AwaitServers(static_cast<std::size_t>(machines),
                              kStartTimeoutMs);
  }

  /** Injects a random fault at random intervals and ends earlier faults when
   * they are due, until the time given by --seconds has passed. */
  void InjectFaults()
  {
    // Seeds select faults by index: another order would change what they
    // replay.
    static constexpr std::array kFaults{
      &FaultSoak::KillNode,
      &FaultSoak::PauseNode,
      &FaultSoak::StopNode,
      &FaultSoak::KillManyNodes,
      &FaultSoak::KillServer,
      &FaultSoak::PauseServer,
      &FaultSoak::InjectPlatformFault,
      &FaultSoak::InjectProxyFault,
      &FaultSoak::ChangeRoute,
    };
    const auto until =
      Clock::now() + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    while (Clock::now() < until) {
      const auto faultIndex =
        static_cast<std::size_t>(RandomBetween(mRandom, 0, kFaults.size() - 1));
      (this->*kFaults[faultIndex])();
      ++mEventCount;
      RunDueTasks(milliseconds(RandomBetween(mRandom, 50, 1200)));
    }
  }

  /** Ends all faults and checks that the mesh recovers in time. */
  void CheckRecovery()
  {
    while (!mDueTasks.empty()) {
      RunDueTasks(milliseconds(100));
    }
    mMesh.SetPlatformFault("none");
    mProxy.SetFault(ProxyFault::kNone);
    const auto machines = mMesh.machines.size();
    const bool isRecovered = mMesh.AwaitServers(machines, kRecoveryTimeoutMs);
    mReport.Expect(isRecovered,
                   "every node sees every server after the faults");
    if (!isRecovered) {
      PrintMemberViews();
    }
    mReport.Expect(ApplyRouteChange() == 0,
                   "a change is accepted after the faults");
    const Json status = Json::parse(
      SendRequest(
        "GET", "http://" + mMesh.machines[0]->CallerAddress() + "/-/v1/status")
        .body,
      nullptr,
      false);
    mReport.Expect(
      status.is_object() &&
        mMesh.AwaitVersion(status["version"], kConvergenceTimeoutMs),
      "the last change is in force on every node in time");
  }

  /** Prints for each node the members that it does not see alive and serving.
   */
  void PrintMemberViews() const
  {
    for (const auto& machine : mMesh.machines) {
      const Response response = SendRequest(
        "GET", "http://" + machine->CallerAddress() + "/-/v1/status");
      const Json status = Json::parse(response.body, nullptr, false);
      std::printf("%s: ", machine->CallerAddress().c_str());
      if (!status.is_object()) {
        std::printf("no valid status answer\n");
        continue;
      }
      std::printf("%zu members\n", status["members"].size());
      for (const auto& it : status["members"]) {
        if (it["state"] != "serving" || it["liveness"] != "alive") {
          std::printf("  %s\n", it.dump().c_str());
        }
      }
    }
  }

  /** Runs the scheduled tasks that become due within a time. */
  void RunDueTasks(milliseconds aTime)
  {
    const auto until = Clock::now() + aTime;
    while (!mDueTasks.empty() && mDueTasks.begin()->first <= until) {
      const auto due = mDueTasks.extract(mDueTasks.begin());
      std::this_thread::sleep_until(due.key());
      due.mapped()();
    }
    std::this_thread::sleep_until(until);
  }

  /** Schedules a task after a random delay between two bounds. */
  void Schedule(int aLeastMs, int aMostMs, Task aTask)
  {
    mDueTasks.emplace(Clock::now() +
                        milliseconds(RandomBetween(mRandom, aLeastMs, aMostMs)),
                      std::move(aTask));
  }

  /** Draws a machine and marks it faulty; returns null if it was faulty
   * already.
   */
  Machine* PickHealthyMachine()
  {
    const auto n = static_cast<std::size_t>(
      RandomBetween(mRandom, 0, static_cast<int>(mMesh.machines.size()) - 1));
    Machine* machine = mMesh.machines[n].get();
    return mFaultyMachines.insert(machine).second ? machine : nullptr;
  }

  void KillNode()
  {
    if (Machine* machine = PickHealthyMachine()) {
      machine->node->Signal(SIGKILL);
      machine->node->Wait(kStopTimeoutMs);
      Schedule(100, 1500, [this, machine] {
        mMesh.StartNode(*machine);
        mFaultyMachines.erase(machine);
      });
    }
  }

  void PauseNode()
  {
    if (Machine* machine = PickHealthyMachine()) {
      machine->node->Signal(SIGSTOP);
      Schedule(200, 4000, [this, machine] {
        machine->node->Signal(SIGCONT);
        mFaultyMachines.erase(machine);
      });
    }
  }

  void StopNode()
  {
    if (Machine* machine = PickHealthyMachine()) {
      machine->node->Signal(SIGTERM);
      Schedule(500, 4000, [this, machine] {
        mReport.Expect(machine->node->Wait(kStopTimeoutMs) == 0,
                       "a planned stop of a node is graceful (" +
                         machine->CallerAddress() + ")");
        mMesh.StartNode(*machine);
        mFaultyMachines.erase(machine);
      });
    }
  }

  void KillManyNodes()
  {
    const int count = static_cast<int>(mMesh.machines.size()) / 2;
    for (int n = 0; n < count; ++n) {
      KillNode();
    }
  }

  void KillServer()
  {
    if (Machine* machine = PickHealthyMachine()) {
      machine->backend->Signal(SIGKILL);
      machine->backend->Wait(kStopTimeoutMs);
      Schedule(200, 2000, [this, machine] {
        mMesh.StartBackend(*machine);
        mFaultyMachines.erase(machine);
      });
    }
  }

  void PauseServer()
  {
    if (Machine* machine = PickHealthyMachine()) {
      machine->backend->Signal(SIGSTOP);
      Schedule(200, 3000, [this, machine] {
        machine->backend->Signal(SIGCONT);
        mFaultyMachines.erase(machine);
      });
    }
  }

  void InjectPlatformFault()
  {
    static constexpr std::array kModes{ "down", "slow", "lose_answers" };
    mMesh.SetPlatformFault(
      kModes[static_cast<std::size_t>(RandomBetween(mRandom, 0, 2))], 700);
    Schedule(500, 3000, [this] { mMesh.SetPlatformFault("none"); });
  }

  void InjectProxyFault()
  {
    mProxy.SetFault(static_cast<ProxyFault>(RandomBetween(mRandom, 1, 4)));
    Schedule(200, 3000, [this] { mProxy.SetFault(ProxyFault::kNone); });
  }

  /** The result is not checked, since it is unknown while the platform fails.
   */
  void ChangeRoute() { ApplyRouteChange(); }

  /** Changes the timeout of a route; returns the exit code of the command line.
   */
  int ApplyRouteChange()
  {
    const std::string file = mMesh.Folder() + "/change.json";
    Json entry = { { "kind", "route" },
                   { "name", "tone-fetch" },
                   { "owner", "coulee" },
                   { "path_prefix", "/tones/" },
                   { "service", "tonehouse" },
                   { "class", "idempotent" },
                   { "timeout_ms", 1000 + ++mRouteChanges },
                   { "slow_after_ms", 50 } };
    std::ofstream(file) << Json{ { "entries", { entry } } };
    return mMesh.ApplyFile(*mMesh.machines[0], file);
  }

  std::mt19937_64 mRandom;
  TestMesh mMesh;
  LoopbackProxy mProxy; ///< forwards the nodes' connections to the platform
  CheckReport mReport;
  std::multimap<Clock::time_point, Task> mDueTasks;
  std::set<Machine*> mFaultyMachines;
  int mEventCount = 0;
  int mRouteChanges = 0;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  absl::ParseCommandLine(aCount, aArguments);
  std::printf("seed %llu\n",
              static_cast<unsigned long long>(absl::GetFlag(FLAGS_seed)));
  std::fflush(stdout);
  return FaultSoak().Run();
}
