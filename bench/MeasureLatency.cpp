// Measures the latency that one and two nodes add to a call. An open-loop load
// at one node's rate in the target mesh goes to a backend server directly,
// through one node and through two nodes, in alternating rounds. Latency counts
// from the time at which a call was due, so a delayed send is included.

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

constexpr double kCallsPerSecond = 68'000.0 / 600; // mesh-wide rate / nodes
constexpr int kRounds = 4;
constexpr int kCallsPerRound = 560;
constexpr double kMaxAddedP99Ms = 0.52;

/** Sends calls at fixed times, adds those without status 200 to aFailed, and
 * returns the latencies in ms, from the time at which each call was due. */
std::vector<double>
RunOpenLoop(const std::string& aUrl, int& aFailed)
{
  runtime::EventLoop loop;
  runtime::HttpClient client(loop, 16);
  std::vector<double> latencies;
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
            latencies.push_back(
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
  return latencies;
}

double
Quantile(std::vector<double>& aLatencies, double aQuantile)
{
  std::ranges::sort(aLatencies);
  return aLatencies[static_cast<std::size_t>(
    aQuantile * static_cast<double>(aLatencies.size() - 1))];
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
    std::printf(
      "the mesh did not start: nodes, configuration or backend servers were "
      "not ready within 10 s\n");
    return 1;
  }
  // The first machine runs the backend server of timetable, the second that of
  // dispatch, so a call for dispatch through the first passes both nodes.
  const std::string direct =
    "http://" + mesh.machines[1]->BackendAddress() + "/dispatch/status/a";
  const std::string throughTwoNodes =
    "http://" + mesh.machines[0]->CallerAddress() + "/dispatch/status/a";
  const std::string throughOneNode =
    "http://" + mesh.machines[1]->CallerAddress() + "/dispatch/status/a";
  int failed = 0;
  std::vector<double> directLatencies;
  std::vector<double> oneNodeLatencies;
  std::vector<double> twoNodeLatencies;
  RunOpenLoop(throughTwoNodes, failed); // Warms up both nodes.
  const pid_t ingress = mesh.machines[0]->node->Id();
  const pid_t owner = mesh.machines[1]->node->Id();
  double ingressCpu = 0;
  double ownerCpu = 0;
  for (int n = 0; n < kRounds; ++n) {
    Append(directLatencies, RunOpenLoop(direct, failed));
    Append(oneNodeLatencies, RunOpenLoop(throughOneNode, failed));
    const double ingressBefore = bench::CpuSeconds(ingress);
    const double ownerBefore = bench::CpuSeconds(owner);
    Append(twoNodeLatencies, RunOpenLoop(throughTwoNodes, failed));
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
  for (const double quantile : { 0.5, 0.99, 0.999 }) {
    const double directMs = Quantile(directLatencies, quantile);
    const double oneNodeMs = Quantile(oneNodeLatencies, quantile);
    const double twoNodesMs = Quantile(twoNodeLatencies, quantile);
    std::printf("| p%g | %.3f | %.3f | %.3f | %.3f | %.2f |\n",
                quantile * 100,
                directMs,
                oneNodeMs,
                twoNodesMs,
                twoNodesMs - directMs,
                twoNodesMs / directMs);
  }
  constexpr double kMicrosecondsPerCall = 1e6 / (kRounds * kCallsPerRound);
  std::printf("processor time per call, idle work included: ingress %.0f us, "
              "owner %.0f us\n",
              ingressCpu * kMicrosecondsPerCall,
              ownerCpu * kMicrosecondsPerCall);
  const double addedP99Ms =
    Quantile(twoNodeLatencies, 0.99) - Quantile(directLatencies, 0.99);
  std::printf("bound of %.2f ms added to p99: %s\n",
              kMaxAddedP99Ms,
              addedP99Ms <= kMaxAddedP99Ms ? "held" : "missed");
  return 0;
}
