// Tests moves to good and bad versions in simulated meshes of the size of each
// deployment: good versions must be completed in time, and bad versions must be
// taken back before they get many calls.

#include "fakes/TrialCases.h"
#include "proof/ProofLog.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using namespace knapweedpaddle::fakes;

namespace {

/** A fault that is there from the start must be found before the share of calls
 * exceeds the canary share by more than this. */
constexpr double kMaxShareAboveCanary = 0.03;

bool
ShareStaysLow(const TrialCase& aCase, const TrialResult& aResult)
{
  return aCase.faultAfter.count() > 0 ||
         aCase.fault == VersionFault::kFailsUnderLoad ||
         aResult.shareBeforeVerdict <= aCase.canaryShare + kMaxShareAboveCanary;
}

} // namespace

TEST_CASE("move trials complete good versions and take back bad ones",
          "[moves]")
{
  for (const auto& deployment : Deployments()) {
    for (const auto& disturbance : kDisturbanceNames) {
      std::uint64_t trials = 0;
      std::uint64_t failedTrials = 0;
      for (const auto& trial : CasesFor(deployment)) {
        if (trial.disturbance != disturbance.value) {
          continue;
        }
        const TrialResult result = RunTrial(trial);
        const auto expected = HasBadVersion(trial)
                                ? config::MoveState::kTakenBack
                                : config::MoveState::kDone;
        INFO(deployment.name << ": " << fakes::DescribeCase(trial) << ": "
                             << result.reason << ", in time " << result.inTime
                             << ", share " << result.shareBeforeVerdict);
        const bool ended = result.end == expected;
        const bool inTime = HasBadVersion(trial) || result.inTime;
        CHECK(ended);
        CHECK(inTime);
        CHECK(result.lateCalls == 0);
        const bool shareStaysLow =
          !HasBadVersion(trial) || ShareStaysLow(trial, result);
        CHECK(shareStaysLow);
        ++trials;
        failedTrials +=
          ended && inTime && result.lateCalls == 0 && shareStaysLow ? 0 : 1;
      }
      proof::Note("P4",
                  std::string(disturbance.name),
                  trials,
                  failedTrials,
                  "move trials " + deployment.name);
    }
  }
}
