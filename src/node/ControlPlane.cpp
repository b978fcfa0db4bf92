#include "ControlPlane.h"

#include "knapweedpaddle/nodes/ZoneReaders.h"
#include "knapweedpaddle/platform/CatalogueRows.h"
#include "knapweedpaddle/telemetry/Log.h"

#include <algorithm>

namespace knapweedpaddle::node {

using nodes::GossipMessage;
using nodes::Liveness;
using nodes::MemberRecord;
using nodes::MemberState;
using nodes::NodeId;
using telemetry::LogCategory;
using telemetry::LogEvent;
using telemetry::LogLevel;

namespace {

constexpr std::size_t kHistory = 256; ///< changes kept for peers
constexpr Milliseconds kTick{ 100 };
constexpr Milliseconds kSecond{ 1000 };
constexpr Milliseconds kClaimTick{ 20 };
constexpr Milliseconds kLongestGap{ 2000 };
constexpr Milliseconds kJoinTimeout{ 1000 };
constexpr Milliseconds kPullTimeout{ 2000 };
constexpr Milliseconds kSettleTime{ 300 }; ///< lets peers hear of a leave
constexpr std::int64_t kPullSpreadMs = 50;
constexpr std::size_t kReadersPerZone = 2;
constexpr std::size_t kJudgesPerZone = 2;
constexpr std::size_t kRecordersPerZone = 1;
constexpr std::size_t kBootstrapRows = 10;
constexpr std::size_t kJoinPeers = 3;
constexpr std::uint32_t kSyncEverySeconds = 300;
constexpr std::uint32_t kGossipMovesEverySeconds = 2;
constexpr std::size_t kStreamOverheadBytes = 120; ///< frames and headers of one link request
constexpr const char* kJoinPath = "/join";
constexpr const char* kPullPath = "/pull";
constexpr const char* kReaderDuty = "config-reader";
constexpr const char* kJudgeDuty = "move-judge";
constexpr const char* kRecorderDuty = "move-recorder";

MemberRecord
SelfRecord(const settings::NodeSettings& aSettings)
{
  MemberRecord record;
  record.node =
    *nodes::ParseNodeId(aSettings.address + ":" + std::to_string(aSettings.gossipPort));
  record.linkPort = aSettings.linkPort;
  record.callerPort = aSettings.callerPort;
  record.zone = aSettings.zone;
  record.incarnation = static_cast<std::uint64_t>(WallNow());
  return record;
}

std::string
LinkAddress(const MemberRecord& aRecord)
{
  return AddressWithPort(aRecord.node, aRecord.linkPort);
}

nodes::LinkRequest
Request(const char* aPath, std::string aBody, Milliseconds aTimeout)
{
  nodes::LinkRequest request;
  request.path = aPath;
  request.headers = { { "protocol", std::to_string(nodes::kProtocolVersion) } };
  request.body = std::move(aBody);
  request.timeout = aTimeout;
  return request;
}

nodes::LinkResponse
Response(int aStatus, std::string aBody)
{
  nodes::LinkResponse response;
  response.status = aStatus;
  response.body = std::move(aBody);
  return response;
}

} // namespace

ControlPlane::ControlPlane(Services aServices,
                           const settings::NodeSettings& aSettings,
                           std::uint64_t aSeed)
  : mServices(aServices)
  , mSettings(aSettings)
  , mRandom(aSeed)
  , mPauses(kLongestGap)
  , mStore(kHistory)
  , mPlatform(aServices.loop,
              aSettings.platform,
              aSettings.platformTimeout,
              [this](std::size_t aSent, std::size_t aReceived) {
                CountControlBytes("platform", aSent, aReceived);
              })
  , mReader(mPlatform, mStore, [this] { OnConfigChanged(); })
  , mClaims(mPlatform, aSettings.claimWritesPerSecond)
  , mAcceptor(mPlatform, mStore, mReader, [this] { OnConfigChanged(); })
  , mMembers(nodes::MembershipOptions{}, SelfRecord(aSettings), aSeed + 1)
  , mGossip(
      aSettings.mesh,
      [this](const GossipMessage& aMessage) { OnGossip(aMessage); },
      [this](std::size_t aSent, std::size_t aReceived) {
        CountControlBytes("gossip", aSent, aReceived);
      })
  , mLinks(aServices.loop, nodes::LinkClientOptions{})
  , mJudge(aSettings.zone)
  , mApi(
      operators::OperatorApi::Services{
        mAcceptor,
        mStore,
        mPlatform,
        mMembers,
        aServices.journal,
        aServices.metrics,
        [this] { return mGate.IsOpen() && !mLeaving; },
        [this](const std::string& aMove) { return ExplainMove(aMove); },
        [this](const std::string& aBody, std::string& aReason) {
          return Announce(aBody, aReason);
        } },
      aSettings.operators)
  , mTraceClient(aServices.loop, 1)
{
}

bool
ControlPlane::Start()
{
  if (!mGossip.Open(mServices.loop, mMembers.Self().node)) {
    return false;
  }
  mGate.Begin(std::chrono::steady_clock::now());
  mServices.loop.RunEvery(kTick, [this] { OnTick(); });
  mServices.loop.RunEvery(kSecond, [this] { OnSecond(); });
  mServices.loop.RunEvery(kClaimTick,
                          [this] { mClaims.Tick(std::chrono::steady_clock::now()); });
  mServices.loop.Post([this] {
    BeginGate();
    Bootstrap();
  });
  return true;
}

void
ControlPlane::HandleNodeRequest(callers::CallRequest aRequest,
                                callers::CallerServer::Respond aRespond)
{
  const auto request = std::make_shared<callers::CallRequest>(std::move(aRequest));
  mServices.loop.Post([this, request, respond = std::move(aRespond)] {
    mApi.Handle(std::move(*request), respond);
  });
}

void
ControlPlane::HandleLink(nodes::LinkRequest aRequest,
                         std::function<void(nodes::LinkResponse)> aRespond)
{
  const auto request = std::make_shared<nodes::LinkRequest>(std::move(aRequest));
  mServices.loop.Post([this, request, respond = std::move(aRespond)] {
    if (nodes::HeaderValue(request->headers, "protocol") !=
        std::to_string(nodes::kProtocolVersion)) {
      respond(Response(400, "protocol version is not known here"));
      return;
    }
    if (request->path == kJoinPath) {
      const auto self = nodes::DecodeJoinRequest(request->body);
      if (!self) {
        respond(Response(400, "not a join request"));
        return;
      }
      const nodes::JoinAnswer answer = MakeJoinAnswer(self->record);
      mMembers.Learn(*self, std::chrono::steady_clock::now());
      respond(Response(200, EncodeJoinAnswer(answer)));
      return;
    }
    if (request->path == kPullPath) {
      const auto from = nodes::DecodePullRequest(request->body);
      if (!from) {
        respond(Response(400, "not a pull request"));
        return;
      }
      respond(Response(200, EncodePullAnswer(MakePullAnswer(*from))));
      return;
    }
    if (request->path == moves::kEvidencePath) {
      const auto report = moves::DecodeEvidence(request->body);
      if (!report) {
        respond(Response(400, "not an evidence report"));
        return;
      }
      mJudge.Report(*report);
      respond(Response(200, ""));
      return;
    }
    respond(Response(404, "path \"" + request->path + "\" does not exist"));
  });
}

void
ControlPlane::TakeEvidence(const backends::EvidenceTable& aEvidence)
{
  const auto evidence = std::make_shared<backends::EvidenceTable>(aEvidence);
  mServices.loop.Post([this, evidence] {
    mEvidence = std::move(*evidence);
    SendEvidence();
  });
}

void
ControlPlane::Leave(std::function<void()> aDone)
{
  mLeaving = true;
  LogEvent(LogCategory::kNode, LogLevel::kInfo, "leaving", {});
  UpdateSelf();
  Publish();
  Send(mMembers.VersionHints());
  platform::Transaction transaction;
  transaction.writes.push_back(
    { platform::kMemberPrefix + ToString(mMembers.Self().node), "", true });
  mPlatform.Commit(std::move(transaction), [](bool, const platform::PlatformReason&) {});
  mServices.loop.RunAfter(kSettleTime, std::move(aDone));
}

// Membership

void
ControlPlane::OnTick()
{
  const Timestamp now = std::chrono::steady_clock::now();
  if (mPauses.TakePause(now)) {
    OnPause();
  }
  mPauses.Tick(now);
  Send(mMembers.Tick(now));
  UpdateGate();
  PublishIfChanged();
}

void
ControlPlane::NotePause()
{
  mServices.loop.Post([this] { OnPause(); });
}

void
ControlPlane::OnPause()
{
  LogEvent(LogCategory::kNode, LogLevel::kWarning, "resumed_after_pause", {});
  BeginGate();
  Bootstrap();
  Publish();
}

void
ControlPlane::OnGossip(const GossipMessage& aMessage)
{
  Send(mMembers.Receive(aMessage, std::chrono::steady_clock::now()));
  MergeProgress(aMessage.moves);
  OnPeerVersion(aMessage.sender, aMessage.configVersion);
}

void
ControlPlane::Send(const std::vector<nodes::Datagram>& aDatagrams)
{
  for (const auto& it : aDatagrams) {
    mGossip.Send(it);
  }
}

void
ControlPlane::UpdateSelf()
{
  MemberRecord record = mMembers.Self();
  const MemberState before = record.state;
  const bool serves = mBackend && !mBackend->draining;
  record.service = serves ? mBackend->server.service : "";
  record.version = serves ? mBackend->server.version : "";
  record.slots = serves ? mBackend->server.slots : 0;
  if (mLeaving) {
    record.state = MemberState::kLeaving;
  } else if (!mGate.IsOpen()) {
    record.state = MemberState::kStarting;
  } else {
    record.state = serves ? MemberState::kServing : MemberState::kWarm;
  }
  mMembers.UpdateSelf(record);
  mViewDirty = true;
  if (record.state != before) {
    LogEvent(LogCategory::kNode,
             LogLevel::kInfo,
             "state",
             { { "from", std::string(NameOf(nodes::kMemberStateNames, before)) },
               { "to", std::string(NameOf(nodes::kMemberStateNames, record.state)) } });
  }
}

void
ControlPlane::Bootstrap()
{
  const std::string start = platform::kMemberPrefix + std::to_string(mRandom() % 256);
  const auto onRows = [this](const std::optional<std::vector<platform::Row>>& aRows,
                             const platform::PlatformReason&) {
    std::vector<std::string> addresses = mSettings.seeds;
    if (aRows) {
      for (const auto& it : *aRows) {
        addresses.push_back(it.value);
      }
    }
    for (const auto& [id, member] : mMembers.Members()) {
      if (member.liveness == Liveness::kAlive) {
        addresses.push_back(LinkAddress(member.record));
      }
    }
    Join(std::move(addresses));
  };
  mPlatform.ReadRange(
    platform::kMemberPrefix,
    start,
    kBootstrapRows,
    [this, onRows](const std::optional<std::vector<platform::Row>>& aRows,
                   const platform::PlatformReason& aReason) {
      if (aRows && aRows->size() < kJoinPeers) {
        mPlatform.ReadRange(
          platform::kMemberPrefix, platform::kMemberPrefix, kBootstrapRows, onRows);
        return;
      }
      onRows(aRows, aReason);
    });
  WriteMemberRow();
}

void
ControlPlane::Join(std::vector<std::string> aAddresses)
{
  std::ranges::sort(aAddresses);
  const auto repeated = std::ranges::unique(aAddresses);
  aAddresses.erase(repeated.begin(), repeated.end());
  std::erase(aAddresses, LinkAddress(mMembers.Self()));
  std::ranges::shuffle(aAddresses, mRandom);
  aAddresses.resize(std::min(aAddresses.size(), kJoinPeers));
  mJoinsOutstanding = static_cast<std::uint32_t>(aAddresses.size());
  for (const auto& it : aAddresses) {
    const auto request =
      Request(kJoinPath, nodes::EncodeJoinRequest({ mMembers.Self(), Liveness::kAlive }), kJoinTimeout);
    CountControlBytes("join", request.body.size() + kStreamOverheadBytes, 0);
    mLinks.Send(it,
                request,
                [this](std::optional<nodes::LinkResponse> aResponse, const nodes::LinkReason&) {
                  if (aResponse && aResponse->status == 200) {
                    OnJoinAnswer(aResponse->body);
                  }
                  if (mJoinsOutstanding > 0 && --mJoinsOutstanding == 0) {
                    mGate.NotePeersAsked();
                    UpdateGate();
                  }
                });
  }
}

void
ControlPlane::OnJoinAnswer(const std::string& aBody)
{
  CountControlBytes("join", 0, aBody.size() + kStreamOverheadBytes);
  const auto answer = nodes::DecodeJoinAnswer(aBody);
  if (!answer) {
    return;
  }
  mJoined = true;
  const Timestamp now = std::chrono::steady_clock::now();
  for (const auto& it : answer->members) {
    mMembers.Learn(it, now);
  }
  mGate.NotePeer(answer->configVersion, answer->rememberedVersion);
  MergeProgress(answer->moves);
  if (!answer->members.empty()) {
    OnPeerVersion(answer->members.front().record.node, answer->configVersion);
  }
}

void
ControlPlane::WriteMemberRow()
{
  if (mMemberRowWritten) {
    return;
  }
  platform::Transaction transaction;
  transaction.writes.push_back({ platform::kMemberPrefix + ToString(mMembers.Self().node),
                                 LinkAddress(mMembers.Self()),
                                 false });
  mPlatform.Commit(std::move(transaction),
                   [this](bool aDone, const platform::PlatformReason&) { mMemberRowWritten = aDone; });
}

nodes::JoinAnswer
ControlPlane::MakeJoinAnswer(const MemberRecord& aAsker) const
{
  nodes::JoinAnswer answer;
  answer.members = mMembers.Everything();
  answer.configVersion = mStore.Version();
  answer.rememberedVersion = mMembers.RememberedVersion(aAsker.node);
  answer.moves = mBoard.All();
  return answer;
}

// Configuration

void
ControlPlane::OnSecond()
{
  ++mSeconds;
  ExpireAnnouncement();
  if (nodes::HoldsDuty(mMembers, kReaderDuty, kReadersPerZone)) {
    PollHead();
  }
  if (!mGate.IsOpen()) {
    BeginGate();
  }
  if (!mJoined || !mMemberRowWritten || mMembers.TakeSyncDue() ||
      mSeconds % kSyncEverySeconds == 0) {
    Bootstrap();
  }
  JudgeMoves();
  RecordMoves();
  if (mSeconds % kGossipMovesEverySeconds == 0 && !mBoard.All().empty()) {
    auto messages = mMembers.ProgressMessages(mBoard.All());
    messages.resize(std::min<std::size_t>(messages.size(), 1));
    Send(messages);
  }
  ExportSpans();
  mServices.metrics.SetGauge("config_version", {}, static_cast<double>(mStore.Version()));
  mServices.metrics.SetGauge("members", {}, static_cast<double>(mMembers.Members().size() + 1));
  mServices.metrics.SetGauge("serving", {}, mGate.IsOpen() && !mLeaving ? 1 : 0);
}

void
ControlPlane::PollHead()
{
  mReader.ReadHead([this](std::optional<std::uint64_t> aHead) {
    mServices.metrics.Count("head_polls_total", { { "result", aHead ? "ok" : "failed" } });
    if (aHead && *aHead > mStore.Version()) {
      mReader.CatchUp(*aHead, [](bool) {});
    }
  });
}

void
ControlPlane::BeginGate()
{
  if (mGate.IsOpen()) {
    mGate.Begin(std::chrono::steady_clock::now());
    UpdateSelf();
  }
  mReader.ReadHead([this](std::optional<std::uint64_t> aHead) {
    if (!aHead) {
      return;
    }
    mGate.NotePlatform(*aHead);
    mReader.CatchUp(*aHead, [this](bool) { UpdateGate(); });
  });
}

void
ControlPlane::UpdateGate()
{
  if (mGate.IsOpen() || !mGate.Update(mStore.Version(), std::chrono::steady_clock::now())) {
    return;
  }
  LogEvent(LogCategory::kConfig,
           LogLevel::kInfo,
           "serving",
           { { "version", std::to_string(mStore.Version()) } });
  UpdateSelf();
  Publish();
}

void
ControlPlane::OnPeerVersion(NodeId aPeer, std::uint64_t aVersion)
{
  if (aVersion <= mStore.Version() || mPulling) {
    return;
  }
  mPulling = true;
  const Milliseconds delay(static_cast<std::int64_t>(mRandom() % kPullSpreadMs));
  mServices.loop.RunAfter(delay, [this, aPeer] { Pull(aPeer); });
}

void
ControlPlane::Pull(NodeId aPeer)
{
  const auto it = mMembers.Members().find(aPeer);
  if (it == mMembers.Members().end()) {
    mPulling = false;
    return;
  }
  const auto request =
    Request(kPullPath, nodes::EncodePullRequest(mStore.Version()), kPullTimeout);
  CountControlBytes("pull", request.body.size() + kStreamOverheadBytes, 0);
  mLinks.Send(LinkAddress(it->second.record),
              request,
              [this](std::optional<nodes::LinkResponse> aResponse, const nodes::LinkReason&) {
                mPulling = false;
                if (!aResponse || aResponse->status != 200 || !ApplyPull(aResponse->body)) {
                  mServices.metrics.Count("pulls_failed_total", {});
                }
              });
}

bool
ControlPlane::ApplyPull(const std::string& aBody)
{
  CountControlBytes("pull", 0, aBody.size() + kStreamOverheadBytes);
  const auto answer = nodes::DecodePullAnswer(aBody);
  if (!answer) {
    return false;
  }
  const std::uint64_t before = mStore.Version();
  config::ConfigReason reason;
  if (!answer->snapshot.empty()) {
    if (const auto snapshot = config::DecodeSnapshot(answer->snapshot, reason)) {
      mStore.Replace(*snapshot, reason);
    }
  }
  for (const auto& it : answer->changes) {
    if (const auto change = config::DecodeChange(it, reason)) {
      mStore.Apply(*change, reason);
    }
  }
  if (mStore.Version() == before) {
    return false;
  }
  OnConfigChanged();
  return true;
}

void
ControlPlane::OnConfigChanged()
{
  LogEvent(LogCategory::kConfig,
           LogLevel::kInfo,
           "applied",
           { { "version", std::to_string(mStore.Version()) },
             { "digest", mStore.Current()->Digest() } });
  mMembers.SetConfigVersion(mStore.Version());
  mBoard.Prune(*mStore.Current());
  mServices.metrics.Count("config_applied_total", {});
  UpdateGate();
  Publish();
  Send(mMembers.VersionHints());
}

nodes::PullAnswer
ControlPlane::MakePullAnswer(std::uint64_t aFromVersion) const
{
  nodes::PullAnswer answer;
  answer.configVersion = mStore.Version();
  if (const auto changes = mStore.ChangesAfter(aFromVersion)) {
    for (const auto& it : *changes) {
      answer.changes.push_back(config::EncodeChange(it));
    }
  } else {
    answer.snapshot = config::EncodeSnapshot(*mStore.Current());
  }
  return answer;
}

// Routing and moves

void
ControlPlane::PublishIfChanged()
{
  if (mViewDirty || mPublishedMembers != mMembers.Changes()) {
    Publish();
  }
}

void
ControlPlane::Publish()
{
  if (mPauses.TakePause(std::chrono::steady_clock::now())) {
    OnPause();
    return;
  }
  auto view = std::make_shared<routing::RoutingView>();
  view->config = mStore.Current();
  view->open = mGate.IsOpen() && !mLeaving;
  view->shares = mBoard.Shares(*mStore.Current(), mSettings.zone);
  const auto add = [&view](const MemberRecord& aRecord, bool aSuspect) {
    if (aRecord.state == MemberState::kServing && !aRecord.service.empty()) {
      view->targets[aRecord.service].push_back({ aRecord.node,
                                                 LinkAddress(aRecord),
                                                 aRecord.zone,
                                                 aRecord.version,
                                                 aRecord.slots,
                                                 aSuspect });
    }
  };
  add(mMembers.Self(), false);
  for (const auto& [id, member] : mMembers.Members()) {
    if (member.liveness != Liveness::kDead) {
      add(member.record, member.liveness == Liveness::kSuspect);
    }
  }
  mTraffic->SetView(std::move(view));
  mPublishedMembers = mMembers.Changes();
  mViewDirty = false;
}

void
ControlPlane::JudgeMoves()
{
  if (nodes::HoldsDuty(mMembers, kJudgeDuty, kJudgesPerZone)) {
    MergeProgress(mJudge.Judge(*mStore.Current(), mBoard, WallNow()));
  }
}

void
ControlPlane::MergeProgress(const std::vector<nodes::MoveProgress>& aProgress)
{
  std::vector<nodes::MoveProgress> news;
  for (const auto& it : aProgress) {
    if (!mBoard.Merge(it)) {
      continue;
    }
    news.push_back(it);
    LogEvent(LogCategory::kMoves,
             it.condemned ? LogLevel::kWarning : LogLevel::kInfo,
             it.condemned ? "condemned" : "stage",
             { { "move", it.move },
               { "zone", it.zone },
               { "stage", std::to_string(it.stage) },
               { "reason", it.reason } });
  }
  if (!news.empty()) {
    mBoard.Prune(*mStore.Current());
    Publish();
    Send(mMembers.ProgressMessages(news));
  }
}

void
ControlPlane::SendEvidence()
{
  const auto* backend = mBackend ? &mBackend->server : nullptr;
  const auto* move = backend ? mStore.Current()->OpenMoveOf(backend->service) : nullptr;
  if (!move) {
    return;
  }
  moves::EvidenceReport report;
  report.node = mMembers.Self().node;
  report.incarnation = mMembers.Self().incarnation;
  for (const auto& [key, sums] : mEvidence) {
    const moves::VersionCounts counts{ sums.calls, sums.failures, sums.slow };
    const auto* route =
      mStore.Current()->Get<config::RouteEntry>(config::EntryKind::kRoute, key.route);
    if (!route || route->service != move->service) {
      continue;
    }
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
  const std::string body = EncodeEvidence(report);
  for (const NodeId it :
       nodes::DutyHolders(mMembers, mSettings.zone, kJudgeDuty, kJudgesPerZone)) {
    if (it == report.node) {
      mJudge.Report(report);
      continue;
    }
    CountControlBytes("evidence", body.size() + kStreamOverheadBytes, 0);
    mLinks.Send(LinkAddress(mMembers.Members().at(it).record),
                Request(moves::kEvidencePath, body, kJoinTimeout),
                [](const std::optional<nodes::LinkResponse>&, const nodes::LinkReason&) {});
  }
}

void
ControlPlane::RecordMoves()
{
  if (!nodes::HoldsDuty(mMembers, kRecorderDuty, kRecordersPerZone)) {
    return;
  }
  for (const auto& [id, entry] : mStore.Current()->entries) {
    const auto* move = std::get_if<config::MoveEntry>(&entry);
    if (!move || move->state != config::MoveState::kOpen) {
      continue;
    }
    if (const auto verdict = mBoard.Verdict(*move)) {
      RecordMove(*move, config::MoveState::kTakenBack, *verdict);
    } else if (const auto zones = ZonesOf(move->service);
               !zones.empty() && mBoard.IsBakedIn(*move, zones)) {
      RecordMove(*move, config::MoveState::kDone, "every zone moved on its own evidence");
    }
  }
}

void
ControlPlane::RecordMove(const config::MoveEntry& aMove,
                         config::MoveState aState,
                         std::string aReason)
{
  const std::string name = aMove.header.name;
  if (!mRecording.insert(name).second) {
    return;
  }
  config::ChangeRequest request;
  // The same for every node that records this end, so that it counts once.
  request.operationId = "move-end-" + name + "-" + std::to_string(aMove.header.revision);
  config::MoveEntry ended = aMove;
  ended.state = aState;
  ended.reason = std::move(aReason);
  request.upserts.emplace_back(ended);
  const auto* service =
    mStore.Current()->Get<config::ServiceEntry>(config::EntryKind::kService, aMove.service);
  if (aState == config::MoveState::kDone && service) {
    config::ServiceEntry moved = *service;
    moved.version = aMove.toVersion;
    request.upserts.emplace_back(moved);
  }
  mAcceptor.Accept(std::move(request),
                   operators::kSystemOwner,
                   [this, name](const operators::AcceptResult& aResult) {
                     mRecording.erase(name);
                     mServices.metrics.Count(
                       "move_ends_total",
                       { { "outcome",
                           std::string(NameOf(operators::kAcceptOutcomeNames, aResult.outcome)) } });
                   });
}

std::set<std::string>
ControlPlane::ZonesOf(const std::string& aService) const
{
  std::set<std::string> zones;
  const auto add = [&](const MemberRecord& aRecord) {
    if (aRecord.service == aService && aRecord.state == MemberState::kServing) {
      zones.insert(aRecord.zone);
    }
  };
  add(mMembers.Self());
  for (const auto& [id, member] : mMembers.Members()) {
    add(member.record);
  }
  return zones;
}

void
ControlPlane::ExpireAnnouncement()
{
  if (mBackend && std::chrono::steady_clock::now() - mAnnouncedAt > backends::kAnnouncementLifetime) {
    LogEvent(LogCategory::kBackend,
             LogLevel::kWarning,
             "announcement_expired",
             { { "address", mBackend->server.address } });
    mBackend.reset();
    mTraffic->SetBackend(std::nullopt);
    UpdateSelf();
  }
}

bool
ControlPlane::Announce(const std::string& aBody, std::string& aReason)
{
  const auto announcement = backends::DecodeAnnouncement(aBody, aReason);
  if (!announcement) {
    return false;
  }
  mAnnouncedAt = std::chrono::steady_clock::now();
  const bool changed = !mBackend || mBackend->server != announcement->server ||
                       mBackend->draining != announcement->draining;
  if (!changed) {
    return true;
  }
  mBackend = announcement;
  LogEvent(LogCategory::kBackend,
           LogLevel::kInfo,
           "announced",
           { { "address", announcement->server.address },
             { "service", announcement->server.service },
             { "version", announcement->server.version },
             { "draining", announcement->draining ? "true" : "false" } });
  if (announcement->draining) {
    mTraffic->SetBackend(std::nullopt);
  } else {
    mTraffic->SetBackend(announcement->server);
  }
  UpdateSelf();
  return true;
}

void
ControlPlane::CountControlBytes(const char* aKind, std::size_t aSent, std::size_t aReceived)
{
  const std::string kind = aKind;
  mServices.metrics.Count("control_bytes_total",
                          { { "kind", kind }, { "direction", "sent" } },
                          static_cast<double>(aSent));
  mServices.metrics.Count("control_bytes_total",
                          { { "kind", kind }, { "direction", "received" } },
                          static_cast<double>(aReceived));
}

void
ControlPlane::ExportSpans()
{
  if (mSettings.traceCollector.empty()) {
    return;
  }
  const std::string batch = mServices.tracer.TakeBatch();
  if (batch.empty()) {
    return;
  }
  runtime::HttpRequest request;
  request.method = "POST";
  request.url = "http://" + mSettings.traceCollector + "/api/v2/spans";
  request.headers.push_back({ "Content-Type", "application/json" });
  request.body = batch;
  mTraceClient.Send(
    std::move(request),
    [this](const std::optional<runtime::HttpResponse>& aResponse, const runtime::HttpReason&) {
      if (!aResponse) {
        mServices.metrics.Count("trace_batches_dropped_total", {});
      }
    });
}

} // namespace knapweedpaddle::node
