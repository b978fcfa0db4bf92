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

/**
 * Returns the member that this node asks whether its configuration is the
 * newest. The members of a zone form a tree with its first configuration reader
 * as the root, and ask their parents, so that no member answers many others.
 * The root asks the first readers of other zones.
 *
 * @param aAttempt  number of queries that were not answered since the last
 * answer; each leads to another member, if there is one.
 * @return nothing if there is no member to ask.
 */
std::optional<NodeId>
ConfirmationSource(const Membership& aMembership, std::size_t aAttempt);

/** Returns whether a duty of this node's own zone is assigned to this node. */
bool
HoldsDuty(const Membership& aMembership,
          const std::string& aDuty,
          std::size_t aCount);

} // namespace knapweedpaddle::nodes
