#include "knapweedpaddle/node/RolloutAgent.h"

#include "knapweedpaddle/node/MemberAgent.h"
#include "knapweedpaddle/nodes/ZoneReaders.h"

#include <set>

namespace knapweedpaddle::node {

using moves::Rollout;
using moves::RolloutStage;
using nodes::Liveness;
using nodes::MemberRecord;
using operators::RolloutState;
using operators::RolloutStatus;

namespace {

constexpr Milliseconds kProgressSendInterval{ 500 };
/** Share of a rollout's time that the canary lasts, within the bounds below. */
constexpr double kCanaryTimeShare = 0.4;
constexpr Milliseconds kMinCanaryTime{ 3000 };
constexpr Milliseconds kMaxCanaryTime{ 7000 };
/** With fewer calls the new version is not proved, until time runs out. */
constexpr std::uint64_t kMinCanaryCalls = 20;
constexpr double kMaxCanaryTimeShare =
  0.65; ///< of the time, to leave the canary
constexpr Milliseconds kStageTime{ 1000 };
/** In which the old version's last calls end. */
constexpr Milliseconds kDrainTime{ 2200 };
constexpr Milliseconds kStatusRetryInterval{ 400 };
constexpr Milliseconds kStatusUpdateStagger{ 500 };
constexpr Milliseconds kNonJudgeStatusDelay{ 2000 };

std::string
ProgressName(const operators::RolloutOrder& aOrder)
{
  return "rollout/" + aOrder.service + "/" + aOrder.toVersion;
}

Milliseconds
CanaryTime(const operators::RolloutOrder& aOrder)
{
  const auto part = std::chrono::duration_cast<Milliseconds>(aOrder.duration *
                                                             kCanaryTimeShare);
  return std::clamp(part, kMinCanaryTime, kMaxCanaryTime);
}

bool
IsFinal(std::optional<RolloutState> aState)
{
  return aState && *aState != RolloutState::kActive;
}

} // namespace

RolloutAgent::RolloutAgent(Services aServices)
  : mServices(std::move(aServices))
{
}

void
RolloutAgent::OnOrders(const std::vector<operators::RolloutOrder>& aOrders)
{
  bool news = false;
  for (const auto& it : aOrders) {
    if (mRollouts.AddOrder(it, mServices.scheduler.Now())) {
      news = true;
      mServices.onProgress(mRollouts.All().at(it.service));
    }
  }
  if (news) {
    mServices.onSharesChanged();
  }
}

void
RolloutAgent::Merge(const std::vector<nodes::MoveProgress>& aProgress)
{
  bool news = false;
  for (const auto& it : aProgress) {
    news |= mRollouts.Merge(it, mServices.scheduler.Now());
  }
  if (news) {
    mServices.onSharesChanged();
    SendProgress();
  }
}

void
RolloutAgent::TakeEvidence(const std::string& aService,
                           const backends::EvidenceTable& aEvidence)
{
  const auto it = mRollouts.All().find(aService);
  if (it == mRollouts.All().end() ||
      it->second.stage >= RolloutStage::kDecided) {
    return;
  }
  const MemberRecord& self = mServices.members.Self();
  moves::EvidenceReport report;
  report.node = self.node;
  report.incarnation = self.incarnation;
  std::map<std::string, moves::RouteEvidence> routes;
  for (const auto& [key, sums] : aEvidence) {
    moves::RouteEvidence& evidence = routes[key.route];
    evidence.move = ProgressName(it->second.order);
    evidence.route = key.route;
    auto& counts = key.version == it->second.order.toVersion ? evidence.after
                                                             : evidence.before;
    counts.calls += sums.calls;
    counts.failures += sums.failures;
    counts.slow += sums.slow;
  }
  for (auto& [route, evidence] : routes) {
    report.routes.push_back(std::move(evidence));
  }
  for (const auto judge : JudgeNodes()) {
    if (judge == self.node) {
      OnReport(report);
    } else {
      mServices.peers.Report(
        LinkAddress(mServices.members.Members().at(judge).record), report);
    }
  }
}

void
RolloutAgent::OnReport(const moves::EvidenceReport& aReport)
{
  if (aReport.routes.empty()) {
    return;
  }
  for (const auto& [service, rollout] : mRollouts.All()) {
    if (aReport.routes.front().move != ProgressName(rollout.order)) {
      continue;
    }
    if (mJudgedOrders[service] != rollout.order.revision) {
      mJudgedOrders[service] = rollout.order.revision;
      mJudges.insert_or_assign(service, moves::RolloutJudge());
    }
    mJudges.at(service).Report(aReport, mServices.scheduler.Now());
    JudgeRollout(rollout);
  }
}

std::vector<nodes::NodeId>
RolloutAgent::JudgeNodes() const
{
  std::set<std::string> zones{ mServices.members.Self().zone };
  for (const auto& [id, member] : mServices.members.Members()) {
    zones.insert(member.record.zone);
  }
  std::vector<nodes::NodeId> judges;
  for (const auto& zone : zones) {
    for (const auto it :
         nodes::DutyHolders(mServices.members, zone, nodes::kReaderDuty, 1)) {
      judges.push_back(it);
    }
  }
  return judges;
}

void
RolloutAgent::OnTick()
{
  const auto judges = JudgeNodes();
  const bool isJudge =
    std::ranges::find(judges, mServices.members.Self().node) != judges.end();
  std::vector<std::string> services;
  for (const auto& [service, rollout] : mRollouts.All()) {
    services.push_back(service);
  }
  bool open = false;
  for (const auto& service : services) {
    const Rollout& rollout = mRollouts.All().at(service);
    if (rollout.stage == RolloutStage::kRecorded) {
      continue;
    }
    open = true;
    if (isJudge && !rollout.condemned &&
        rollout.stage < RolloutStage::kDecided) {
      AdvanceRollout(rollout);
    }
    UpdateStatus(rollout, isJudge);
  }
  if (open && isJudge && mServices.scheduler.Now() >= mNextProgressSendAt) {
    SendProgress();
  }
}

void
RolloutAgent::JudgeRollout(const Rollout& aRollout)
{
  if (aRollout.condemned || aRollout.stage >= RolloutStage::kDecided) {
    return;
  }
  const std::string service = aRollout.order.service;
  if (const std::string verdict =
        mJudges.at(service).Verdict(mServices.scheduler.Now());
      !verdict.empty()) {
    Advance(service, RolloutStage::kDecided, true, verdict);
  }
}

void
RolloutAgent::AdvanceRollout(const Rollout& aRollout)
{
  const Timestamp now = mServices.scheduler.Now();
  const auto inStage = now - aRollout.stageAt;
  const std::string service = aRollout.order.service;
  switch (aRollout.stage) {
    case RolloutStage::kCanary:
      if (HasPassedCanary(aRollout)) {
        Advance(service, RolloutStage::kQuarter, false, "");
      }
      return;
    case RolloutStage::kQuarter:
      if (inStage >= kStageTime) {
        Advance(service, RolloutStage::kHalf, false, "");
      }
      return;
    case RolloutStage::kHalf:
      if (inStage >= kStageTime) {
        Advance(service, RolloutStage::kAll, false, "");
      }
      return;
    case RolloutStage::kAll:
      if (inStage >= kDrainTime) {
        Advance(service, RolloutStage::kDecided, false, "");
      }
      return;
    case RolloutStage::kDecided:
    case RolloutStage::kRecorded:
      return;
  }
}

bool
RolloutAgent::HasPassedCanary(const Rollout& aRollout) const
{
  // Only the judge's own board knows an order's duration.
  if (aRollout.order.duration == Milliseconds(0) ||
      !HasNewVersionServers(aRollout)) {
    return false;
  }
  const Timestamp now = mServices.scheduler.Now();
  const auto judge = mJudges.find(aRollout.order.service);
  const bool enoughCalls = judge != mJudges.end() &&
                           judge->second.NewVersionCalls() >= kMinCanaryCalls;
  const bool hurries =
    now - aRollout.seenAt >= aRollout.order.duration * kMaxCanaryTimeShare;
  return now - aRollout.stageAt >= CanaryTime(aRollout.order) &&
         (enoughCalls || hurries);
}

bool
RolloutAgent::HasNewVersionServers(const Rollout& aRollout) const
{
  const auto isNew = [&aRollout](const MemberRecord& aRecord) {
    return aRecord.service == aRollout.order.service &&
           aRecord.version == aRollout.order.toVersion &&
           aRecord.state == nodes::MemberState::kServing;
  };
  if (isNew(mServices.members.Self())) {
    return true;
  }
  return std::ranges::any_of(
    mServices.members.Members(), [&isNew](const auto& aItem) {
      return aItem.second.liveness != Liveness::kDead &&
             isNew(aItem.second.record);
    });
}

Milliseconds
RolloutAgent::StatusUpdateDelay() const
{
  const auto judges = JudgeNodes();
  const auto it = std::ranges::find(judges, mServices.members.Self().node);
  if (it == judges.end()) {
    return kNonJudgeStatusDelay;
  }
  return kStatusUpdateStagger * (it - judges.begin());
}

void
RolloutAgent::UpdateStatus(const Rollout& aRollout, bool aIsJudge)
{
  const Timestamp now = mServices.scheduler.Now();
  const std::string service = aRollout.order.service;
  StatusUpdate& telling = mStatusUpdates[service];
  if (telling.order != aRollout.order.revision) {
    telling = {};
    telling.order = aRollout.order.revision;
  }
  const bool decided = aRollout.stage == RolloutStage::kDecided;
  if ((!decided && !aIsJudge) || telling.asking || now < telling.notBefore ||
      now - aRollout.stageAt < StatusUpdateDelay() ||
      (!decided && telling.told.has_value())) {
    return;
  }
  telling.asking = true;
  const RolloutState state = !decided             ? RolloutState::kActive
                             : aRollout.condemned ? RolloutState::kRolledBack
                                                  : RolloutState::kCompleted;
  mServices.desk.ReadStatus(
    service,
    [this, service, state, revision = telling.order](
      const std::optional<RolloutStatus>& aStatus, const store::StoreReason&) {
      StatusUpdate& current = mStatusUpdates[service];
      const Rollout& rollout = mRollouts.All().at(service);
      current.asking = false;
      current.notBefore = mServices.scheduler.Now() + kStatusRetryInterval;
      if (!aStatus || rollout.order.revision != revision ||
          current.order != revision) {
        return;
      }
      // A status older than the order tells of an earlier rollout.
      const bool isCurrent = aStatus->revision > revision &&
                             aStatus->toVersion == rollout.order.toVersion;
      if (isCurrent && IsFinal(aStatus->state)) {
        OnStatusStored(service, revision, *aStatus->state);
      } else if (isCurrent && aStatus->state == state) {
        OnStatusStored(service, revision, state);
      } else {
        WriteStatus(rollout, state, *aStatus);
      }
    });
}

void
RolloutAgent::WriteStatus(const Rollout& aRollout,
                          RolloutState aState,
                          const RolloutStatus& aStatus)
{
  const std::string service = aRollout.order.service;
  mStatusUpdates[service].asking = true;
  mServices.desk.WriteStatus(
    service,
    aRollout.order.toVersion,
    aState,
    aStatus.revision,
    [this, service, aState, revision = aRollout.order.revision](
      bool aDone, const store::StoreReason&) {
      mStatusUpdates[service].asking = false;
      if (aDone) {
        OnStatusStored(service, revision, aState);
      }
    });
}

void
RolloutAgent::OnStatusStored(const std::string& aService,
                             std::uint64_t aOrder,
                             RolloutState aState)
{
  StatusUpdate& telling = mStatusUpdates[aService];
  if (telling.order != aOrder) {
    return;
  }
  telling.told = aState;
  if (aState != RolloutState::kActive) {
    const bool condemned = aState == RolloutState::kRolledBack;
    Advance(aService,
            RolloutStage::kRecorded,
            condemned,
            condemned ? "operators were told so" : "");
  }
}

void
RolloutAgent::Advance(const std::string& aService,
                      RolloutStage aStage,
                      bool aCondemned,
                      const std::string& aReason)
{
  if (mRollouts.Advance(
        aService, aStage, aCondemned, aReason, mServices.scheduler.Now())) {
    mServices.onProgress(mRollouts.All().at(aService));
    mServices.onSharesChanged();
    SendProgress();
  }
}

void
RolloutAgent::SendProgress()
{
  mNextProgressSendAt = mServices.scheduler.Now() + kProgressSendInterval;
  if (const auto progress = mRollouts.Progress(); !progress.empty()) {
    mServices.send(mServices.members.ProgressMessages(progress));
  }
}

} // namespace knapweedpaddle::node
