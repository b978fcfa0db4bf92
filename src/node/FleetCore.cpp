#include "knapweedpaddle/node/FleetCore.h"

#include "MemberTargets.h"
#include "knapweedpaddle/nodes/ZoneReaders.h"

namespace knapweedpaddle::node {

using backends::ReportVerdict;
using backends::ServerReport;
using nodes::MemberRecord;
using nodes::MemberState;

namespace {

/** A server is taken as gone after so many intervals without a report. */
constexpr int kSilentIntervals = 6;
constexpr std::size_t kReadersPerZone = 2;
/** Of the retries allowed to all nodes, the part that is given out. */
constexpr double kRetryRatioPart = 0.65;
/** Retries that one of a call that ran costs: its run makes calls, too. */
constexpr double kRunRetryCost = 2;
constexpr double kRetrySlackPart = 0.7;

} // namespace

FleetCore::FleetCore(Services aServices,
                     const settings::FleetSettings& aSettings,
                     MemberRecord aSelf,
                     std::uint64_t aSeed)
  : mServices(std::move(aServices))
  , mSettings(aSettings)
  , mMembers(
      { mServices.scheduler,
        mServices.store,
        mServices.peers,
        mServices.send,
        [this](nodes::JoinAnswer aAnswer) {
          aAnswer.configVersion = mConfig.Version();
          aAnswer.moves = mRollouts.Board().Progress();
          return aAnswer;
        },
        [this](const nodes::JoinAnswer& aAnswer) { OnJoinAnswer(aAnswer); },
        [] {},
        [this] { return mConfig.HasConfig(); } },
      std::move(aSelf),
      {},
      aSeed)
  , mConfig({ mServices.scheduler,
              mServices.desk,
              mServices.peers,
              [this] {
                return nodes::HoldsDuty(
                  Members(), nodes::kReaderDuty, kReadersPerZone);
              },
              [this](bool aFromStore) { OnApplied(aFromStore); },
              [this](const std::vector<operators::RolloutOrder>& aOrders) {
                mRollouts.OnOrders(aOrders);
              },
              [this](bool aReachable, const std::string& aWhy) {
                mServices.note(aReachable ? "store_regained" : "store_lost",
                               aWhy);
              } },
            aSeed + 1)
  , mRollouts(
      { mServices.scheduler,
        mMembers.Members(),
        mServices.desk,
        mServices.peers,
        [this](const std::vector<nodes::Datagram>& aDatagrams) {
          mMembers.Send(aDatagrams);
        },
        [this] { Publish(); },
        [this](const moves::Rollout& aRollout) {
          mServices.note(
            aRollout.condemned ? "rollout_condemned" : "rollout_stage",
            aRollout.order.service + " to " + aRollout.order.toVersion +
              ", stage " +
              std::string(NameOf(moves::kRolloutStageNames, aRollout.stage)) +
              (aRollout.reason.empty() ? "" : ": " + aRollout.reason));
        } })
  , mServer(aSettings.backendAddress)
{
}

void
FleetCore::Start()
{
  mConfig.Start();
  mMembers.Bootstrap();
  OnTick();
}

void
FleetCore::OnTick()
{
  const Timestamp now = mServices.scheduler.Now();
  mMembers.Tick();
  mConfig.Tick();
  mRollouts.OnTick();
  if (mServer.Expire(now, mSettings.reportInterval * kSilentIntervals)) {
    mServices.note("backend_expired", "no reports");
    mServices.setBackend(std::nullopt, {});
    UpdateSelf();
  }
  if (mViewDirty || mPublishedMembers != Members().Changes()) {
    Publish();
  }
  mServices.scheduler.RunAfter(RolloutAgent::kTick, [this] { OnTick(); });
}

void
FleetCore::OnPause()
{
  mServices.note("resumed_after_pause", "");
  mConfig.Refresh();
  mMembers.Bootstrap();
  Publish();
}

void
FleetCore::Receive(const nodes::GossipMessage& aMessage)
{
  mConfig.OnPeerHeard();
  mMembers.Receive(aMessage);
  mRollouts.Merge(aMessage.moves);
  if (const std::string address = mMembers.LinkAddressOf(aMessage.sender);
      !address.empty()) {
    mConfig.OnPeerVersion(address, aMessage.configVersion);
  }
}

void
FleetCore::OnJoinAnswer(const nodes::JoinAnswer& aAnswer)
{
  mRollouts.Merge(aAnswer.moves);
  if (!aAnswer.members.empty()) {
    // The answering node itself comes first in its answer.
    mConfig.OnPeerVersion(LinkAddress(aAnswer.members.front().record),
                          aAnswer.configVersion);
  }
}

void
FleetCore::OnApplied(bool aFromStore)
{
  mServices.note("config_applied",
                 "version " + std::to_string(mConfig.Version()) + " from " +
                   mConfig.Source());
  mRoutes = std::make_shared<const routing::RouteTable>(mConfig.Current());
  mMembers.Members().SetConfigVersion(mConfig.Version());
  mServices.setCallerLimits(mConfig.Current()->callerLimits);
  UpdateSelf();
  Publish();
  // Readers tell their whole zone; news that peers brought spreads by itself.
  nodes::Membership& members = mMembers.Members();
  mMembers.Send(aFromStore ? members.ZoneHints() : members.VersionHints());
}

void
FleetCore::TakeEvidence(const backends::EvidenceTable& aEvidence)
{
  if (const ServerReport* server = mServer.Latest()) {
    mRollouts.TakeEvidence(server->service, aEvidence);
  }
}

void
FleetCore::OnServerReport(const ServerReport& aReport,
                          std::function<void()> aDone)
{
  const ReportVerdict verdict =
    mServer.Apply(aReport, mServices.scheduler.Now());
  if (verdict != ReportVerdict::kAccepted) {
    mServices.note(
      "report_ignored",
      aReport.id + " " +
        std::string(NameOf(backends::kReportVerdictNames, verdict)));
    aDone();
    return;
  }
  std::optional<backends::BackendServer> backend;
  if (const ServerReport* ready = mServer.Ready()) {
    backend = backends::BackendServer{
      ready->address, ready->service, ready->version, ready->slots, ready->id
    };
  }
  mServices.setBackend(std::move(backend), std::move(aDone));
  UpdateSelf();
}

void
FleetCore::Leave()
{
  mLeaving = true;
  UpdateSelf();
  mMembers.Send(mMembers.Members().VersionHints());
  mMembers.RemoveRow();
}

void
FleetCore::UpdateSelf()
{
  MemberRecord record = Members().Self();
  const ServerReport* ready = mServer.Ready();
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
  mServices.note("state",
                 std::string(NameOf(nodes::kMemberStateNames, record.state)) +
                   " " + record.service + " " + record.version);
  mMembers.Members().UpdateSelf(record);
  mMembers.Send(mMembers.Members().VersionHints());
  mViewDirty = true;
}

routing::RetryOptions
FleetCore::RetryShare() const
{
  const auto nodes = static_cast<double>(Members().Members().size() + 1);
  routing::RetryOptions options;
  options.retriesPerCall = mSettings.retryBudgetRatio * kRetryRatioPart;
  options.burst = std::max(
    kRunRetryCost, mSettings.retryBudgetSlack * kRetrySlackPart / nodes);
  options.costIfMayHaveRun = kRunRetryCost;
  return options;
}

void
FleetCore::Publish()
{
  if (!mConfig.HasConfig()) {
    return;
  }
  auto view =
    std::make_shared<routing::RoutingView>(mConfig.Current(), mRoutes);
  view->open = true;
  view->retries = RetryShare();
  AddTargets(*view, Members());
  for (const auto& [id, entry] : mConfig.Current()->entries) {
    if (id.kind == config::EntryKind::kService) {
      view->splits[id.name] = mRollouts.Board().SplitOf(id.name);
    }
  }
  mServices.publish(std::move(view));
  mPublishedMembers = Members().Changes();
  mViewDirty = false;
}

} // namespace knapweedpaddle::node
