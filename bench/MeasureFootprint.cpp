// Measures the memory and processor time of idle nodes that run as real
// processes, and extrapolates both to the target size.

#include "FitLine.h"
#include "ProcessUse.h"
#include "processes/Processes.h"

#include <cstdio>
#include <thread>

using namespace knapweedpaddle;
using bench::CpuSeconds;
using bench::ResidentMb;
using namespace knapweedpaddle::processes;

namespace {

constexpr double kTargetNodes = 600;
constexpr int kIdleSeconds = 10;
const std::vector<std::string> kZones{ "a1", "a2", "a3", "b1", "b2", "b3" };

/** Means over the nodes of one mesh. */
struct Sample
{
  double residentMb = 0;
  double corePercent = 0;
};

Sample
MeasureSize(std::size_t aSize, int aBasePort)
{
  TestMesh mesh(aBasePort);
  for (std::size_t n = 0; n < aSize; ++n) {
    auto machine = std::make_unique<Machine>();
    machine->zone = kZones[n % kZones.size()];
    machine->basePort = aBasePort + 10 * (1 + static_cast<int>(n));
    mesh.machines.push_back(std::move(machine));
    mesh.StartNode(*mesh.machines.back());
  }
  mesh.AwaitVersion(0, 20'000);
  mesh.ApplyFile(*mesh.machines[0],
                 std::string(KNAPWEED_SOURCE_DIR) +
                   "/examples/coulee-chime.json");
  std::this_thread::sleep_for(std::chrono::seconds(10));
  double before = 0;
  for (const auto& it : mesh.machines) {
    before += CpuSeconds(it->node->Id());
  }
  std::this_thread::sleep_for(std::chrono::seconds(kIdleSeconds));
  Sample sample;
  double after = 0;
  for (const auto& it : mesh.machines) {
    after += CpuSeconds(it->node->Id());
    sample.residentMb +=
      ResidentMb(it->node->Id()) / static_cast<double>(aSize);
  }
  sample.corePercent =
    (after - before) / kIdleSeconds / static_cast<double>(aSize) * 100;
  return sample;
}

} // namespace

int
main()
{
  std::vector<bench::Point> memory;
  std::vector<bench::Point> cpu;
  std::printf(
    "| nodes | resident MB | %% of a core when idle |\n|---|---|---|\n");
  int port = 20'000;
  for (const std::size_t size : { 6, 12, 24, 48, 96 }) {
    const Sample sample = MeasureSize(size, port);
    port += 2000;
    memory.push_back({ static_cast<double>(size), sample.residentMb });
    cpu.push_back({ static_cast<double>(size), sample.corePercent });
    std::printf(
      "| %zu | %.2f | %.3f |\n", size, sample.residentMb, sample.corePercent);
    std::fflush(stdout);
  }
  const bench::Line memoryLine = bench::FitLine(memory);
  const bench::Line cpuLine = bench::FitLine(cpu);
  std::printf("| fitted line at 600 | %.2f | %.3f |\n",
              memoryLine.At(kTargetNodes),
              cpuLine.At(kTargetNodes));
  std::printf(
    "slopes: %.5f MB and %.6f %% per node; residuals: %.3f MB, %.4f %%\n",
    memoryLine.slope,
    cpuLine.slope,
    memoryLine.residual,
    cpuLine.residual);
  return 0;
}
