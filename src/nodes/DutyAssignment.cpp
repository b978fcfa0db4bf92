#include "knapweedpaddle/nodes/DutyAssignment.h"

#include <algorithm>
#include <set>
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

/** Number of members that ask the same member. */
constexpr std::size_t kConfirmationFanOut = 6;

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

std::optional<NodeId>
ConfirmationSource(const Membership& aMembership, std::size_t aAttempt)
{
  const MemberRecord& self = aMembership.Self();
  const auto zoneMembers = DutyHolders(aMembership,
                                       self.zone,
                                       kConfigReaderDuty,
                                       aMembership.Members().size() + 1);
  const auto it = std::ranges::find(zoneMembers, self.node);
  const auto rank = static_cast<std::size_t>(it - zoneMembers.begin());
  if (rank > 0) {
    const std::size_t parent = (rank - 1) / kConfirmationFanOut;
    return zoneMembers[(parent + aAttempt) % rank];
  }
  std::set<std::string> zones;
  for (const auto& [id, member] : aMembership.Members()) {
    if (member.liveness == Liveness::kAlive &&
        member.record.zone != self.zone) {
      zones.insert(member.record.zone);
    }
  }
  if (zones.empty()) {
    return std::nullopt;
  }
  const auto zone = std::next(
    zones.begin(), static_cast<std::ptrdiff_t>(aAttempt % zones.size()));
  const auto readers = DutyHolders(aMembership, *zone, kConfigReaderDuty, 1);
  return readers.empty() ? std::nullopt : std::optional(readers.front());
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
