#pragma once

#include "FakeMesh.h"
#include "knapweedpaddle/routing/LoadBalancer.h"
#include "knapweedpaddle/routing/LowDiscrepancySequence.h"

#include <optional>
#include <string>

namespace knapweedpaddle::fakes {

/** How the new version fails. */
enum class VersionFault
{
  kNone,
  kFails,          ///< A share of the calls to the new version fails.
  kSlow,           ///< A share of the calls to the new version is slow.
  kFailsOnRoute,   ///< Calls to the new version fail on the first route.
  kFailsInZone,    ///< Calls to the new version fail in the last zone.
  kFailsUnderLoad, ///< Calls to the new version fail while load is high.
  kBothFail,       ///< Both versions fail the same share of their calls.
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

/** What happens to the mesh during the move. */
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

/** A route of the service and its load. */
struct TrialRoute
{
  std::string name;
  config::CallClass callClass = config::CallClass::kIdempotent;
  double callsPerSecond = 0; ///< Rate over all nodes, outside the busy period.
};

/** The settings of one trial. */
struct TrialCase
{
  std::vector<std::string> zones;
  std::size_t backendsPerVersion = 5; ///< Backend servers of each version.
  std::vector<TrialRoute> routes;
  VersionFault fault = VersionFault::kNone;
  double faultShare = 0.5; ///< Share of affected calls that fail or are slow.
  /** Time from the start of the move to the fault. */
  Milliseconds faultAfter{ 0 };
  /** Time from the start of the move to its done_by time. */
  Milliseconds window{ 60'000 };
  Milliseconds bake{ 10'000 };
  double canaryShare = 0.05;
  Disturbance disturbance = Disturbance::kNone;
  std::uint64_t seed = 1;
};

/** What was observed in one trial. */
struct TrialResult
{
  std::optional<config::MoveState> end; ///< Empty while the move is open.
  std::string reason;
  bool inTime = false; ///< Every zone was fully moved by the done_by time.
  /** Share of calls to the new version from the start to the verdict, in the
   * zones that the fault affects. */
  double shareBeforeVerdict = 0;
  /** Largest share that a stage gave the new version in any zone before the
   * verdict. */
  double largestShareReached = 0;
  /** Time from the first bad call to the last call to the new version, or -1
   * without bad calls. */
  Milliseconds faultToLastCall{ -1 };
  /** Calls to the new version later than 2 s after the verdict, without those
   * that a cut link explains. */
  std::uint64_t lateCalls = 0;
  /** Failed or slow calls to the new version during the fault. */
  std::uint64_t badCalls = 0;
  /** Calls for which no backend server was found. */
  std::uint64_t unservedCalls = 0;
  std::uint64_t calls = 0;
};

/**
 * Runs one move to its end on a simulated mesh with synthetic calls.
 *
 * @param aWithEvidence  false for the baseline, in which the schedule alone
 *                       decides, without evidence from calls.
 */
TrialResult
RunTrial(const TrialCase& aCase, bool aWithEvidence = true);

} // namespace knapweedpaddle::fakes
