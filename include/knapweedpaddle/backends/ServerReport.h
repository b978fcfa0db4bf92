#pragma once

#include "knapweedpaddle/common/EnumNames.h"
#include "knapweedpaddle/common/Time.h"

#include <array>
#include <cstdint>
#include <string>

namespace knapweedpaddle::backends {

enum class ReportedState
{
  kReady,
  kDraining,
  kGone, ///< the server signs off
};

inline constexpr std::array<EnumName<ReportedState>, 3> kReportedStateNames{ {
  { ReportedState::kReady, "ready" },
  { ReportedState::kDraining, "draining" },
  { ReportedState::kGone, "gone" },
} };

/** What a backend server says of itself. */
struct ServerReport
{
  std::string id;
  std::string service;
  std::string address; ///< "IP:port"
  std::string version;
  std::uint32_t slots = 0;
  ReportedState state = ReportedState::kReady;
  Milliseconds warmupLeft{ 0 };  ///< how much longer it stays slow
  std::uint64_t sequence = 0;    ///< rises within one start of the server
  std::uint64_t startedAtMs = 0; ///< Unix time; tells starts apart; 0: unknown
};

} // namespace knapweedpaddle::backends
