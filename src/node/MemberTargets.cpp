#include "MemberTargets.h"

#include "knapweedpaddle/node/MemberAgent.h"

namespace knapweedpaddle::node {

using nodes::Liveness;
using nodes::MemberRecord;

void
AddTargets(routing::RoutingView& aView, const nodes::Membership& aMembers)
{
  const auto add = [&aView](const MemberRecord& aRecord, bool aSuspect) {
    if (aRecord.state == nodes::MemberState::kServing &&
        !aRecord.service.empty()) {
      aView.targets[aRecord.service].push_back(
        { aRecord.node,
          LinkAddress(aRecord),
          aRecord.zone,
          aRecord.version,
          aRecord.slots,
          aSuspect,
          aView.evacuatedZones.contains(aRecord.zone) });
    }
  };
  add(aMembers.Self(), false);
  for (const auto& [id, member] : aMembers.Members()) {
    for (const auto& it : member.record.suspects) {
      MergeSuspect(aView.suspects, it);
    }
    if (member.liveness != Liveness::kDead) {
      add(member.record, member.liveness == Liveness::kSuspect);
    }
  }
}

} // namespace knapweedpaddle::node
