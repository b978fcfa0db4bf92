// Starts all nodes of a mesh at once on a simulated clock and prints at regular
// intervals its traffic and how far it has settled.
// Usage: measure_storm [NODES [SECONDS]]

#include "fakes/FakeMesh.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace knapweedpaddle;
using namespace knapweedpaddle::fakes;

namespace {

constexpr Milliseconds kReportInterval{ 20'000 };
const std::vector<std::string> kZones{ "a1", "a2", "a3", "b1", "b2", "b3" };

/** Returns how many other members the node with the smallest member table
 * knows. */
std::size_t
SmallestMemberTable(const FakeMesh& aMesh)
{
  std::size_t least = aMesh.members.size();
  for (const auto& it : aMesh.members) {
    least = std::min(least, it.core->Members().Members().size());
  }
  return least;
}

void
RunStorm(std::size_t aSize, Milliseconds aDuration)
{
  FakeMesh mesh(5);
  for (std::size_t n = 0; n < aSize; ++n) {
    mesh.Add(kZones[n % kZones.size()], "service-" + std::to_string(n % 18));
  }
  mesh.StartAll();
  std::printf(
    "| s | bytes sent, per node and s | nodes serving | least members known | "
    "platform reads/s |\n|---|---|---|---|---|\n");
  const double seconds = std::chrono::duration<double>(kReportInterval).count();
  for (Milliseconds elapsed{ 0 }; elapsed < aDuration;
       elapsed += kReportInterval) {
    const double bytesBefore = mesh.SentBytes();
    const std::uint64_t readsBefore = mesh.shared.reads;
    mesh.clock.RunFor(kReportInterval);
    std::printf(
      "| %lld | %.0f | %zu | %zu | %.1f |\n",
      static_cast<long long>((elapsed + kReportInterval).count() / 1000),
      (mesh.SentBytes() - bytesBefore) / static_cast<double>(aSize) / seconds,
      mesh.ServingCount(),
      SmallestMemberTable(mesh),
      static_cast<double>(mesh.shared.reads - readsBefore) / seconds);
    std::fflush(stdout);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const int size = aCount > 1 ? std::atoi(aArguments[1]) : 288;
  const int seconds = aCount > 2 ? std::atoi(aArguments[2]) : 200;
  RunStorm(static_cast<std::size_t>(size), Milliseconds(seconds * 1000));
  return 0;
}
