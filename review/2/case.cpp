// CONFIG: the connections to the store that are open go silent. A version that
// is confirmed right after that isn't in force when the machines are in touch
// again.
#include "harness.h"

using namespace review;

namespace {

constexpr int kMachines = 6;
const char* const kZones[] = { "regina-yard", "saskatoon-hall", "lethbridge-vault" };

std::string
ConfigWith(int aVersion, const std::string& aService)
{
  Json routes{ { "r-lookup", Route("bells.example", "/lookup/", aService) } };
  if (aVersion > 5) {
    routes["r-extra"] = Route("extra.example", "/extra/", "old");
  }
  return Config(aVersion, routes, { "old", "new" });
}

int
Run(World& aWorld)
{
  auto& store = *new Store;
  if (!store.Listen(aWorld.StoreIp(), kStorePort)) {
    return CouldNotRun("the store's port is taken");
  }
  store.Put("op", "config", ConfigWith(5, "old"));
  std::vector<int> machines;
  for (int n = 1; n <= kMachines; ++n) {
    const std::string zone = kZones[n % 3];
    const std::string service = n <= 3 ? "old" : "new";
    machines.push_back(n);
    aWorld.WriteSettings(n, zone, service);
    auto& upstream = *new Upstream(aWorld, n, service, "v1", zone);
    if (!upstream.Start() || !aWorld.Start(n)) {
      return CouldNotRun("a machine could not be started");
    }
    upstream.BeginReports();
  }
  if (!aWorld.WaitReady(machines, 15)) {
    return CouldNotRun("the nodes were not ready in time");
  }
  Sleep(8);

  std::atomic<bool> sending{ true };
  std::mutex mutex;
  std::vector<Attempt> attempts;
  std::vector<std::thread> callers;
  for (const int machine : machines) {
    callers.emplace_back([&, machine] {
      while (sending) {
        const Attempt it = SendRequest(
          aWorld, machine, "GET", "bells.example", "/lookup/today", 1200);
        {
          const std::scoped_lock lock(mutex);
          attempts.push_back(it);
        }
        Sleep(0.1);
      }
    });
  }
  Sleep(2);
  const double first = store.Put("op", "config", ConfigWith(6, "old"));
  Record::Get().Say("operator: r6 (a new route) confirmed at %.3f", first);
  Sleep(0.5);
  double silentAt = Now();
  if (HasTrouble()) {
    store.SilenceOpenConnections();
    silentAt = Now();
    Record::Get().Say(
      "open connections to the store went silent at %.3f; new ones work",
      silentAt);
  }
  Sleep(0.05);
  const double confirmed = store.Put("op", "config", ConfigWith(9, "new"));
  Record::Get().Say("operator: r9 (/lookup/ goes to \"new\") confirmed at %.3f",
                    confirmed);
  Sleep(12);
  sending = false;
  for (auto& it : callers) {
    it.join();
  }
  for (const int it : machines) {
    if (!aWorld.Runs(it)) {
      return CouldNotRun("a process ended by itself");
    }
  }

  const double boundFrom =
    std::max(confirmed + kConfigApplyS, HasTrouble() ? silentAt + kContactS : 0);
  int late = 0;
  int judged = 0;
  int servedOld = 0;
  double last = 0;
  for (const auto& it : attempts) {
    const bool byOld = it.stamp.starts_with("i-old");
    servedOld += byOld && it.sentAt < confirmed ? 1 : 0;
    if (it.sentAt > boundFrom) {
      ++judged;
      if (byOld) {
        ++late;
        last = std::max(last, it.sentAt);
      }
    }
  }
  if (servedOld == 0 || judged == 0) {
    return CouldNotRun("no requests were served before the change");
  }
  Record::Get().Say("%d of %d requests sent after %.3f (in touch, past "
                    "config-apply-s) were run by the old service, the last one "
                    "sent at %.3f, %.1f s after the confirmation",
                    late,
                    judged,
                    boundFrom,
                    last,
                    late > 0 ? last - confirmed : 0.0);
  return late > 0 ? kBroken : kHeld;
}

} // namespace

int
main(int, char** aArguments)
{
  Record::Get().Open(aArguments[1]);
  auto& world = *new World;
  world.Exit(Run(world));
}
