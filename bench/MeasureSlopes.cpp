// Measures on a simulated clock how messages, bytes, convergence time and
// platform reads grow with the number of nodes, and fits straight lines.

#include "FitLine.h"
#include "fakes/FakeMesh.h"
#include "knapweedpaddle/config/EntryCodec.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

using namespace knapweedpaddle;
using namespace knapweedpaddle::fakes;

namespace {

constexpr double kTargetNodes = 600;
constexpr Milliseconds kIdleTime{ 20'000 };
const std::vector<std::string> kZones{ "a1", "a2", "a3", "b1", "b2", "b3" };

/** Figures of one mesh size. */
struct Sample
{
  double idleBytes = 0;     ///< bytes sent per node and second
  double idleDatagrams = 0; ///< datagrams sent, per node and second
  double platformReads = 0; ///< reads per second, all nodes together
  double convergence = 0;   ///< seconds until the slowest node serves a change
  double changeBytes = 0;   ///< bytes sent per node for one change
  double restartBytes = 0;  ///< bytes sent by all nodes for one node's restart
  double cpuMicroseconds = 0; ///< per node and second, simulation included
  double joinBytes = 0;       ///< size of one join answer
};

Sample
MeasureSize(std::size_t aSize)
{
  FakeMesh mesh(5);
  for (std::size_t n = 0; n < aSize; ++n) {
    mesh.Add(kZones[n % kZones.size()], "service-" + std::to_string(n % 18));
  }
  mesh.StartAll();
  // The time until a mesh settles whose nodes all start at once grows with
  // their number.
  mesh.clock.RunFor(
    Milliseconds(60'000 + 700 * static_cast<std::int64_t>(aSize)));
  mesh.Accept(mesh.members[0], "first", BasicEntries("v1"));
  mesh.clock.RunFor(Milliseconds(30'000));

  Sample sample;
  const auto size = static_cast<double>(aSize);
  const double seconds = std::chrono::duration<double>(kIdleTime).count();
  const double idleBefore = mesh.SentBytes();
  const double datagramsBefore = mesh.SentDatagrams();
  const auto readsBefore = mesh.shared.reads;
  const std::clock_t cpuBefore = std::clock();
  mesh.clock.RunFor(kIdleTime);
  const double cpu =
    static_cast<double>(std::clock() - cpuBefore) / CLOCKS_PER_SEC;
  const double idle = mesh.SentBytes() - idleBefore;
  sample.idleBytes = idle / size / seconds;
  sample.idleDatagrams =
    (mesh.SentDatagrams() - datagramsBefore) / size / seconds;
  sample.platformReads =
    static_cast<double>(mesh.shared.reads - readsBefore) / seconds;
  sample.cpuMicroseconds = cpu * 1e6 / size / seconds;

  auto entries = BasicEntries("v2");
  for (auto& it : entries) {
    config::HeaderOf(it).revision = 1;
  }
  const double changeBefore = mesh.SentBytes();
  const Timestamp appliedAt = mesh.clock.Now();
  mesh.Accept(mesh.members[1], "second", entries);
  mesh.clock.RunFor(Milliseconds(10'000));
  sample.changeBytes =
    (mesh.SentBytes() - changeBefore) / size - sample.idleBytes * 10;
  for (const auto& it : mesh.members) {
    const double took =
      std::chrono::duration<double>(it.servedSince - appliedAt).count();
    // 99 s stands for a mesh in which some node does not serve the change.
    sample.convergence =
      std::max(sample.convergence, mesh.AllServe(2) ? took : 99.0);
  }

  const double restartBefore = mesh.SentBytes();
  mesh.Start(mesh.members[2]);
  mesh.clock.RunFor(Milliseconds(60'000));
  sample.restartBytes =
    mesh.SentBytes() - restartBefore - sample.idleBytes * size * 60;
  nodes::JoinAnswer answer;
  answer.members = mesh.members[0].core->Members().FullTable();
  sample.joinBytes =
    static_cast<double>(nodes::EncodeJoinAnswer(answer).size());
  return sample;
}

void
PrintLine(const char* aName,
          const std::vector<std::size_t>& aSizes,
          const std::vector<Sample>& aSamples,
          double Sample::*aField)
{
  std::vector<bench::Point> points;
  std::printf("| %s |", aName);
  for (std::size_t n = 0; n < aSizes.size(); ++n) {
    points.push_back({ static_cast<double>(aSizes[n]), aSamples[n].*aField });
    std::printf(" %.4g |", aSamples[n].*aField);
  }
  const bench::Line line = bench::FitLine(points);
  std::printf(" %.4g | %.4g | %.3g | %.4g |\n",
              line.slope,
              line.constant,
              line.residual,
              line.At(kTargetNodes));
}

} // namespace

int
main()
{
  const std::vector<std::size_t> sizes{ 36, 72, 144, 288, 600 };
  std::vector<Sample> samples;
  std::printf("| measure |");
  for (const auto it : sizes) {
    samples.push_back(MeasureSize(it));
    std::printf(" %zu nodes |", it);
  }
  std::printf(" slope | constant | residual | fitted line at 600 "
              "|\n|---|---|---|---|---|---|---|---|---|---|\n");
  PrintLine(
    "bytes sent when idle, per node and s", sizes, samples, &Sample::idleBytes);
  PrintLine("datagrams sent when idle, per node and s",
            sizes,
            samples,
            &Sample::idleDatagrams);
  PrintLine(
    "platform reads when idle, per s", sizes, samples, &Sample::platformReads);
  PrintLine(
    "slowest node of one change, s", sizes, samples, &Sample::convergence);
  PrintLine("bytes sent for one change, per node",
            sizes,
            samples,
            &Sample::changeBytes);
  PrintLine("bytes sent for one restart, all nodes",
            sizes,
            samples,
            &Sample::restartBytes);
  PrintLine("processor time when idle, us per node and s",
            sizes,
            samples,
            &Sample::cpuMicroseconds);
  PrintLine("bytes of one join answer", sizes, samples, &Sample::joinBytes);
  return 0;
}
