#include "knapweedpaddle/node/RolloutAgent.h"

#include "knapweedpaddle/node/MemberAgent.h"
#include "knapweedpaddle/nodes/DutyAssignment.h"

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
/** The canary stage lasts at least this share of a rollout's duration; this
 * minimum is limited to the range from kMinCanaryTime to kMaxCanaryTime. */
constexpr double kCanaryTimeShare = 0.4;
constexpr Milliseconds kMinCanaryTime{ 3000 };
constexpr Milliseconds kMaxCanaryTime{ 7000 };
/** Calls that the new version must answer before the canary stage ends, unless
 * kMaxCanaryTimeShare has passed. */
constexpr std::uint64_t kMinCanaryCalls = 20;
/** Share of a rollout's duration after which the canary stage may end with
 * fewer calls, so that the later stages still fit into the duration. */
constexpr double kMaxCanaryTimeShare = 0.65;
/** Time that a rollout stays in each of the stages kQuarter and kHalf. */
constexpr Milliseconds kStageTime{ 1000 };
/** Time for the old version's last calls to end, once it gets no new ones. */
constexpr Milliseconds kDrainTime{ 2200 };
constexpr Milliseconds kStatusRetryInterval{ 400 };
/** Delay between one judge's first try to write a status and the next judge's,
 * so that usually a single judge writes. */
constexpr Milliseconds kStatusUpdateStagger{ 500 };
/** Delay after which nodes that are no judges write a final status, too. */
constexpr Milliseconds kNonJudgeStatusDelay{ 2000 };

std::string
NameOfRollout(const operators::RolloutOrder& aOrder)
{
  return moves::RolloutName(aOrder.service, aOrder.toVersion);
}

Milliseconds
CanaryTime(const operators::RolloutOrder& aOrder)
{
  const auto time = std::chrono::duration_cast<Milliseconds>(aOrder.duration *
                                                             kCanaryTimeShare);
  return std::clamp(time, kMinCanaryTime, kMaxCanaryTime);
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
  bool changed = false;
  for (const auto& it : aOrders) {
    if (mRollouts.AddOrder(it, mServices.scheduler.Now())) {
      changed = true;
      mServices.onProgress(mRollouts.All().at(it.service));
      mResultsReads.try_emplace(it.service);
    }
  }
  if (changed) {
    mServices.onSharesChanged();
    ReadResults();
  }
}

void
RolloutAgent::ReadResults()
{
  for (auto& [name, read] : mResultsReads) {
    const std::string& service = name;
    if (read.isPending || mServices.scheduler.Now() < read.nextTryAt) {
      continue;
    }
    read.isPending = true;
    mServices.orders.ReadStatus(
      service,
      [this, service](const std::optional<RolloutStatus>& aStatus,
                      const store::StoreReason&) {
        if (aStatus) {
          mResultsReads.erase(service);
          MergeResults(service, aStatus->results);
          return;
        }
        ResultsRead& current = mResultsReads[service];
        current.isPending = false;
        current.nextTryAt = mServices.scheduler.Now() + kStatusRetryInterval;
      });
  }
}

void
RolloutAgent::MergeResults(
  const std::string& aService,
  const std::vector<operators::RolloutResult>& aResults)
{
  std::vector<nodes::MoveProgress> progress;
  for (const auto& it : aResults) {
    const bool condemned = it.state == RolloutState::kRolledBack;
    nodes::MoveProgress result;
    result.move = moves::RolloutName(aService, it.version);
    result.revision = it.orderRevision;
    result.stage = static_cast<std::uint32_t>(RolloutStage::kRecorded);
    result.condemned = condemned;
    result.reason = condemned ? "the stored result says rolled back" : "";
    progress.push_back(std::move(result));
  }
  Merge(progress);
}

void
RolloutAgent::Merge(const std::vector<nodes::MoveProgress>& aProgress)
{
  bool changed = false;
  for (const auto& it : aProgress) {
    changed |= mRollouts.Merge(it, mServices.scheduler.Now());
  }
  if (changed) {
    mServices.onSharesChanged();
    SendProgress();
  }
}

void
RolloutAgent::TakeEvidence(const std::string& aService,
                           const backends::EvidenceTable& aEvidence)
{
  const backends::EvidenceTable last = std::exchange(mLastEvidence, aEvidence);
  const auto it = mRollouts.All().find(aService);
  if (it == mRollouts.All().end() ||
      it->second.stage >= RolloutStage::kDecided) {
    return;
  }
  EvidenceAtOrder& atOrder = mEvidenceAtOrder[aService];
  if (atOrder.firstRevision != it->second.firstRevision) {
    atOrder.firstRevision = it->second.firstRevision;
    // Calls that an earlier order of the same version led to were judged then.
    atOrder.counts = it->second.isRepeated ? last : backends::EvidenceTable();
  }
  const MemberRecord& self = mServices.members.Self();
  moves::EvidenceReport report;
  report.node = self.node;
  report.incarnation = self.incarnation;
  // Calls of versions that were condemned or not tested say nothing about the
  // old version.
  const auto oldVersions = mRollouts.SplitOf(aService).fromVersions;
  std::map<std::string, moves::RouteEvidence> routes;
  for (const auto& [key, sums] : aEvidence) {
    const bool isNew = key.version == it->second.order.toVersion;
    if (!isNew && !oldVersions.Matches(key.version)) {
      continue;
    }
    moves::RouteEvidence& evidence = routes[key.route];
    evidence.move = NameOfRollout(it->second.order);
    evidence.route = key.route;
    auto& counts = isNew ? evidence.after : evidence.before;
    const auto before = atOrder.counts.find(key);
    const backends::EvidenceSums judged =
      isNew && before != atOrder.counts.end() ? before->second
                                              : backends::EvidenceSums();
    counts.calls += sums.calls - judged.calls;
    counts.failures += sums.failures - judged.failures;
    counts.slow += sums.slow - judged.slow;
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
    if (aReport.routes.front().move != NameOfRollout(rollout.order)) {
      continue;
    }
    if (mEvaluatedOrders[service] != rollout.firstRevision) {
      mEvaluatedOrders[service] = rollout.firstRevision;
      mEvaluators.insert_or_assign(service, moves::RolloutEvaluator());
    }
    mEvaluators.at(service).Report(aReport, mServices.scheduler.Now());
    CheckForRegression(rollout);
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
    for (const auto it : nodes::DutyHolders(
           mServices.members, zone, nodes::kConfigReaderDuty, 1)) {
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
  ReadResults();
  std::vector<std::string> services;
  for (const auto& [service, rollout] : mRollouts.All()) {
    services.push_back(service);
  }
  bool hasOpenRollout = false;
  for (const auto& service : services) {
    const Rollout& rollout = mRollouts.All().at(service);
    if (rollout.stage == RolloutStage::kRecorded &&
        !(rollout.isStatusInDoubt && isJudge)) {
      continue;
    }
    hasOpenRollout = true;
    if (isJudge && !rollout.condemned &&
        rollout.stage < RolloutStage::kDecided) {
      AdvanceRollout(rollout);
    }
    UpdateStatus(rollout, isJudge);
  }
  if (hasOpenRollout && isJudge &&
      mServices.scheduler.Now() >= mNextProgressSendAt) {
    SendProgress();
  }
}

void
RolloutAgent::CheckForRegression(const Rollout& aRollout)
{
  if (aRollout.condemned || aRollout.stage >= RolloutStage::kDecided) {
    return;
  }
  const std::string service = aRollout.order.service;
  if (const std::string regression =
        mEvaluators.at(service).FindRegression(mServices.scheduler.Now());
      !regression.empty()) {
    Advance(service, RolloutStage::kDecided, true, regression);
  }
}

void
RolloutAgent::AdvanceRollout(const Rollout& aRollout)
{
  const Timestamp now = mServices.scheduler.Now();
  const auto inStage = now - aRollout.stageSeenAt;
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
  // The duration is 0 while this node knows of the order from peers' progress
  // alone, which does not carry it.
  if (aRollout.order.duration == Milliseconds(0) ||
      !HasNewVersionServers(aRollout)) {
    return false;
  }
  const Timestamp now = mServices.scheduler.Now();
  const std::string service = aRollout.order.service;
  const auto evaluated = mEvaluatedOrders.find(service);
  const bool enoughCalls =
    evaluated != mEvaluatedOrders.end() &&
    evaluated->second == aRollout.firstRevision &&
    mEvaluators.at(service).NewVersionCalls() >= kMinCanaryCalls;
  const bool timeIsShort =
    now - aRollout.orderSeenAt >= aRollout.order.duration * kMaxCanaryTimeShare;
  return now - aRollout.stageSeenAt >= CanaryTime(aRollout.order) &&
         (enoughCalls || timeIsShort);
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
  StatusUpdate& update = mStatusUpdates[service];
  if (update.orderRevision != aRollout.order.revision) {
    update = {};
    update.orderRevision = aRollout.order.revision;
  }
  const bool decided = aRollout.stage >= RolloutStage::kDecided;
  if ((!decided && !aIsJudge) || update.isPending || now < update.nextTryAt ||
      now - aRollout.stageSeenAt < StatusUpdateDelay() ||
      (!decided && update.writtenState.has_value())) {
    return;
  }
  update.isPending = true;
  const RolloutState state = !decided             ? RolloutState::kActive
                             : aRollout.condemned ? RolloutState::kRolledBack
                                                  : RolloutState::kCompleted;
  mServices.orders.ReadStatus(
    service,
    [this, service, state, revision = update.orderRevision](
      const std::optional<RolloutStatus>& aStatus, const store::StoreReason&) {
      StatusUpdate& current = mStatusUpdates[service];
      const Rollout& rollout = mRollouts.All().at(service);
      current.isPending = false;
      current.nextTryAt = mServices.scheduler.Now() + kStatusRetryInterval;
      if (!aStatus || rollout.order.revision != revision ||
          current.orderRevision != revision) {
        return;
      }
      // A row that was written before the order is about an earlier rollout.
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
  mStatusUpdates[service].isPending = true;
  mServices.orders.WriteStatus(
    aRollout.order,
    aState,
    aStatus,
    [this, service, aState, revision = aRollout.order.revision](
      bool aDone, const store::StoreReason&) {
      mStatusUpdates[service].isPending = false;
      if (aDone) {
        OnStatusStored(service, revision, aState);
      }
    });
}

void
RolloutAgent::OnStatusStored(const std::string& aService,
                             std::uint64_t aOrderRevision,
                             RolloutState aState)
{
  StatusUpdate& update = mStatusUpdates[aService];
  if (update.orderRevision != aOrderRevision) {
    return;
  }
  update.writtenState = aState;
  mRollouts.ConfirmStatus(aService);
  if (aState != RolloutState::kActive) {
    const bool condemned = aState == RolloutState::kRolledBack;
    Advance(aService,
            RolloutStage::kRecorded,
            condemned,
            condemned ? "the stored status says rolled back" : "");
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
  if (const auto progress = mRollouts.OpenProgress(); !progress.empty()) {
    mServices.send(mServices.members.ProgressMessages(progress));
  }
}

} // namespace knapweedpaddle::node
