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

constexpr Milliseconds kSpreadEvery{ 500 };
/** Share of a rollout's time that the canary lasts, within the bounds below. */
constexpr double kCanaryPart = 0.4;
constexpr Milliseconds kLeastCanary{ 3000 };
constexpr Milliseconds kMostCanary{ 7000 };
/** With fewer calls the new version is not proved, until time runs out. */
constexpr std::uint64_t kLeastCalls = 20;
constexpr double kLatestStart = 0.65; ///< of the time, to leave the canary
constexpr Milliseconds kStepTime{ 1000 };
/** In which the old version's last calls end. */
constexpr Milliseconds kDrainTime{ 2200 };
constexpr Milliseconds kTellRetry{ 400 };
constexpr Milliseconds kTellStagger{ 500 };
constexpr Milliseconds kOthersTellAfter{ 2000 };

std::string
NameOfMove(const operators::RolloutOrder& aOrder)
{
  return "rollout/" + aOrder.service + "/" + aOrder.toVersion;
}

Milliseconds
CanaryTime(const operators::RolloutOrder& aOrder)
{
  const auto part =
    std::chrono::duration_cast<Milliseconds>(aOrder.duration * kCanaryPart);
  return std::clamp(part, kLeastCanary, kMostCanary);
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
    if (mBoard.AddOrder(it, mServices.scheduler.Now())) {
      news = true;
      mServices.onNews(mBoard.All().at(it.service));
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
    news |= mBoard.Merge(it, mServices.scheduler.Now());
  }
  if (news) {
    mServices.onSharesChanged();
    Spread();
  }
}

void
RolloutAgent::TakeEvidence(const std::string& aService,
                           const backends::EvidenceTable& aEvidence)
{
  const auto it = mBoard.All().find(aService);
  if (it == mBoard.All().end() || it->second.stage >= RolloutStage::kDecided) {
    return;
  }
  const MemberRecord& self = mServices.members.Self();
  moves::EvidenceReport report;
  report.node = self.node;
  report.incarnation = self.incarnation;
  std::map<std::string, moves::RouteEvidence> routes;
  for (const auto& [key, sums] : aEvidence) {
    moves::RouteEvidence& evidence = routes[key.route];
    evidence.move = NameOfMove(it->second.order);
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
  for (const auto judge : Judges()) {
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
  for (const auto& [service, rollout] : mBoard.All()) {
    if (aReport.routes.front().move != NameOfMove(rollout.order)) {
      continue;
    }
    if (mJudged[service] != rollout.order.revision) {
      mJudged[service] = rollout.order.revision;
      mJudges.insert_or_assign(service, moves::RolloutEvaluator());
    }
    mJudges.at(service).Report(aReport, mServices.scheduler.Now());
    JudgeRollout(rollout);
  }
}

std::vector<nodes::NodeId>
RolloutAgent::Judges() const
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
  const auto judges = Judges();
  const bool isJudge =
    std::ranges::find(judges, mServices.members.Self().node) != judges.end();
  std::vector<std::string> services;
  for (const auto& [service, rollout] : mBoard.All()) {
    services.push_back(service);
  }
  bool open = false;
  for (const auto& service : services) {
    const Rollout& rollout = mBoard.All().at(service);
    if (rollout.stage == RolloutStage::kRecorded) {
      continue;
    }
    open = true;
    if (isJudge && !rollout.condemned &&
        rollout.stage < RolloutStage::kDecided) {
      AdvanceRollout(rollout);
    }
    Tell(rollout, isJudge);
  }
  if (open && isJudge && mServices.scheduler.Now() >= mNextSpread) {
    Spread();
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
        mJudges.at(service).FindRegression(mServices.scheduler.Now());
      !verdict.empty()) {
    Advance(service, RolloutStage::kDecided, true, verdict);
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
      if (IsProved(aRollout)) {
        Advance(service, RolloutStage::kQuarter, false, "");
      }
      return;
    case RolloutStage::kQuarter:
      if (inStage >= kStepTime) {
        Advance(service, RolloutStage::kHalf, false, "");
      }
      return;
    case RolloutStage::kHalf:
      if (inStage >= kStepTime) {
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
RolloutAgent::IsProved(const Rollout& aRollout) const
{
  // Only the judge's own board knows an order's duration.
  if (aRollout.order.duration == Milliseconds(0) || !HasNewServers(aRollout)) {
    return false;
  }
  const Timestamp now = mServices.scheduler.Now();
  const auto judge = mJudges.find(aRollout.order.service);
  const bool enoughCalls =
    judge != mJudges.end() && judge->second.NewVersionCalls() >= kLeastCalls;
  const bool hurries =
    now - aRollout.orderSeenAt >= aRollout.order.duration * kLatestStart;
  return now - aRollout.stageSeenAt >= CanaryTime(aRollout.order) &&
         (enoughCalls || hurries);
}

bool
RolloutAgent::HasNewServers(const Rollout& aRollout) const
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
RolloutAgent::TellingDelay() const
{
  const auto judges = Judges();
  const auto it = std::ranges::find(judges, mServices.members.Self().node);
  if (it == judges.end()) {
    return kOthersTellAfter;
  }
  return kTellStagger * (it - judges.begin());
}

void
RolloutAgent::Tell(const Rollout& aRollout, bool aIsJudge)
{
  const Timestamp now = mServices.scheduler.Now();
  const std::string service = aRollout.order.service;
  Telling& telling = mTellings[service];
  if (telling.order != aRollout.order.revision) {
    telling = {};
    telling.order = aRollout.order.revision;
  }
  const bool decided = aRollout.stage == RolloutStage::kDecided;
  if ((!decided && !aIsJudge) || telling.asking || now < telling.notBefore ||
      now - aRollout.stageSeenAt < TellingDelay() ||
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
      Telling& current = mTellings[service];
      const Rollout& rollout = mBoard.All().at(service);
      current.asking = false;
      current.notBefore = mServices.scheduler.Now() + kTellRetry;
      if (!aStatus || rollout.order.revision != revision ||
          current.order != revision) {
        return;
      }
      // A status older than the order tells of an earlier rollout.
      const bool isCurrent = aStatus->revision > revision &&
                             aStatus->toVersion == rollout.order.toVersion;
      if (isCurrent && IsFinal(aStatus->state)) {
        OnTold(service, revision, *aStatus->state);
      } else if (isCurrent && aStatus->state == state) {
        OnTold(service, revision, state);
      } else {
        Write(rollout, state, *aStatus);
      }
    });
}

void
RolloutAgent::Write(const Rollout& aRollout,
                    RolloutState aState,
                    const RolloutStatus& aStatus)
{
  const std::string service = aRollout.order.service;
  mTellings[service].asking = true;
  mServices.desk.WriteStatus(
    service,
    aRollout.order.toVersion,
    aState,
    aStatus.revision,
    [this, service, aState, revision = aRollout.order.revision](
      bool aDone, const store::StoreReason&) {
      mTellings[service].asking = false;
      if (aDone) {
        OnTold(service, revision, aState);
      }
    });
}

void
RolloutAgent::OnTold(const std::string& aService,
                     std::uint64_t aOrder,
                     RolloutState aState)
{
  Telling& telling = mTellings[aService];
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
  if (mBoard.Advance(
        aService, aStage, aCondemned, aReason, mServices.scheduler.Now())) {
    mServices.onNews(mBoard.All().at(aService));
    mServices.onSharesChanged();
    Spread();
  }
}

void
RolloutAgent::Spread()
{
  mNextSpread = mServices.scheduler.Now() + kSpreadEvery;
  if (const auto progress = mBoard.Progress(); !progress.empty()) {
    mServices.send(mServices.members.ProgressMessages(progress));
  }
}

} // namespace knapweedpaddle::node
