#pragma once

#include "knapweedpaddle/nodes/Membership.h"
#include "knapweedpaddle/routing/RoutingView.h"

namespace knapweedpaddle::node {

/** Adds this node and its members as places to send calls, if they serve. */
void
AddTargets(routing::RoutingView& aView, const nodes::Membership& aMembers);

} // namespace knapweedpaddle::node
