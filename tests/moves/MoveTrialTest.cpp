// Moves to good and bad versions, on both deployments' sizes of today.

#include "fakes/TrialCases.h"
#include "proof/ProofLog.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using namespace knapweedpaddle::fakes;

namespace {

/** A fault that is there from the start must be found before the share grows
 * past this. */
constexpr double kShareSlack = 0.03;

bool
ShareHolds(const TrialCase& aCase, const TrialResult& aResult)
{
  return aCase.faultAfter.count() > 0 ||
         aCase.fault == VersionFault::kFailsUnderLoad ||
         aResult.shareBeforeVerdict <= aCase.canaryShare + kShareSlack;
}

} // namespace

TEST_CASE("every case of the list ends as it must", "[moves]")
{
  for (const auto& deployment : Deployments()) {
    for (const auto& disturbance : kDisturbanceNames) {
      std::uint64_t cells = 0;
      std::uint64_t bad = 0;
      for (const auto& item : CasesFor(deployment)) {
        if (item.disturbance != disturbance.value) {
          continue;
        }
        const TrialResult result = RunTrial(item);
        const auto wanted = HasBadVersion(item) ? config::MoveState::kTakenBack
                                                : config::MoveState::kDone;
        INFO(deployment.name << ": " << fakes::DescribeCase(item) << ": "
                             << result.reason << ", in time " << result.inTime
                             << ", share " << result.shareBeforeVerdict);
        const bool ended = result.end == wanted;
        const bool inTime = HasBadVersion(item) || result.inTime;
        CHECK(ended);
        CHECK(inTime);
        CHECK(result.lateCalls == 0);
        const bool shareHolds =
          !HasBadVersion(item) || ShareHolds(item, result);
        CHECK(shareHolds);
        ++cells;
        bad += ended && inTime && result.lateCalls == 0 && shareHolds ? 0 : 1;
      }
      proof::Note("P4",
                  std::string(disturbance.name),
                  cells,
                  bad,
                  "move trials " + deployment.name);
    }
  }
}
