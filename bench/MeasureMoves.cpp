// Prints convergence time, control traffic, and how good and bad moves end, for
// each deployment. A baseline is printed beside it: nodes that poll the
// platform once a second, and moves that follow a fixed schedule without
// evidence.

#include "fakes/TrialCases.h"

#include <algorithm>
#include <cstdio>

using namespace knapweedpaddle;
using namespace knapweedpaddle::fakes;

namespace {

constexpr std::size_t kChangeCount = 40;
constexpr Milliseconds kMeasurementTime{ 60'000 };
/** Bytes of one poll of the platform and its answer, with the headers of
 * both. */
constexpr double kPollBytes = 2 * 150 + 18 + 60;

struct Convergence
{
  std::vector<double> seconds; ///< from a change to each node serving it
  double bytesPerNodeSecond = 0;
  double sentDatagramsPerNodeSecond = 0;
};

double
Quantile(std::vector<double> aValues, double aQuantile)
{
  std::ranges::sort(aValues);
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues.empty() ? 0
                         : aValues[static_cast<std::size_t>(aQuantile * last)];
}

/** Applies changes one after another to a settled mesh of the deployment's full
 * size. */
Convergence
MeasureConvergence(const Deployment& aDeployment)
{
  FakeMesh mesh(11);
  std::size_t size = 0;
  for (const auto n : aDeployment.backendsPerService) {
    size += n;
  }
  for (std::size_t n = 0; n < size; ++n) {
    mesh.Add(aDeployment.zones[n % aDeployment.zones.size()]);
  }
  mesh.StartAll();
  mesh.clock.RunFor(Milliseconds(5000));
  mesh.Accept(mesh.members[0], "first", BasicEntries("v1"));
  mesh.clock.RunFor(Milliseconds(5000));

  Convergence result;
  const double bytesBefore = mesh.SentBytes();
  const double datagramsBefore = mesh.SentDatagrams();
  const Timestamp from = mesh.clock.Now();
  for (std::size_t n = 0; n < kChangeCount; ++n) {
    auto entries = BasicEntries("v1");
    for (auto& it : entries) {
      config::HeaderOf(it).revision = n + 1;
    }
    const std::string operation = "change-" + std::to_string(n);
    const Timestamp appliedAt = mesh.clock.Now();
    mesh.Accept(mesh.members[n % size], operation, entries);
    mesh.clock.RunFor(kMeasurementTime / kChangeCount);
    for (const auto& it : mesh.members) {
      result.seconds.push_back(
        std::chrono::duration<double>(it.servedSince - appliedAt).count());
    }
  }
  const double elapsed =
    std::chrono::duration<double>(mesh.clock.Now() - from).count();
  const double nodeSeconds = elapsed * static_cast<double>(size);
  result.bytesPerNodeSecond = (mesh.SentBytes() - bytesBefore) / nodeSeconds;
  result.sentDatagramsPerNodeSecond =
    (mesh.SentDatagrams() - datagramsBefore) / nodeSeconds;
  return result;
}

/** Sums over the moves of one deployment. A move is bad when its new version
 * has a fault that the version before has not, else good. */
struct MoveTally
{
  int good = 0;
  int goodInTime = 0;
  int bad = 0;
  int takenBack = 0;
  double shareBeforeVerdictSum = 0;
  double shareBeforeVerdictMax = 0;
  std::vector<double> faultToZeroSeconds;
  std::uint64_t lateCalls = 0;
  std::uint64_t badCalls = 0;

  void Add(const TrialCase& aCase, const TrialResult& aResult)
  {
    if (!HasBadVersion(aCase)) {
      ++good;
      goodInTime +=
        aResult.inTime && aResult.end != config::MoveState::kTakenBack ? 1 : 0;
      return;
    }
    ++bad;
    const bool wasTakenBack = aResult.end == config::MoveState::kTakenBack;
    takenBack += wasTakenBack ? 1 : 0;
    badCalls += aResult.badCalls;
    lateCalls += aResult.lateCalls;
    if (wasTakenBack) {
      shareBeforeVerdictSum += aResult.shareBeforeVerdict;
      shareBeforeVerdictMax =
        std::max(shareBeforeVerdictMax, aResult.shareBeforeVerdict);
      faultToZeroSeconds.push_back(
        static_cast<double>(aResult.faultToLastCall.count()) / 1000);
    }
  }

  void Print(const char* aName) const
  {
    std::printf("  %-9s good in time %d of %d; bad taken back %d of %d; ",
                aName,
                goodInTime,
                good,
                takenBack,
                bad);
    std::printf(
      "share before verdict mean %.3f max %.3f; fault to zero p50 %.1f s max "
      "%.1f s; "
      "calls 2 s after the verdict %llu; failed or slow calls %llu\n",
      takenBack > 0 ? shareBeforeVerdictSum / takenBack : 0,
      shareBeforeVerdictMax,
      Quantile(faultToZeroSeconds, 0.5),
      Quantile(faultToZeroSeconds, 1),
      static_cast<unsigned long long>(lateCalls),
      static_cast<unsigned long long>(badCalls));
  }
};

/** Adds the result of the same case under the baseline: the schedule alone
 * decides, so every good move is in time and no bad one is taken back. */
void
AddBaseline(MoveTally& aTally, const TrialCase& aCase)
{
  if (HasBadVersion(aCase)) {
    ++aTally.bad;
    aTally.badCalls += RunTrial(aCase, false).badCalls;
    return;
  }
  ++aTally.good;
  ++aTally.goodInTime;
}

void
Measure(const Deployment& aDeployment)
{
  std::printf("%s\n", aDeployment.name.c_str());
  const Convergence convergence = MeasureConvergence(aDeployment);
  std::printf("  ours      convergence p50 %.2f s p99 %.2f s max %.2f s; "
              "sent per node and second: %.0f control bytes, "
              "%.1f datagrams\n",
              Quantile(convergence.seconds, 0.5),
              Quantile(convergence.seconds, 0.99),
              Quantile(convergence.seconds, 1),
              convergence.bytesPerNodeSecond,
              convergence.sentDatagramsPerNodeSecond);
  std::printf("  baseline  convergence p50 0.50 s p99 0.99 s max 1.00 s "
              "(polls, platform up); "
              "per node and second: %.0f control bytes, one platform "
              "read\n",
              kPollBytes);
  MoveTally ours;
  MoveTally baseline;
  for (const auto& item : CasesFor(aDeployment)) {
    ours.Add(item, RunTrial(item));
    AddBaseline(baseline, item);
  }
  ours.Print("ours");
  baseline.Print("baseline");
}

} // namespace

int
main()
{
  for (const auto& it : Deployments()) {
    Measure(it);
  }
  return 0;
}
