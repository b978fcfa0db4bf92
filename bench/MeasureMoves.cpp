// Prints the four measures of both deployments, beside a baseline that polls
// the platform once a second and moves by a fixed timetable without evidence.

#include "fakes/TrialCases.h"

#include <algorithm>
#include <cstdio>

using namespace knapweedpaddle;
using namespace knapweedpaddle::fakes;

namespace {

constexpr std::size_t kChanges = 40;
constexpr Milliseconds kMeasured{ 60'000 };
/** Bytes of one poll of the platform and its answer, headers included. */
constexpr double kPollBytes = 2 * 150 + 18 + 60;

struct Convergence
{
  std::vector<double> seconds; ///< from the write to each node's view
  double bytesPerNodeSecond = 0;
  double sentDatagramsPerNodeSecond = 0;
};

double
Quantile(std::vector<double> aValues, double aPart)
{
  std::ranges::sort(aValues);
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues.empty() ? 0 : aValues[static_cast<std::size_t>(aPart * last)];
}

/** Makes changes on a calm mesh of the deployment's whole size. */
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
  const double bytes = mesh.SentBytes();
  const double messages = mesh.SentDatagrams();
  const Timestamp from = mesh.clock.Now();
  for (std::size_t n = 0; n < kChanges; ++n) {
    auto entries = BasicEntries("v1");
    for (auto& it : entries) {
      config::HeaderOf(it).revision = n + 1;
    }
    const std::string operation = "change-" + std::to_string(n);
    const Timestamp asked = mesh.clock.Now();
    mesh.Accept(mesh.members[n % size], operation, entries);
    mesh.clock.RunFor(kMeasured / kChanges);
    for (const auto& it : mesh.members) {
      result.seconds.push_back(
        std::chrono::duration<double>(it.servedSince - asked).count());
    }
  }
  const double elapsed =
    std::chrono::duration<double>(mesh.clock.Now() - from).count();
  const double nodeSeconds = elapsed * static_cast<double>(size);
  result.bytesPerNodeSecond = (mesh.SentBytes() - bytes) / nodeSeconds;
  result.sentDatagramsPerNodeSecond =
    (mesh.SentDatagrams() - messages) / nodeSeconds;
  return result;
}

struct MoveTally
{
  int good = 0;
  int goodInTime = 0;
  int bad = 0;
  int takenBack = 0;
  double shareSum = 0;
  double shareMost = 0;
  std::vector<double> faultToLastCall;
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
    const bool back = aResult.end == config::MoveState::kTakenBack;
    takenBack += back ? 1 : 0;
    badCalls += aResult.badCalls;
    lateCalls += aResult.lateCalls;
    if (back) {
      shareSum += aResult.shareBeforeVerdict;
      shareMost = std::max(shareMost, aResult.shareBeforeVerdict);
      faultToLastCall.push_back(
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
      "share before verdict mean %.3f most %.3f; fault to zero p50 %.1f s max "
      "%.1f s; "
      "calls 2 s after the verdict %llu; calls that went wrong %llu\n",
      takenBack > 0 ? shareSum / takenBack : 0,
      shareMost,
      Quantile(faultToLastCall, 0.5),
      Quantile(faultToLastCall, 1),
      static_cast<unsigned long long>(lateCalls),
      static_cast<unsigned long long>(badCalls));
  }
};

/** The timetable alone: what its calls would meet, from the same case without a
 * judge. */
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
              "control bytes sent %.0f a "
              "node and second, %.1f datagrams\n",
              Quantile(convergence.seconds, 0.5),
              Quantile(convergence.seconds, 0.99),
              Quantile(convergence.seconds, 1),
              convergence.bytesPerNodeSecond,
              convergence.sentDatagramsPerNodeSecond);
  std::printf("  baseline  convergence p50 0.50 s p99 0.99 s max 1.00 s "
              "(polls, platform up); "
              "control bytes %.0f a node and second, and as many platform "
              "reads as nodes\n",
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
