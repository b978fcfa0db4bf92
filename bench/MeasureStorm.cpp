// Starts all nodes at once and prints how the mesh settles, on a simulated
// clock: measure_storm [NODES [SECONDS]].

#include "fakes/FakeMesh.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace knapweedpaddle;
using namespace knapweedpaddle::fakes;

namespace {

constexpr Milliseconds kInterval{ 20'000 };
const std::vector<std::string> kZones{ "a1", "a2", "a3", "b1", "b2", "b3" };

/** Returns how many other members the least informed node knows. */
std::size_t
SmallestTable(const FakeMesh& aMesh)
{
  std::size_t least = aMesh.members.size();
  for (const auto& it : aMesh.members) {
    least = std::min(least, it.core->Members().Members().size());
  }
  return least;
}

void
Run(std::size_t aSize, Milliseconds aTime)
{
  FakeMesh mesh(5);
  for (std::size_t n = 0; n < aSize; ++n) {
    mesh.Add(kZones[n % kZones.size()], "service-" + std::to_string(n % 18));
  }
  mesh.StartAll();
  std::printf(
    "| s | bytes sent, per node and s | nodes serving | members known, least | "
    "platform reads/s |\n|---|---|---|---|---|\n");
  const double seconds = std::chrono::duration<double>(kInterval).count();
  for (Milliseconds done{ 0 }; done < aTime; done += kInterval) {
    const double bytes = mesh.SentBytes();
    const std::uint64_t reads = mesh.shared.reads;
    mesh.clock.RunFor(kInterval);
    std::printf("| %lld | %.0f | %zu | %zu | %.1f |\n",
                static_cast<long long>((done + kInterval).count() / 1000),
                (mesh.SentBytes() - bytes) / static_cast<double>(aSize) /
                  seconds,
                mesh.ServingCount(),
                SmallestTable(mesh),
                static_cast<double>(mesh.shared.reads - reads) / seconds);
    std::fflush(stdout);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const int size = aCount > 1 ? std::atoi(aArguments[1]) : 288;
  const int seconds = aCount > 2 ? std::atoi(aArguments[2]) : 200;
  Run(static_cast<std::size_t>(size), Milliseconds(seconds * 1000));
  return 0;
}
