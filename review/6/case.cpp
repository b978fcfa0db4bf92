// A bad version is rolled back, and the operator orders the next version before
// the upstreams of the bad one have drained.

#include "../stand-ins-2/rig.h"

using namespace rig;

namespace {

constexpr double kDurationSeconds = 12;
/** How long the upstream of the bad version stays after `rolled_back`. */
constexpr double kDrainsAfter = 6;
/** Share of the bad version's requests that fail. */
constexpr int kFailsOneIn = 3;
constexpr double kExposeShare = 0.1;
constexpr double kExposeSlack = 50;
constexpr int kConsumers = 30;

std::string
Order(const char* aVersion)
{
  return Json{ { "service", "alpha" },
               { "to", aVersion },
               { "duration-s", kDurationSeconds } }
    .dump();
}

/** Waits until the status of the rollout to a version is final, and returns it. */
std::string
WaitForStatus(Store& aStore, const std::string& aVersion, double aUntil)
{
  while (Now() < aUntil) {
    const Json status =
      Json::parse(aStore.Get("status", "rollout/alpha"), nullptr, false);
    if (status.is_object() && status.value("to", "") == aVersion &&
        status.value("state", "") != "active") {
      return status.value("state", "");
    }
    Sleep(0.05);
  }
  return "";
}

} // namespace

int
main(int, char** aArguments)
{
  gRecord.Open(aArguments[1]);
  Store store({ LoopbackNet() + "250", 8309 });
  Node first(1, "perth-a", "alpha", store);
  Node second(2, "perth-b", "alpha", store);
  Node third(3, "perth-c", "alpha", store);
  Node fourth(4, "perth-a", "alpha", store);
  const std::vector<Node*> nodes{ &first, &second, &third, &fourth };
  store.Put("op",
            "config",
            Json{ { "version", "r7" },
                  { "routes",
                    { { "r-alpha", Route("alpha", "non_idempotent", 1.5, 0.5) } } },
                  { "services", { { "alpha", Service() } } },
                  { "limits", Limits() } }
              .dump());
  for (Node* it : nodes) {
    it->Start();
  }
  Sleep(1);
  Upstream old1(first, "i-a1", "alpha", "v1");
  Upstream old2(second, "i-a2", "alpha", "v1");
  old1.workSeconds = old2.workSeconds = 0.1;
  old1.StartReports();
  old2.StartReports();
  WaitReady(nodes);
  Sleep(4);

  std::atomic<bool> sends{ true };
  std::mutex mutex;
  std::set<std::string> failed;
  std::vector<std::thread> consumers;
  for (int n = 0; n < kConsumers; ++n) {
    consumers.emplace_back([&, node = nodes[static_cast<std::size_t>(n) % 3]] {
      while (sends) {
        Sent sent{ NewId(), "POST" };
        sent.body = "order";
        if (Request(*node, sent).status == 500) {
          const std::scoped_lock lock(mutex);
          failed.insert(sent.id);
        }
        Sleep(0.03);
      }
    });
  }
  Sleep(2);

  store.Put("op", "rollout/alpha", Order("v2"));
  const double orderedAt = Now();
  Upstream bad(third, "i-a3", "alpha", "v2");
  bad.workSeconds = 0.07;
  std::atomic<int> runs{ 0 };
  bad.status = [&runs](const Message&) {
    return ++runs % kFailsOneIn == 0 ? 500 : 200;
  };
  bad.StartReports();
  if (WaitForStatus(store, "v2", orderedAt + kDurationSeconds) != "rolled_back") {
    GiveUp("the bad version isn't rolled back");
  }
  const double rolledBackAt = Now();
  const std::size_t before = RunsOf(bad.id).size();
  Sleep(0.5);
  Upstream next(fourth, "i-a4", "alpha", "v3");
  next.workSeconds = 0.1;
  if (WithTrouble()) {
    store.Put("op", "rollout/alpha", Order("v3"));
  }
  next.StartReports();
  SleepUntil(rolledBackAt + kDrainsAfter);
  bad.StopReports();
  bad.state = "draining";
  bad.Send(bad.Report("draining"));
  SleepUntil(orderedAt + kDurationSeconds);
  sends = false;
  for (auto& it : consumers) {
    it.join();
  }

  int all = 0;
  int exposed = 0;
  int lost = 0;
  {
    const std::scoped_lock lock(gRunsMutex);
    for (const auto& it : gRuns) {
      if (it.at >= orderedAt && it.at <= orderedAt + kDurationSeconds) {
        ++all;
        exposed += it.upstream == bad.id ? 1 : 0;
        lost += it.upstream == bad.id && failed.contains(it.request) ? 1 : 0;
      }
    }
  }
  const double allowed = kExposeShare * all + kExposeSlack;
  const bool isBroken = exposed > allowed;
  Finish(isBroken ? kBroken : kHeld,
         std::string(isBroken ? "EXPOSURE broken: " : "held: ") + "version v2 got " +
           std::to_string(exposed) + " of " + std::to_string(all) +
           " requests between its order and its time budget, " +
           std::to_string(before) + " of them before it was rolled back; allowed " +
           std::to_string(static_cast<int>(allowed)) + "; " + std::to_string(lost) +
           " requests that may not be repeated ran there and failed");
}
