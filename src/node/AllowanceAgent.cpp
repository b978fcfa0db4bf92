#include "knapweedpaddle/node/AllowanceAgent.h"

#include "knapweedpaddle/nodes/DutyAssignment.h"

#include <algorithm>

namespace knapweedpaddle::node {

using nodes::GossipKind;
using nodes::GossipMessage;
using nodes::Liveness;
using nodes::NodeId;

namespace {

constexpr const char* kCoordinatorDuty = "allowances";
/** Reports follow the counts of this node's calls, which come each 0.25 s if
 * there are any, and sooner if there are many more than before. */
constexpr Milliseconds kMinReportInterval{ 80 };
constexpr Milliseconds kMaxReportInterval{ 350 };
constexpr Milliseconds kMaxAnswerTime{ 1000 };
/** Reports without an answer after which the next zone's member coordinates. */
constexpr std::size_t kMaxUnanswered = 3;
/** Time after which the first zone is tried again. */
constexpr Milliseconds kPassOverTime{ 5000 };
/** A node that died less long ago may be cut off, and serve its callers. */
constexpr Milliseconds kMaxCutTime{ 60'000 };

} // namespace

AllowanceAgent::AllowanceAgent(Services aServices,
                               std::vector<std::string> aZones)
  : mServices(std::move(aServices))
  , mZones(std::move(aZones))
  , mSlots(mZones.size())
{
  std::ranges::sort(mZones);
  for (std::size_t n = 0; n < mZones.size(); ++n) {
    mCoordinators.emplace_back([this](
                                 TeamId aTeam) -> std::optional<TeamAllowance> {
      const auto it = mAllowances.find(aTeam);
      return it == mAllowances.end() ? std::nullopt : std::optional(it->second);
    });
  }
}

void
AllowanceAgent::SetAllowances(
  std::unordered_map<TeamId, TeamAllowance> aAllowances)
{
  mAllowances = std::move(aAllowances);
}

void
AllowanceAgent::TakeUsages(const std::vector<TeamUsage>& aUsages)
{
  for (const auto& it : aUsages) {
    mUsages[it.team] = it;
  }
  SendReports(kMinReportInterval);
}

void
AllowanceAgent::Tick()
{
  SendReports(kMaxReportInterval);
}

void
AllowanceAgent::SendReports(Milliseconds aInterval)
{
  const Microseconds now = mServices.scheduler.BootTime();
  if (mAllowances.empty() || now < mReportedAt + aInterval ||
      !mServices.knowsFleet()) {
    return;
  }
  mReportedAt = now;
  const auto sharing = SharingNodes();
  for (auto& it : mCoordinators) {
    it.SetNodes(sharing, now);
  }
  std::erase_if(mReports, [now](const auto& aItem) {
    return now - aItem.second.sentAt > kMaxAnswerTime;
  });
  for (std::size_t n = 0; n < mSlots.size(); ++n) {
    SendReport(n);
  }
}

void
AllowanceAgent::SendReport(std::size_t aSlot)
{
  const Microseconds now = mServices.scheduler.BootTime();
  Slot& slot = mSlots[aSlot];
  if (slot.unanswered >= kMaxUnanswered) {
    slot.unanswered = 0;
    slot.attempt = (slot.attempt + 1) % mZones.size();
    slot.passedOverAt = now;
  } else if (slot.attempt > 0 && now - slot.passedOverAt > kPassOverTime) {
    slot.attempt = 0;
  }
  const NodeId coordinator = CoordinatorOf(aSlot);
  if (coordinator != slot.coordinator) {
    slot.coordinator = coordinator;
    slot.isKnown = false;
  }
  if (coordinator == nodes::kNoNode) {
    return;
  }
  Report report{ aSlot, coordinator, now, {} };
  for (const auto& [team, usage] : mUsages) {
    if (SlotOf(team, mSlots.size()) != aSlot) {
      continue;
    }
    const TeamUsage& counted = slot.counted[team];
    if (!slot.isKnown || counted.asked != usage.asked ||
        counted.used != usage.used) {
      report.usages.push_back(usage);
      report.usages.back().uncounted =
        usage.used - std::min(usage.used, counted.used);
    }
  }
  GossipMessage message =
    mServices.members.ConfigMessage(GossipKind::kAllowanceReport, ++mSequence);
  message.updates.clear();
  message.usages = report.usages;
  message.incarnation = mServices.members.Self().incarnation;
  message.allowanceSlot = static_cast<std::uint32_t>(aSlot);
  if (coordinator == mServices.members.Self().node) {
    OnAnswer(report, Coordinate(message));
    return;
  }
  ++slot.unanswered;
  mReports[mSequence] = std::move(report);
  mServices.send({ coordinator, std::move(message) });
}

NodeId
AllowanceAgent::CoordinatorOf(std::size_t aSlot) const
{
  for (std::size_t n = 0; n < mZones.size(); ++n) {
    const auto& zone =
      mZones[(aSlot + mSlots[aSlot].attempt + n) % mZones.size()];
    const auto holders =
      nodes::DutyHolders(mServices.members, zone, kCoordinatorDuty, 1);
    if (!holders.empty()) {
      return holders.front();
    }
  }
  return nodes::kNoNode;
}

void
AllowanceAgent::Receive(const GossipMessage& aMessage)
{
  if (aMessage.kind == GossipKind::kAllowanceReport) {
    if (aMessage.allowanceSlot >= mCoordinators.size()) {
      return; // the sender's settings name other zones
    }
    const auto answer = Coordinate(aMessage);
    GossipMessage message = mServices.members.ConfigMessage(
      GossipKind::kAllowanceAnswer, aMessage.sequence);
    message.updates.clear();
    message.grants = answer.limited;
    message.allowancesDecided = answer.decided;
    mServices.send({ aMessage.sender, std::move(message) });
  } else if (aMessage.kind == GossipKind::kAllowanceAnswer) {
    const auto it = mReports.find(aMessage.sequence);
    if (it != mReports.end() && it->second.coordinator == aMessage.sender) {
      const Report report = std::move(it->second);
      mReports.erase(it);
      OnAnswer(report, { aMessage.allowancesDecided, aMessage.grants });
    }
  }
}

AllowanceCoordinator::Answer
AllowanceAgent::Coordinate(const GossipMessage& aReport)
{
  return mCoordinators[aReport.allowanceSlot].OnReport(
    aReport.sender,
    aReport.incarnation,
    aReport.usages,
    mServices.scheduler.BootTime());
}

void
AllowanceAgent::OnAnswer(const Report& aReport,
                         const AllowanceCoordinator::Answer& aAnswer)
{
  Slot& slot = mSlots[aReport.slot];
  if (slot.coordinator != aReport.coordinator) {
    return;
  }
  slot.unanswered = 0;
  slot.isKnown = true;
  for (const auto& it : aReport.usages) {
    slot.counted[it.team] = it;
  }
  mServices.onUpdate({ aReport.slot,
                       aReport.sentAt,
                       aAnswer.decided,
                       aAnswer.limited,
                       mServices.members.Members().size() + 1 });
}

std::size_t
AllowanceAgent::LimitedTeams() const
{
  std::size_t count = 0;
  for (const auto& it : mCoordinators) {
    count += it.LimitedTeams();
  }
  return count;
}

std::vector<NodeId>
AllowanceAgent::SharingNodes() const
{
  struct Zone
  {
    std::vector<NodeId> dead;
    std::size_t live = 0;
  };
  const Timestamp now = mServices.scheduler.Now();
  const nodes::MemberRecord& self = mServices.members.Self();
  std::vector<NodeId> sharing{ self.node };
  std::map<std::string, Zone> zones;
  ++zones[self.zone].live;
  for (const auto& [id, member] : mServices.members.Members()) {
    if (member.record.state == nodes::MemberState::kLeaving) {
      continue;
    }
    Zone& zone = zones[member.record.zone];
    if (member.liveness != Liveness::kDead) {
      ++zone.live;
      sharing.push_back(id);
    } else if (now - member.livenessSince < kMaxCutTime) {
      sharing.push_back(id);
    } else {
      zone.dead.push_back(id);
    }
  }
  // Most nodes of a zone don't end at once: it is cut off, or this node is.
  for (const auto& [name, zone] : zones) {
    if (zone.dead.size() > zone.live) {
      std::ranges::copy(zone.dead, std::back_inserter(sharing));
    }
  }
  return sharing;
}

} // namespace knapweedpaddle::node
