#pragma once

#include "FakeMesh.h"
#include "knapweedpaddle/routing/Picker.h"
#include "knapweedpaddle/routing/ShareSequence.h"

#include <optional>
#include <string>

namespace knapweedpaddle::fakes {

/** What is wrong with a new version. */
enum class VersionFault
{
  kNone,
  kFails,          ///< a share of its calls fails
  kSlow,           ///< a share of its calls is slow
  kFailsOnRoute,   ///< only on the first route
  kFailsInZone,    ///< only in the last zone
  kFailsUnderLoad, ///< only while the load is high
  kBothFail,       ///< the old version fails as much at the same time
};

inline constexpr std::array<EnumName<VersionFault>, 7> kVersionFaultNames{ {
  { VersionFault::kNone, "good" },
  { VersionFault::kFails, "fails" },
  { VersionFault::kSlow, "slow" },
  { VersionFault::kFailsOnRoute, "fails on one route" },
  { VersionFault::kFailsInZone, "fails in one zone" },
  { VersionFault::kFailsUnderLoad, "fails under load" },
  { VersionFault::kBothFail, "both versions fail" },
} };

/** What happens to the mesh while the move goes on. */
enum class Disturbance
{
  kNone,
  kPlatformDown,
  kZoneCut,
  kNodesRestarted,
};

inline constexpr std::array<EnumName<Disturbance>, 4> kDisturbanceNames{ {
  { Disturbance::kNone, "calm" },
  { Disturbance::kPlatformDown, "platform down 20 s" },
  { Disturbance::kZoneCut, "zone cut 20 s" },
  { Disturbance::kNodesRestarted, "nodes restarted" },
} };

struct TrialRoute
{
  std::string name;
  config::CallClass callClass = config::CallClass::kIdempotent;
  double callsPerSecond = 0; ///< over the whole service
};

struct TrialCase
{
  std::vector<std::string> zones;
  std::size_t backendsPerVersion = 5; ///< of each version
  std::vector<TrialRoute> routes;
  VersionFault fault = VersionFault::kNone;
  double faultShare = 0.5;       ///< of the calls that the fault concerns
  Milliseconds faultAfter{ 0 };  ///< from the start of the move
  Milliseconds window{ 60'000 }; ///< from the start to the time to be done by
  Milliseconds bake{ 10'000 };
  double canaryShare = 0.05;
  Disturbance disturbance = Disturbance::kNone;
  std::uint64_t seed = 1;
};

struct TrialResult
{
  std::optional<config::MoveState> end; ///< nothing while still open
  std::string reason;
  bool inTime = false; ///< every zone at a share of 1 by the entry's time
  double shareBeforeVerdict =
    0; ///< of the concerned zones' calls, from start to verdict
  double largestShareReached =
    0; ///< the stage's share in any zone before the verdict
  Milliseconds faultToLastCall{
    -1
  }; ///< from the first bad call to the last call
  std::uint64_t lateCalls =
    0; ///< to the new version, 2 s and more after the verdict, in reach
  std::uint64_t badCalls = 0;
  std::uint64_t unservedCalls =
    0; ///< calls for which no backend server was found
  std::uint64_t calls = 0;
};

/**
 * Runs one move to its end on a simulated mesh with synthetic calls.
 *
 * @param aWithEvidence  false for the baseline: the timetable alone decides.
 */
TrialResult
RunTrial(const TrialCase& aCase, bool aWithEvidence = true);

} // namespace knapweedpaddle::fakes
