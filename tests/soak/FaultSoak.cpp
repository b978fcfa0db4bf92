// Runs a mesh of real processes and harms them from outside, by a seed: nodes
// and backend servers are killed, paused, stopped and restarted, the platform
// and the way to it fail, operators change the catalogue. Checks what callers
// and backend servers saw.

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

ABSL_FLAG(std::uint64_t, seed, 1, "what happens, and when");
ABSL_FLAG(int, seconds, 20, "how long faults come (s)");
ABSL_FLAG(int, machines, 9, "nodes, each with a backend server");
ABSL_FLAG(int, port, 18000, "first of the ports used, ten a machine");
ABSL_FLAG(int, callers, 12, "threads that call");
ABSL_FLAG(int, service_ms, 60, "time that a call takes at a server (ms)");
ABSL_FLAG(std::string,
          catalogue,
          std::string(KNAPWEED_SOURCE_DIR) + "/examples/coulee-chime.json",
          "the first catalogue");

using namespace knapweedpaddle::processes;
using namespace knapweedpaddle::soak;
using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr int kConvergenceMs = 7000; ///< the target's, for a change in force
constexpr int kStopMs = 11'000;      ///< drain timeout and a second
constexpr int kStartMs = 15'000;
constexpr int kSettleMs = 20'000; ///< for suspected nodes to be trusted again
const std::vector<std::string> kZones{ "regina-yard",
                                       "saskatoon-hall",
                                       "lethbridge-vault" };

int
Between(std::mt19937_64& aRandom, int aLeast, int aMost)
{
  return std::uniform_int_distribution<int>(aLeast, aMost)(aRandom);
}

/** Notes broken promises and tells them at once. */
class Verdict
{
public:
  void Expect(bool aHolds, const std::string& aPromise)
  {
    if (!aHolds) {
      ++mBroken;
      std::printf("BROKEN: %s\n", aPromise.c_str());
      std::fflush(stdout);
    }
  }

  int Broken() const { return mBroken; }

private:
  std::atomic<int> mBroken{ 0 };
};

/** Watches that no node returns to an older version while it runs. */
class VersionWatch
{
public:
  VersionWatch(const TestMesh& aMesh, Verdict& aVerdict)
    : mMesh(aMesh)
    , mVerdict(aVerdict)
    , mThread([this] { Run(); })
  {
  }

  ~VersionWatch()
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
        const Answer answer =
          Ask("GET", "http://" + address + "/-/v1/status", "", {}, 300);
        const Json status = Json::parse(answer.body, nullptr, false);
        if (!status.is_object() || !status.value("serving", false)) {
          continue;
        }
        const std::uint64_t version = status["version"];
        mVerdict.Expect(version >= newest[address],
                        address + " went from version " +
                          std::to_string(newest[address]) + " to " +
                          std::to_string(version));
        newest[address] = std::max(newest[address], version);
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
  }

  const TestMesh& mMesh;
  Verdict& mVerdict;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

/** The mesh, what harms it, and what is due when. */
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
    // Long enough for faults to strike calls that run.
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
      const VersionWatch watch(mMesh, mVerdict);
      Harm();
      Heal();
    }
    const HistoryFaults seen = history.Check();
    mVerdict.Expect(seen.answered > 0, "calls are answered");
    mVerdict.Expect(seen.notWhole == 0, "answers are whole and one's own");
    mVerdict.Expect(seen.falseNotRun == 0,
                    "a call refused as not-run never ran");
    mVerdict.Expect(seen.doubles == 0, "what must not repeat ran at most once");
    std::printf("seed %llu: %zu calls, %zu answered, %zu not-run, %zu unknown, "
                "%d events, %d broken\n",
                static_cast<unsigned long long>(absl::GetFlag(FLAGS_seed)),
                seen.calls,
                seen.answered,
                seen.notRun,
                seen.unknown,
                mEvents,
                mVerdict.Broken());
    if (mVerdict.Broken() > 0) {
      mMesh.keepsFolder = true;
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
      mMesh.Add(kZones[static_cast<std::size_t>(n) % kZones.size()],
                n % 2 == 0 ? "timetable" : "dispatch",
                "v1");
    }
    return mMesh.AwaitVersion(0, kStartMs) &&
           mMesh.Apply(*mMesh.machines[0], absl::GetFlag(FLAGS_catalogue)) ==
             0 &&
           mMesh.AwaitVersion(1, kConvergenceMs) &&
           mMesh.AwaitServers(static_cast<std::size_t>(machines), kStartMs);
  }

  /** Lets faults come, and those that are due end, until the time is over. */
  void Harm()
  {
    static constexpr std::array kFaults{
      &FaultSoak::KillNode,      &FaultSoak::PauseNode,
      &FaultSoak::StopNode,      &FaultSoak::KillHerd,
      &FaultSoak::KillServer,    &FaultSoak::PauseServer,
      &FaultSoak::PlatformFault, &FaultSoak::HarmLink,
      &FaultSoak::ChangeRoute,
    };
    const auto until =
      Clock::now() + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    while (Clock::now() < until) {
      const auto which =
        static_cast<std::size_t>(Between(mRandom, 0, kFaults.size() - 1));
      (this->*kFaults[which])();
      ++mEvents;
      RunDue(milliseconds(Between(mRandom, 50, 1200)));
    }
  }

  /** Ends all faults; the mesh must then be whole again in time. */
  void Heal()
  {
    while (!mDue.empty()) {
      RunDue(milliseconds(100));
    }
    mMesh.SetPlatformFault("none");
    mProxy.SetFault(LinkFault::kNone);
    const auto machines = mMesh.machines.size();
    const bool isWhole = mMesh.AwaitServers(machines, kSettleMs);
    mVerdict.Expect(isWhole, "every node sees every server after the faults");
    if (!isWhole) {
      TellViews();
    }
    mVerdict.Expect(Apply() == 0, "a change is accepted after the faults");
    const Json status = Json::parse(
      Ask("GET",
          "http://" + mMesh.machines[0]->CallerAddress() + "/-/v1/status")
        .body,
      nullptr,
      false);
    mVerdict.Expect(status.is_object() &&
                      mMesh.AwaitVersion(status["version"], kConvergenceMs),
                    "the last change is in force everywhere in time");
  }

  /** Prints whom each node does not see alive and serving. */
  void TellViews() const
  {
    for (const auto& machine : mMesh.machines) {
      const Answer answer =
        Ask("GET", "http://" + machine->CallerAddress() + "/-/v1/status");
      const Json status = Json::parse(answer.body, nullptr, false);
      std::printf("%s: ", machine->CallerAddress().c_str());
      if (!status.is_object()) {
        std::printf("no status\n");
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

  void RunDue(milliseconds aTime)
  {
    const auto until = Clock::now() + aTime;
    while (!mDue.empty() && mDue.begin()->first <= until) {
      const auto node = mDue.extract(mDue.begin());
      std::this_thread::sleep_until(node.key());
      node.mapped()();
    }
    std::this_thread::sleep_until(until);
  }

  void Later(int aLeastMs, int aMostMs, Task aTask)
  {
    mDue.emplace(Clock::now() +
                   milliseconds(Between(mRandom, aLeastMs, aMostMs)),
                 std::move(aTask));
  }

  /** A machine that nothing else is being done to, or null. */
  Machine* Pick()
  {
    const auto n = static_cast<std::size_t>(
      Between(mRandom, 0, static_cast<int>(mMesh.machines.size()) - 1));
    Machine* machine = mMesh.machines[n].get();
    return mHarmed.insert(machine).second ? machine : nullptr;
  }

  void KillNode()
  {
    if (Machine* machine = Pick()) {
      machine->node->Signal(SIGKILL);
      machine->node->Wait(kStopMs);
      Later(100, 1500, [this, machine] {
        mMesh.StartNode(*machine);
        mHarmed.erase(machine);
      });
    }
  }

  void PauseNode()
  {
    if (Machine* machine = Pick()) {
      machine->node->Signal(SIGSTOP);
      Later(200, 4000, [this, machine] {
        machine->node->Signal(SIGCONT);
        mHarmed.erase(machine);
      });
    }
  }

  void StopNode()
  {
    if (Machine* machine = Pick()) {
      machine->node->Signal(SIGTERM);
      Later(500, 4000, [this, machine] {
        mVerdict.Expect(machine->node->Wait(kStopMs) == 0,
                        "a planned stop is graceful (" +
                          machine->CallerAddress() + ")");
        mMesh.StartNode(*machine);
        mHarmed.erase(machine);
      });
    }
  }

  void KillHerd()
  {
    const int most = static_cast<int>(mMesh.machines.size()) / 2;
    for (int n = 0; n < most; ++n) {
      KillNode();
    }
  }

  void KillServer()
  {
    if (Machine* machine = Pick()) {
      machine->backend->Signal(SIGKILL);
      machine->backend->Wait(kStopMs);
      Later(200, 2000, [this, machine] {
        mMesh.StartBackend(*machine);
        mHarmed.erase(machine);
      });
    }
  }

  void PauseServer()
  {
    if (Machine* machine = Pick()) {
      machine->backend->Signal(SIGSTOP);
      Later(200, 3000, [this, machine] {
        machine->backend->Signal(SIGCONT);
        mHarmed.erase(machine);
      });
    }
  }

  void PlatformFault()
  {
    static constexpr std::array kModes{ "down", "slow", "lose_answers" };
    mMesh.SetPlatformFault(
      kModes[static_cast<std::size_t>(Between(mRandom, 0, 2))], 700);
    Later(500, 3000, [this] { mMesh.SetPlatformFault("none"); });
  }

  void HarmLink()
  {
    mProxy.SetFault(static_cast<LinkFault>(Between(mRandom, 1, 4)));
    Later(200, 3000, [this] { mProxy.SetFault(LinkFault::kNone); });
  }

  /** The outcome is unknown while the platform fails. */
  void ChangeRoute() { Apply(); }

  int Apply()
  {
    const std::string file = mMesh.Folder() + "/change.json";
    Json entry = { { "kind", "route" },
                   { "name", "tone-fetch" },
                   { "owner", "coulee" },
                   { "path_prefix", "/tones/" },
                   { "service", "tonehouse" },
                   { "class", "idempotent" },
                   { "timeout_ms", 1000 + ++mChanges },
                   { "slow_after_ms", 50 } };
    std::ofstream(file) << Json{ { "entries", { entry } } };
    return mMesh.Apply(*mMesh.machines[0], file);
  }

  std::mt19937_64 mRandom;
  TestMesh mMesh;
  LoopbackProxy mProxy; ///< on the nodes' way to the platform
  Verdict mVerdict;
  std::multimap<Clock::time_point, Task> mDue;
  std::set<Machine*> mHarmed;
  int mEvents = 0;
  int mChanges = 0;
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
