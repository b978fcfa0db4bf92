// Measures the time that two nodes add to a call: an open loop at the target's
// rate of one node, directly to a backend server and through two nodes, in
// turns within one run. Times count from when a call was due.

#include "ProcessUse.h"
#include "processes/Processes.h"

#include "knapweedpaddle/runtime/EventLoop.h"
#include "knapweedpaddle/runtime/HttpClient.h"

#include <algorithm>
#include <cstdio>
#include <thread>

using namespace knapweedpaddle;
using namespace knapweedpaddle::processes;

namespace {

constexpr double kCallsPerSecond = 68'000.0 / 600;
constexpr int kRounds = 4;
constexpr int kCallsPerRound = 560;
constexpr double kBoundMs = 0.52;

/** Sends calls at fixed times and returns each one's time from when it was due,
 * ms. */
std::vector<double>
OpenLoop(const std::string& aUrl, int& aFailed)
{
  runtime::EventLoop loop;
  runtime::HttpClient client(loop, 16);
  std::vector<double> times;
  int done = 0;
  const auto interval =
    std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 / kCallsPerSecond));
  const auto start =
    std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
  std::thread pacer([&] {
    for (int n = 0; n < kCallsPerRound; ++n) {
      const auto due = start + n * interval;
      std::this_thread::sleep_until(due);
      loop.Post([&, due] {
        runtime::HttpRequest request;
        request.url = aUrl;
        client.Send(
          request,
          [&, due](const std::optional<runtime::HttpResponse>& aResponse,
                   const runtime::HttpReason&) {
            const auto took = std::chrono::steady_clock::now() - due;
            times.push_back(
              std::chrono::duration<double, std::milli>(took).count());
            aFailed += aResponse && aResponse->status == 200 ? 0 : 1;
            if (++done == kCallsPerRound) {
              loop.Stop();
            }
          });
      });
    }
  });
  loop.Run();
  pacer.join();
  return times;
}

double
Quantile(std::vector<double>& aTimes, double aPart)
{
  std::ranges::sort(aTimes);
  return aTimes[static_cast<std::size_t>(
    aPart * static_cast<double>(aTimes.size() - 1))];
}

void
Append(std::vector<double>& aAll, const std::vector<double>& aMore)
{
  aAll.insert(aAll.end(), aMore.begin(), aMore.end());
}

} // namespace

int
main()
{
  TestMesh mesh(18000);
  mesh.backendFlags = { "--service_ms=0" };
  mesh.AddMachine("regina-yard", "timetable", "v1");
  mesh.AddMachine("regina-yard", "dispatch", "v1");
  const std::string file =
    std::string(KNAPWEED_SOURCE_DIR) + "/examples/coulee-chime.json";
  if (!mesh.AwaitVersion(0, 10'000) ||
      mesh.ApplyFile(*mesh.machines[0], file) != 0 ||
      !mesh.AwaitServers(2, 10'000)) {
    std::printf("the mesh did not start\n");
    return 1;
  }
  // The first machine owns timetable, so a call for dispatch takes both nodes.
  const std::string direct =
    "http://" + mesh.machines[1]->BackendAddress() + "/dispatch/status/a";
  const std::string through =
    "http://" + mesh.machines[0]->CallerAddress() + "/dispatch/status/a";
  const std::string own =
    "http://" + mesh.machines[1]->CallerAddress() + "/dispatch/status/a";
  int failed = 0;
  std::vector<double> directTimes;
  std::vector<double> ownTimes;
  std::vector<double> throughTimes;
  OpenLoop(through, failed);
  const pid_t ingress = mesh.machines[0]->node->Id();
  const pid_t owner = mesh.machines[1]->node->Id();
  double ingressCpu = 0;
  double ownerCpu = 0;
  for (int n = 0; n < kRounds; ++n) {
    Append(directTimes, OpenLoop(direct, failed));
    Append(ownTimes, OpenLoop(own, failed));
    const double ingressBefore = bench::CpuSeconds(ingress);
    const double ownerBefore = bench::CpuSeconds(owner);
    Append(throughTimes, OpenLoop(through, failed));
    ingressCpu += bench::CpuSeconds(ingress) - ingressBefore;
    ownerCpu += bench::CpuSeconds(owner) - ownerBefore;
  }
  std::printf("open loop, %.0f calls/s, %d calls each, %d failed\n",
              kCallsPerSecond,
              kRounds * kCallsPerRound,
              failed);
  std::printf(
    "| | direct ms | one node ms | two nodes ms | added by two ms | ratio |\n"
    "|---|---|---|---|---|---|\n");
  for (const double part : { 0.5, 0.99, 0.999 }) {
    const double first = Quantile(directTimes, part);
    const double second = Quantile(ownTimes, part);
    const double third = Quantile(throughTimes, part);
    std::printf("| p%g | %.3f | %.3f | %.3f | %.3f | %.2f |\n",
                part * 100,
                first,
                second,
                third,
                third - first,
                third / first);
  }
  constexpr double kMicroseconds = 1e6 / (kRounds * kCallsPerRound);
  std::printf("processor time of a call, idle work included: ingress %.0f us, "
              "owner %.0f us\n",
              ingressCpu * kMicroseconds,
              ownerCpu * kMicroseconds);
  const double added =
    Quantile(throughTimes, 0.99) - Quantile(directTimes, 0.99);
  std::printf("bound %.2f ms for 99 in 100: %s\n",
              kBoundMs,
              added <= kBoundMs ? "held" : "missed");
  return 0;
}
