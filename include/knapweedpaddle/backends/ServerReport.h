#pragma once

#include "knapweedpaddle/common/EnumNames.h"
#include "knapweedpaddle/common/Time.h"

#include <array>
#include <cstdint>
#include <string>

namespace knapweedpaddle::backends {

/** State that a backend server reports of itself. */
enum class ReportedState
{
  kReady,
  kDraining,
  kGone, ///< the server has stopped or is about to stop
};

inline constexpr std::array<EnumName<ReportedState>, 3> kReportedStateNames{ {
  { ReportedState::kReady, "ready" },
  { ReportedState::kDraining, "draining" },
  { ReportedState::kGone, "gone" },
} };

/** A backend server's report of its own state. */
struct ServerReport
{
  std::string id; ///< instance id of the server
  std::string service;
  std::string address; ///< "IP:port"
  std::string version;
  std::uint32_t slots = 0;
  ReportedState state = ReportedState::kReady;
  /** Remaining warm-up time, in which the server responds slowly. */
  Milliseconds warmupLeft{ 0 };
  /** Increases with each report of one server start. */
  std::uint64_t sequence = 0;
  /** Unix time of the server start, which identifies it; 0: unknown. */
  std::uint64_t startedAtMs = 0;
};

} // namespace knapweedpaddle::backends
