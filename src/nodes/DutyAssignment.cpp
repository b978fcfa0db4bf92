#include "knapweedpaddle/nodes/DutyAssignment.h"

#include <algorithm>
#include <xxhash.h>

namespace knapweedpaddle::nodes {

namespace {

std::uint64_t
RendezvousScore(const std::string& aDuty, NodeId aNode)
{
  return XXH3_64bits_withSeed(
    aDuty.data(), aDuty.size(), static_cast<std::uint64_t>(aNode));
}

bool
HoldsConfig(const MemberRecord& aRecord)
{
  return aRecord.state == MemberState::kWarm ||
         aRecord.state == MemberState::kServing;
}

bool
IsStarting(const MemberRecord& aRecord)
{
  return aRecord.state == MemberState::kStarting;
}

std::vector<NodeId>
EligibleMembers(const Membership& aMembership,
                const std::string& aZone,
                bool (*aIsEligible)(const MemberRecord&))
{
  std::vector<NodeId> nodes;
  for (const auto& [id, member] : aMembership.Members()) {
    if (member.liveness == Liveness::kAlive && member.record.zone == aZone &&
        aIsEligible(member.record)) {
      nodes.push_back(id);
    }
  }
  const MemberRecord& self = aMembership.Self();
  if (self.zone == aZone && aIsEligible(self)) {
    nodes.push_back(self.node);
  }
  return nodes;
}

} // namespace

std::vector<NodeId>
DutyHolders(const Membership& aMembership,
            const std::string& aZone,
            const std::string& aDuty,
            std::size_t aCount)
{
  std::vector<NodeId> nodes = EligibleMembers(aMembership, aZone, HoldsConfig);
  if (nodes.empty()) {
    nodes = EligibleMembers(aMembership, aZone, IsStarting);
  }
  std::ranges::sort(nodes, std::ranges::greater{}, [&aDuty](NodeId aItem) {
    return RendezvousScore(aDuty, aItem);
  });
  nodes.resize(std::min(nodes.size(), aCount));
  return nodes;
}

bool
HoldsDuty(const Membership& aMembership,
          const std::string& aDuty,
          std::size_t aCount)
{
  const auto nodes =
    DutyHolders(aMembership, aMembership.Self().zone, aDuty, aCount);
  return std::ranges::find(nodes, aMembership.Self().node) != nodes.end();
}

} // namespace knapweedpaddle::nodes
