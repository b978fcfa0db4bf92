#pragma once

#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedpaddle {

/** Identifies a team in messages between nodes: a hash of its name. */
using TeamId = std::uint64_t;

/** Returns the id of a team. */
TeamId
TeamIdOf(const std::string& aName);

/** Calls of a team at one node since that process started. */
struct TeamUsage
{
  TeamId team = 0;
  std::uint64_t asked = 0; ///< calls that callers sent
  std::uint64_t used =
    0; ///< those of them that were admitted, and not refunded
  /** The part of used that no coordinator is known to have counted yet. */
  std::uint64_t uncounted = 0;

  bool operator==(const TeamUsage&) const = default;
};

/** The part of a team's allowance that one node may use. */
struct TeamGrant
{
  TeamId team = 0;
  double callsPerSecond = 0;

  bool operator==(const TeamGrant&) const = default;
};

/** What a coordinator of allowances answered to this node's report. */
struct AllowanceUpdate
{
  std::size_t slot = 0;  ///< the teams that the answer is about; see SlotOf()
  Microseconds sentAt{}; ///< boot time at which the report was sent
  /** Whether the coordinator knows enough to decide. If not, the node goes on
   * at its present rate. */
  bool decided = false;
  /** Teams whose calls are limited; all others of the slot are not. */
  std::vector<TeamGrant> limited;
  std::size_t members = 1; ///< nodes that share the allowances
};

/** Returns the slot of a team, of aSlots that share the teams evenly. */
inline std::size_t
SlotOf(TeamId aTeam, std::size_t aSlots)
{
  return aSlots > 0 ? static_cast<std::size_t>(aTeam % aSlots) : 0;
}

} // namespace knapweedpaddle
