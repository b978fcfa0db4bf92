#pragma once

#include "knapweedpaddle/nodes/Membership.h"

namespace knapweedpaddle::nodes {

/** Name of the duty to follow configuration changes in the store for a zone. */
inline constexpr const char* kConfigReaderDuty = "config-reader";

/**
 * Returns the members of a zone that a duty is assigned to, by rendezvous
 * hashing over the live members. Nodes whose member tables differ can assign
 * the duty to different members, so a duty must tolerate additional holders.
 * Members that are still starting are eligible only if no other member is.
 *
 * @param aDuty   name of the duty; it is hashed, so that different duties go to
 *                different members.
 * @param aCount  number of members to assign the duty to.
 */
std::vector<NodeId>
DutyHolders(const Membership& aMembership,
            const std::string& aZone,
            const std::string& aDuty,
            std::size_t aCount);

/** Returns whether a duty of this node's own zone is assigned to this node. */
bool
HoldsDuty(const Membership& aMembership,
          const std::string& aDuty,
          std::size_t aCount);

} // namespace knapweedpaddle::nodes
