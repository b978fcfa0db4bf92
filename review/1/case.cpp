// TWICE: a machine stands still while a version adds a route whose requests may not
// be repeated. When it goes on, it handles requests that wait by an older, safe route.
#include "harness.h"

#include <set>

using namespace review;

namespace {

constexpr int kMachines = 6;
const char* const kZones[] = { "regina-yard",
                               "saskatoon-hall",
                               "lethbridge-vault" };
constexpr const char* kHost = "bells.example";
/** Work on a request of the added route, below the target of 0.3 s. */
constexpr double kRingWorkS = 0.25;
constexpr int kFrozen = 4; ///< has no server of "dispatch"
constexpr double kFreezeS = 4.5;
constexpr int kRings = 8;

/** All versions route /bells/ to "dispatch" as safe; r9 adds /bells/ring/. */
std::string
ConfigOf(int aVersion)
{
  Json routes{ { "r-bells", Route(kHost, "/bells/", "dispatch") } };
  if (aVersion >= 6) {
    routes["r-extra"] = Route("extra.example", "/extra/", "timetable");
  }
  if (aVersion >= 9) {
    routes["r-ring"] = Route(kHost, "/bells/ring/", "dispatch");
    routes["r-ring"]["kind"] = "non_idempotent";
  }
  return Config(aVersion, routes, { "dispatch", "timetable" });
}

std::atomic<bool> frozen{ false };

int
Run(World& aWorld)
{
  auto& store = *new Store;
  if (!store.Listen(aWorld.StoreIp(), kStorePort)) {
    return CouldNotRun("the store's port is taken");
  }
  store.Put("op", "config", ConfigOf(5));
  std::vector<int> machines;
  std::vector<Upstream*> servers;
  for (int n = 1; n <= kMachines; ++n) {
    const std::string zone = kZones[n % 3];
    const std::string service = n <= 3 ? "dispatch" : "timetable";
    machines.push_back(n);
    aWorld.WriteSettings(n, zone, service);
    auto& upstream = *new Upstream(aWorld, n, service, "v1", zone);
    upstream.SetWork("/bells/ring/", kRingWorkS);
    servers.push_back(&upstream);
    if (!upstream.Start() || !aWorld.Start(n)) {
      return CouldNotRun("a machine could not be started");
    }
    upstream.BeginReports();
  }
  if (!aWorld.WaitReady(machines, 15)) {
    return CouldNotRun("the nodes were not ready in time");
  }
  Sleep(8);

  // Callers read bell lists all the time, on all machines but the frozen one.
  std::atomic<bool> sending{ true };
  std::mutex mutex;
  std::vector<Attempt> rings;
  std::vector<std::thread> callers;
  for (const int machine : machines) {
    callers.emplace_back([&, machine] {
      while (sending) {
        if (machine != kFrozen || !frozen) {
          SendRequest(aWorld, machine, "GET", kHost, "/bells/today", 1200);
        }
        Sleep(0.1);
      }
    });
  }
  Sleep(3);
  if (HasTrouble()) {
    frozen = true;
    Sleep(1.3);
    kill(aWorld.Pid(kFrozen), SIGSTOP);
    Record::Get().Say("machine %d stands still", kFrozen);
  }
  const double stopped = Now();
  Sleep(0.3);
  const double confirmed = store.Put("op", "config", ConfigOf(9));
  Record::Get().Say("operator: r9 adds /bells/ring/ (non_idempotent), confirmed "
                    "at %.3f",
                    confirmed);
  const double from = confirmed + kConfigApplyS;
  SleepUntil(from + 0.5);
  std::vector<std::thread> ringers;
  for (int n = 0; n < kRings; ++n) {
    ringers.emplace_back([&] {
      const Attempt it = SendRequest(
        aWorld, kFrozen, "POST", kHost, "/bells/ring/school-7", 4000, "ring");
      const std::scoped_lock lock(mutex);
      rings.push_back(it);
    });
    Sleep(0.05);
  }
  SleepUntil(stopped + kFreezeS);
  if (HasTrouble()) {
    kill(aWorld.Pid(kFrozen), SIGCONT);
    Record::Get().Say("machine %d goes on", kFrozen);
  }
  for (auto& it : ringers) {
    it.join();
  }
  sending = false;
  for (auto& it : callers) {
    it.join();
  }
  Sleep(1);
  for (const int it : machines) {
    if (!aWorld.Runs(it)) {
      return CouldNotRun("a process ended by itself");
    }
  }

  std::map<std::string, int> runs;
  for (Upstream* it : servers) {
    for (const auto& arrival : it->Arrivals()) {
      ++runs[arrival.requestId];
    }
  }
  int twice = 0;
  double last = 0;
  for (const auto& it : rings) {
    if (it.sentAt > from && runs[it.id] > 1) {
      ++twice;
      last = std::max(last, it.sentAt);
      Record::Get().Line("%s, sent at %.3f, ran %d times",
                         it.id.c_str(),
                         it.sentAt,
                         runs[it.id]);
    }
  }
  if (rings.empty()) {
    return CouldNotRun("no request was sent on the added route");
  }
  Record::Get().Say("of %zu requests on the added route, sent after %.3f "
                    "(past config-apply-s), %d ran more than once, the last "
                    "one sent %.1f s after the confirmation",
                    rings.size(),
                    from,
                    twice,
                    twice > 0 ? last - confirmed : 0.0);
  return twice > 0 ? kBroken : kHeld;
}

} // namespace

int
main(int, char** aArguments)
{
  Record::Get().Open(aArguments[1]);
  auto& world = *new World;
  world.Exit(Run(world));
}
