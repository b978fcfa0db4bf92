#pragma once

#include "knapweedpaddle/nodes/Membership.h"
#include "knapweedpaddle/routing/RoutingView.h"

namespace knapweedpaddle::node {

/** Adds this node and all members that are not dead to a view's call targets,
 * as far as they serve a backend server, and what the members report of crashes
 * of their servers.
 *
 * @pre aView.evacuatedZones is set.
 */
void
AddTargets(routing::RoutingView& aView, const nodes::Membership& aMembers);

} // namespace knapweedpaddle::node
