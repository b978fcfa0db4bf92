#include "knapweedpaddle/node/FleetCore.h"

#include "MemberTargets.h"
#include "knapweedpaddle/nodes/DutyAssignment.h"
#include "knapweedpaddle/store/Revision.h"

namespace knapweedpaddle::node {

using backends::ReportedState;
using backends::ReportOutcome;
using backends::ServerReport;
using nodes::MemberRecord;
using nodes::MemberState;

namespace {

/** A backend server that misses this many reports in a row is taken as gone. */
constexpr int kMaxMissedReports = 6;
constexpr std::size_t kReadersPerZone = 2;
/** Time that the platform takes to send callers to other nodes. */
constexpr Milliseconds kReadinessLead{ 2000 };
/** Share of FleetSettings::retryBudgetRatio that all nodes together may use. */
constexpr double kGrantedRetryRatioShare = 0.65;
/** Retries charged for one retry of a call that may have run: the calls that
 * its first run made to other services are made again, too. */
constexpr double kMayHaveRunRetryCost = 2;
/** Share of FleetSettings::retryBudgetSlack that all nodes together may use. */
constexpr double kGrantedRetrySlackShare = 0.7;

ReaderRole
ReaderRoleOf(const nodes::Membership& aMembers)
{
  if (nodes::HoldsDuty(aMembers, nodes::kConfigReaderDuty, 1)) {
    return ReaderRole::kFirst;
  }
  return nodes::HoldsDuty(aMembers, nodes::kConfigReaderDuty, kReadersPerZone)
           ? ReaderRole::kBackup
           : ReaderRole::kNone;
}

std::string
RevisionText(std::uint64_t aRevision)
{
  return std::to_string(store::VersionInHistory(aRevision)) + " of history " +
         std::to_string(store::HistoryOf(aRevision));
}

} // namespace

FleetCore::FleetCore(Services aServices,
                     const settings::FleetSettings& aSettings,
                     MemberRecord aSelf,
                     std::uint64_t aSeed)
  : mServices(std::move(aServices))
  , mSettings(aSettings)
  , mMemberAgent(
      { mServices.scheduler,
        mServices.store,
        mServices.peers,
        [this](const nodes::Datagram& aDatagram) { Send(aDatagram); },
        [this](nodes::JoinAnswer aAnswer) {
          aAnswer.evacuations = mEvacuations.Orders();
          aAnswer.configVersion = mConfig.Version();
          aAnswer.moves = mRolloutAgent.Rollouts().Progress();
          return aAnswer;
        },
        [this](const nodes::JoinAnswer& aAnswer) { OnJoinAnswer(aAnswer); },
        [] {},
        [this] { return mConfig.HasConfig(); } },
      std::move(aSelf),
      {},
      aSeed)
  , mConfig({ mServices.scheduler,
              mServices.orders,
              mServices.peers,
              [this] { return ReaderRoleOf(Members()); },
              [this] { return mFreshness.Age(); },
              [this](bool aFromStore) { OnConfigApplied(aFromStore); },
              [this](Microseconds aAsOf) { mFreshness.Confirm(aAsOf); },
              [this](const std::vector<operators::RolloutOrder>& aOrders) {
                mRolloutAgent.OnOrders(aOrders);
              },
              [this](const operators::OrderUpdate& aUpdate) {
                OnEvacuations(aUpdate);
              },
              [this] {
                if (nodes::HoldsDuty(Members(), nodes::kConfigReaderDuty, 1)) {
                  mMemberAgent.RewriteZoneRows();
                }
              },
              [this](bool aReachable, const std::string& aReason) {
                mServices.logEvent(aReachable ? "store_regained" : "store_lost",
                                   aReason);
              } },
            aSeed + 1)
  , mFreshness({ mServices.scheduler,
                 mMemberAgent.Members(),
                 [this](const nodes::Datagram& aDatagram) { Send(aDatagram); },
                 [this] { return mConfig.Version(); },
                 mServices.confirm })
  , mRolloutAgent(
      { mServices.scheduler,
        mMemberAgent.Members(),
        mServices.orders,
        mServices.peers,
        [this](const std::vector<nodes::Datagram>& aDatagrams) {
          mMemberAgent.Send(aDatagrams);
        },
        [this] { Publish(); },
        [this](const moves::Rollout& aRollout) {
          mServices.logEvent(
            aRollout.condemned ? "rollout_condemned" : "rollout_stage",
            aRollout.order.service + " to " + aRollout.order.toVersion +
              ", stage " +
              std::string(NameOf(moves::kRolloutStageNames, aRollout.stage)) +
              ", order " + RevisionText(aRollout.order.revision) +
              (aRollout.reason.empty() ? "" : ": " + aRollout.reason));
        } })
  , mAllowances({ mServices.scheduler,
                  mMemberAgent.Members(),
                  [this](const nodes::Datagram& aDatagram) { Send(aDatagram); },
                  [this] { return mMemberAgent.KnowsFleet(); },
                  mServices.updateAllowances },
                aSettings.zones)
  , mBackendServer(aSettings.backendAddress)
{
}

void
FleetCore::Start()
{
  mConfig.Start();
  mMemberAgent.Bootstrap();
  OnTick();
}

void
FleetCore::OnTick()
{
  const Timestamp now = mServices.scheduler.Now();
  mMemberAgent.Tick();
  mConfig.Tick();
  mFreshness.Tick();
  mRolloutAgent.OnTick();
  mAllowances.Tick();
  if (mBackendServer.Expire(now,
                            mSettings.reportInterval * kMaxMissedReports)) {
    mServices.logEvent("backend_expired", "no reports from the backend server");
    mServices.setBackend(std::nullopt, {});
    UpdateSelf();
  }
  if (mIsViewOutdated || mPublishedMemberChanges != Members().ChangeCount()) {
    Publish();
  }
  mServices.scheduler.RunAfter(RolloutAgent::kTickInterval,
                               [this] { OnTick(); });
}

void
FleetCore::OnPause()
{
  mServices.logEvent("resumed_after_pause", "");
  mConfig.ReadStoreAgain();
  mFreshness.QueryAtNextTick();
  mMemberAgent.Bootstrap();
}

void
FleetCore::Receive(const nodes::GossipMessage& aMessage)
{
  if (aMessage.kind != nodes::GossipKind::kConfigQuery &&
      aMessage.kind != nodes::GossipKind::kConfigAnswer) {
    mConfig.OnPeerMessage();
  }
  mAllowances.Receive(aMessage);
  mFreshness.Receive(aMessage);
  mMemberAgent.Receive(aMessage);
  mRolloutAgent.Merge(aMessage.moves);
  MergeEvacuations(aMessage.evacuations);
  if (const std::string address = mMemberAgent.LinkAddressOf(aMessage.sender);
      !address.empty()) {
    mConfig.OnPeerVersion(address, aMessage.configVersion);
  }
}

void
FleetCore::OnJoinAnswer(const nodes::JoinAnswer& aAnswer)
{
  mRolloutAgent.Merge(aAnswer.moves);
  MergeEvacuations(aAnswer.evacuations);
  if (!aAnswer.members.empty()) {
    // The first member in a join answer is the answering node itself.
    mConfig.OnPeerVersion(LinkAddress(aAnswer.members.front().record),
                          aAnswer.configVersion);
  }
}

void
FleetCore::Send(const nodes::Datagram& aDatagram) const
{
  if (mEvacuations.Orders().empty()) {
    mServices.send(aDatagram);
    return;
  }
  nodes::Datagram datagram = aDatagram;
  datagram.message.evacuations = mEvacuations.Orders();
  mServices.send(datagram);
}

void
FleetCore::OnEvacuations(const operators::OrderUpdate& aUpdate)
{
  const bool changed =
    aUpdate.isComplete
      ? mEvacuations.MergeComplete(aUpdate.evacuations, aUpdate.revision)
      : mEvacuations.Merge(aUpdate.evacuations);
  if (changed) {
    OnEvacuationsChanged();
    mMemberAgent.Send(mMemberAgent.Members().ZoneVersionHints());
  }
}

void
FleetCore::MergeEvacuations(const std::vector<ZoneEvacuation>& aOrders)
{
  if (mEvacuations.Merge(aOrders)) {
    OnEvacuationsChanged();
    mMemberAgent.Send(mMemberAgent.Members().VersionHints());
  }
}

void
FleetCore::OnEvacuationsChanged()
{
  std::string zones;
  for (const auto& it : mEvacuations.EvacuatedZones()) {
    zones += (zones.empty() ? "" : ",") + it;
  }
  mServices.logEvent("evacuated_zones", zones.empty() ? "none" : zones);
  Publish();
}

void
FleetCore::OnConfigApplied(bool aFromStore)
{
  mServices.logEvent("config_applied",
                     "version " + std::to_string(mConfig.Version()) + " from " +
                       mConfig.Source());
  mRoutes = std::make_shared<const routing::RouteTable>(mConfig.Current());
  mTeams = std::make_shared<const routing::TeamDirectory>(mConfig.Current());
  SetTeams();
  mMemberAgent.Members().SetConfigVersion(mConfig.Version());
  mServices.setCallerLimits(mConfig.Current()->callerLimits);
  UpdateSelf();
  Publish();
  // A version read from the store is announced to the whole zone; one pulled
  // from a peer spreads by ordinary gossip.
  nodes::Membership& members = mMemberAgent.Members();
  mMemberAgent.Send(aFromStore ? members.ZoneVersionHints()
                               : members.VersionHints());
}

void
FleetCore::SetTeams()
{
  std::unordered_map<TeamId, TeamAllowance> allowances;
  for (const auto& [id, entry] : mConfig.Current()->entries) {
    const auto* team = std::get_if<config::TeamEntry>(&entry);
    if (team && team->callsPerSecond > 0) {
      allowances[TeamIdOf(team->header.name)] = { team->callsPerSecond,
                                                  team->burst };
    }
  }
  mAllowances.SetAllowances(std::move(allowances));
}

bool
FleetCore::CanCheckKeys() const
{
  if (mSettings.maxKeyAge <= Milliseconds(0) || !mTeams->HasTeams()) {
    return true;
  }
  const auto age = mFreshness.Age();
  return age && *age + kReadinessLead < mSettings.maxKeyAge;
}

void
FleetCore::TakeEvidence(const backends::EvidenceTable& aEvidence)
{
  if (const ServerReport* server = mBackendServer.Latest()) {
    mRolloutAgent.TakeEvidence(server->service, aEvidence);
  }
}

void
FleetCore::OnServerReport(const ServerReport& aReport,
                          std::function<void()> aDone)
{
  const ServerReport* before = mBackendServer.Latest();
  const bool isNews = aReport.state != ReportedState::kReady || !before ||
                      before->startedAtMs != aReport.startedAtMs;
  const ReportOutcome outcome = mBackendServer.Apply(
    aReport, mServices.scheduler.Now(), mServices.scheduler.WallTime());
  if (outcome != ReportOutcome::kAccepted) {
    mServices.logEvent(
      "report_ignored",
      aReport.id + " " +
        std::string(NameOf(backends::kReportOutcomeNames, outcome)));
    aDone();
    return;
  }
  if (isNews) {
    mServices.logEvent(
      "report_accepted",
      aReport.id + " " +
        std::string(NameOf(backends::kReportedStateNames, aReport.state)) +
        ", report " + std::to_string(aReport.sequence) + ", started at " +
        std::to_string(aReport.startedAtMs));
  }
  std::optional<backends::BackendServer> backend;
  if (const ServerReport* ready = mBackendServer.Ready()) {
    backend = backends::BackendServer{ ready->address,   ready->service,
                                       ready->version,   ready->slots,
                                       ready->id,        ready->startedAtMs,
                                       ready->warmupLeft };
  }
  mServices.setBackend(std::move(backend), std::move(aDone));
  UpdateSelf();
}

void
FleetCore::OnServerLeaving(const backends::BackendServer& aServer)
{
  if (mBackendServer.OnLeaving(aServer.id, aServer.startedAtMs)) {
    mServices.setBackend(std::nullopt, {});
    UpdateSelf();
  }
}

void
FleetCore::Leave()
{
  mLeaving = true;
  UpdateSelf();
  mMemberAgent.Send(mMemberAgent.Members().VersionHints());
  mMemberAgent.RemoveRow();
}

void
FleetCore::UpdateSelf()
{
  MemberRecord record = Members().Self();
  const ServerReport* ready = mBackendServer.Ready();
  record.service = ready ? ready->service : "";
  record.version = ready ? ready->version : "";
  record.slots = ready ? ready->slots : 0;
  if (mLeaving) {
    record.state = MemberState::kLeaving;
  } else if (!mConfig.HasConfig()) {
    record.state = MemberState::kStarting;
  } else {
    record.state = ready ? MemberState::kServing : MemberState::kWarm;
  }
  const MemberRecord& self = Members().Self();
  if (record.state == self.state && record.service == self.service &&
      record.version == self.version && record.slots == self.slots) {
    return;
  }
  mServices.logEvent(
    "state",
    std::string(NameOf(nodes::kMemberStateNames, record.state)) + " " +
      record.service + " " + record.version);
  mMemberAgent.Members().UpdateSelf(record);
  mMemberAgent.Send(mMemberAgent.Members().VersionHints());
  mIsViewOutdated = true;
}

routing::RetryOptions
FleetCore::RetryOptionsPerNode() const
{
  const auto nodes = static_cast<double>(Members().Members().size() + 1);
  routing::RetryOptions options;
  options.retriesPerCall = mSettings.retryBudgetRatio * kGrantedRetryRatioShare;
  options.burst =
    std::max(kMayHaveRunRetryCost,
             mSettings.retryBudgetSlack * kGrantedRetrySlackShare / nodes);
  options.costIfMayHaveRun = kMayHaveRunRetryCost;
  return options;
}

void
FleetCore::Publish()
{
  if (!mConfig.HasConfig()) {
    return;
  }
  auto view =
    std::make_shared<routing::RoutingView>(mConfig.Current(), mRoutes, mTeams);
  view->open = true;
  view->retries = RetryOptionsPerNode();
  view->evacuatedZones = mEvacuations.EvacuatedZones();
  AddTargets(*view, Members());
  for (const auto& [id, entry] : mConfig.Current()->entries) {
    if (id.kind == config::EntryKind::kService) {
      view->splits[id.name] = mRolloutAgent.Rollouts().SplitOf(id.name);
    }
  }
  mServices.publish(std::move(view));
  mPublishedMemberChanges = Members().ChangeCount();
  mIsViewOutdated = false;
}

} // namespace knapweedpaddle::node
