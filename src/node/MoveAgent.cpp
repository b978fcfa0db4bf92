#include "knapweedpaddle/node/MoveAgent.h"

#include "knapweedpaddle/moves/MoveSchedule.h"
#include "knapweedpaddle/node/MemberAgent.h"
#include "knapweedpaddle/nodes/DutyAssignment.h"

#include <nlohmann/json.hpp>

namespace knapweedpaddle::node {

using config::MoveEntry;
using config::MoveState;
using nodes::MoveProgress;

namespace {

constexpr std::size_t kJudgesPerZone = 2;
constexpr std::size_t kRecordersPerZone = 1;
constexpr std::uint32_t kProgressIntervalSeconds = 2;
constexpr const char* kJudgeDuty = "move-judge";
constexpr const char* kRecorderDuty = "move-recorder";

} // namespace

MoveAgent::MoveAgent(Services aServices)
  : mServices(std::move(aServices))
  , mEvaluator(mServices.members.Self().zone)
{
}

void
MoveAgent::OnSecond()
{
  EvaluateMoves();
  RecordMoveEnds();
  // Changed progress is sent at once; this repeats it in case of lost messages.
  if (const auto all = mProgress.All();
      ++mSeconds % kProgressIntervalSeconds == 0 && !all.empty()) {
    auto messages = mServices.members.ProgressMessages(all);
    messages.resize(std::min<std::size_t>(messages.size(), 1));
    mServices.send(messages);
  }
}

void
MoveAgent::EvaluateMoves()
{
  if (nodes::HoldsDuty(mServices.members, kJudgeDuty, kJudgesPerZone)) {
    Merge(mEvaluator.Evaluate(
      *mServices.store.Current(), mProgress, mServices.scheduler.WallTime()));
  }
}

void
MoveAgent::Merge(const std::vector<MoveProgress>& aProgress)
{
  std::vector<MoveProgress> changed;
  for (const auto& it : aProgress) {
    if (mProgress.Merge(*mServices.store.Current(), it)) {
      changed.push_back(it);
      mServices.onProgress(it);
    }
  }
  if (!changed.empty()) {
    mServices.onSharesChanged();
    mServices.send(mServices.members.ProgressMessages(changed));
  }
}

void
MoveAgent::TakeEvidence(const std::string& aService,
                        const backends::EvidenceTable& aEvidence)
{
  const config::SnapshotPtr snapshot = mServices.store.Current();
  const MoveEntry* move = snapshot->OpenMoveOf(aService);
  if (!move) {
    return;
  }
  const nodes::MemberRecord& self = mServices.members.Self();
  moves::EvidenceReport report;
  report.node = self.node;
  report.incarnation = self.incarnation;
  for (const auto& [key, sums] : aEvidence) {
    const auto* route =
      snapshot->Get<config::RouteEntry>(config::EntryKind::kRoute, key.route);
    if (!route || route->service != aService) {
      continue;
    }
    const moves::VersionCounts counts{ sums.calls, sums.failures, sums.slow };
    moves::RouteEvidence evidence;
    evidence.move = move->header.name;
    evidence.route = key.route;
    if (key.version == move->toVersion) {
      evidence.after = counts;
    } else if (key.version == move->fromVersion) {
      evidence.before = counts;
    }
    report.routes.push_back(std::move(evidence));
  }
  for (const auto judge : nodes::DutyHolders(
         mServices.members, self.zone, kJudgeDuty, kJudgesPerZone)) {
    if (judge == self.node) {
      mEvaluator.Report(report);
    } else {
      mServices.peers.Report(
        LinkAddress(mServices.members.Members().at(judge).record), report);
    }
  }
}

void
MoveAgent::OnConfigChanged()
{
  mProgress.Prune(*mServices.store.Current());
}

void
MoveAgent::RecordMoveEnds()
{
  if (!nodes::HoldsDuty(mServices.members, kRecorderDuty, kRecordersPerZone)) {
    return;
  }
  const config::SnapshotPtr snapshot = mServices.store.Current();
  for (const auto& [id, entry] : snapshot->entries) {
    const auto* move = std::get_if<MoveEntry>(&entry);
    if (!move || move->state != MoveState::kOpen) {
      continue;
    }
    if (const auto reason = mProgress.CondemnationReason(*move)) {
      RecordEnd(*move, MoveState::kTakenBack, *reason);
      continue;
    }
    const auto zones = ServingZonesOf(move->service);
    if (!zones.empty() && mProgress.IsFinishedIn(*move, zones)) {
      RecordEnd(*move,
                MoveState::kDone,
                "every zone completed the move on its own evidence");
    }
  }
}

void
MoveAgent::RecordEnd(const MoveEntry& aMove,
                     MoveState aState,
                     std::string aReason)
{
  const std::string name = aMove.header.name;
  if (!mEndsBeingRecorded.insert(name).second) {
    return;
  }
  config::ChangeRequest request;
  // Every node that records this end uses the same id, so that it is applied
  // only once.
  request.operationId =
    "move-end-" + name + "-" + std::to_string(aMove.header.revision);
  MoveEntry ended = aMove;
  ended.state = aState;
  ended.reason = std::move(aReason);
  request.upserts.emplace_back(ended);
  const auto* service = mServices.store.Current()->Get<config::ServiceEntry>(
    config::EntryKind::kService, aMove.service);
  if (aState == MoveState::kDone && service) {
    config::ServiceEntry moved = *service;
    moved.version = aMove.toVersion;
    request.upserts.emplace_back(moved);
  }
  mServices.acceptor.Accept(
    std::move(request),
    operators::kSystemOwner,
    [this, name](const operators::AcceptResult& aResult) {
      mEndsBeingRecorded.erase(name);
      mServices.onRecorded(aResult.outcome);
    });
}

std::set<std::string>
MoveAgent::ServingZonesOf(const std::string& aService) const
{
  std::set<std::string> zones;
  const auto add = [&](const nodes::MemberRecord& aRecord) {
    if (aRecord.service == aService &&
        aRecord.state == nodes::MemberState::kServing) {
      zones.insert(aRecord.zone);
    }
  };
  add(mServices.members.Self());
  for (const auto& [id, member] : mServices.members.Members()) {
    if (member.liveness != nodes::Liveness::kDead) {
      add(member.record);
    }
  }
  return zones;
}

std::string
MoveAgent::Explain(const std::string& aMove) const
{
  using Json = nlohmann::ordered_json;
  const auto* move =
    mServices.store.Current()->Get<MoveEntry>(config::EntryKind::kMove, aMove);
  if (!move) {
    return {};
  }
  Json zones = Json::array();
  for (const auto& it : mProgress.ProgressOf(*move)) {
    zones.push_back(Json{ { "zone", it.zone },
                          { "stage", it.stage },
                          { "share", moves::ShareAt(*move, it.stage) },
                          { "condemned", it.condemned },
                          { "reason", it.reason } });
  }
  Json json{ { "move", aMove },
             { "service", move->service },
             { "from_version", move->fromVersion },
             { "to_version", move->toVersion },
             { "state", NameOf(config::kMoveStateNames, move->state) },
             { "reason", move->reason },
             { "zones", zones } };
  if (const auto it = mEvaluator.Assessments().find(aMove);
      it != mEvaluator.Assessments().end()) {
    json["late"] = it->second.late;
    json["suspicion"] = it->second.suspicion;
    json["routes_without_enough_calls"] = it->second.routesWithoutEnoughCalls;
  }
  return json.dump();
}

} // namespace knapweedpaddle::node
