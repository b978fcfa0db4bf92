#pragma once

#include "knapweedpaddle/nodes/Membership.h"

namespace knapweedpaddle::nodes {

/** The duty of following the store for a zone. */
inline constexpr const char* kConfigReaderDuty = "config-reader";

/**
 * Returns the members of a zone that hold a shared duty, by rendezvous hash
 * over those alive. Members with different views may both take the duty, so a
 * duty must tolerate a second holder.
 *
 * @param aDuty   name that spreads different duties over different members.
 * @param aCount  number of holders wanted.
 */
std::vector<NodeId>
DutyHolders(const Membership& aMembership,
            const std::string& aZone,
            const std::string& aDuty,
            std::size_t aCount);

/** True when this node is among the holders of a duty in its own zone. */
bool
HoldsDuty(const Membership& aMembership,
          const std::string& aDuty,
          std::size_t aCount);

} // namespace knapweedpaddle::nodes
