#include "knapweedpaddle/node/ControlCore.h"

#include "MemberTargets.h"
#include "knapweedpaddle/nodes/DutyAssignment.h"

namespace knapweedpaddle::node {

using nodes::MemberRecord;
using nodes::MemberState;

namespace {

constexpr Milliseconds kTickInterval{ 100 };
constexpr Milliseconds kSecond{ 1000 };
/** A longer gap between ticks counts as a pause of the process. */
constexpr Milliseconds kMaxTickGap{ 2000 };
constexpr std::size_t kReadersPerZone = 2;

} // namespace

ControlCore::ControlCore(Services aServices,
                         MemberRecord aSelf,
                         std::vector<std::string> aSeeds,
                         std::uint64_t aRandomSeed)
  : mServices(std::move(aServices))
  , mPauseDetector(kMaxTickGap)
  , mMembers(
      { mServices.scheduler,
        mServices.platform,
        mServices.peers,
        mServices.send,
        [this](nodes::JoinAnswer aAnswer) {
          aAnswer.configVersion = mConfig.Version();
          aAnswer.moves = mMoves.Progress().All();
          return aAnswer;
        },
        [this](const nodes::JoinAnswer& aAnswer) { OnJoinAnswer(aAnswer); },
        [this] { mConfig.OnPeersAsked(); },
        [this] { return mConfig.IsServing(); } },
      std::move(aSelf),
      std::move(aSeeds),
      aRandomSeed)
  , mConfig({ mServices.scheduler,
              mServices.platform,
              mServices.peers,
              [this] { OnApplied(); },
              [this](Microseconds aAsOf) { mFreshness.Confirm(aAsOf); },
              [this] {
                UpdateSelf();
                Publish();
              } },
            aRandomSeed + 1)
  , mFreshness({ mServices.scheduler,
                 mMembers.Members(),
                 mServices.send,
                 [this] { return mConfig.Version(); },
                 mServices.confirm })
  , mAcceptor(mServices.platform,
              mConfig.Store(),
              mConfig.Reader(),
              [this] { mConfig.OnChangeApplied(); })
  , mMoves({ mServices.scheduler,
             mMembers.Members(),
             mConfig.Store(),
             mServices.peers,
             mAcceptor,
             [this](const std::vector<nodes::Datagram>& aDatagrams) {
               mMembers.Send(aDatagrams);
             },
             [this] { Publish(); },
             [this](const nodes::MoveProgress& aProgress) {
               mServices.logEvent(
                 aProgress.condemned ? "move_condemned" : "move_stage",
                 aProgress.move + " zone " + aProgress.zone + " stage " +
                   std::to_string(aProgress.stage) + " " + aProgress.reason);
             },
             [this](operators::AcceptOutcome aOutcome) {
               mServices.logEvent(
                 "move_end_recorded",
                 std::string(NameOf(operators::kAcceptOutcomeNames, aOutcome)));
             } })
{
}

void
ControlCore::Start()
{
  mConfig.CloseGate();
  mMembers.Bootstrap();
  OnTick();
  OnSecond();
}

void
ControlCore::OnTick()
{
  const Microseconds now = mServices.scheduler.BootTime();
  if (mPauseDetector.TakePause(now)) {
    OnPause();
  }
  mPauseDetector.Tick(now);
  mMembers.Tick();
  mFreshness.Tick();
  mConfig.UpdateGate();
  if (mViewDirty || mPublishedMembers != Members().ChangeCount()) {
    Publish();
  }
  mServices.scheduler.RunAfter(kTickInterval, [this] { OnTick(); });
}

void
ControlCore::OnSecond()
{
  ExpireAnnouncement();
  if (nodes::HoldsDuty(Members(), nodes::kConfigReaderDuty, kReadersPerZone)) {
    mConfig.PollHead();
  }
  mMoves.OnSecond();
  mServices.scheduler.RunAfter(kSecond, [this] { OnSecond(); });
}

void
ControlCore::OnPause()
{
  mServices.logEvent("resumed_after_pause", "");
  mConfig.CloseGate();
  mFreshness.QueryAtNextTick();
  mMembers.Bootstrap();
}

void
ControlCore::Receive(const nodes::GossipMessage& aMessage)
{
  mFreshness.Receive(aMessage);
  mMembers.Receive(aMessage);
  mMoves.Merge(aMessage.moves);
  if (const std::string address = mMembers.LinkAddressOf(aMessage.sender);
      !address.empty()) {
    mConfig.OnPeerVersion(address, aMessage.configVersion);
  }
}

void
ControlCore::OnJoinAnswer(const nodes::JoinAnswer& aAnswer)
{
  mMoves.Merge(aAnswer.moves);
  if (aAnswer.members.empty()) {
    return;
  }
  // The first member of a join answer is the answering node itself.
  const MemberRecord& peer = aAnswer.members.front().record;
  mConfig.OnJoinAnswer({ aAnswer.configVersion,
                         aAnswer.rememberedVersion,
                         peer.state != MemberState::kStarting });
  mConfig.OnPeerVersion(LinkAddress(peer), aAnswer.configVersion);
}

void
ControlCore::OnApplied()
{
  mServices.logEvent("config_applied", std::to_string(mConfig.Version()));
  Members().SetConfigVersion(mConfig.Version());
  mMoves.OnConfigChanged();
  Publish();
  mMembers.Send(Members().VersionHints());
}

void
ControlCore::TakeEvidence(const backends::EvidenceTable& aEvidence)
{
  if (mBackend) {
    mMoves.TakeEvidence(mBackend->server.service, aEvidence);
  }
}

void
ControlCore::Announce(const backends::Announcement& aAnnouncement)
{
  mLastAnnouncement = mServices.scheduler.Now();
  if (mBackend && mBackend->server == aAnnouncement.server &&
      mBackend->draining == aAnnouncement.draining) {
    return;
  }
  mBackend = aAnnouncement;
  const backends::BackendServer& server = aAnnouncement.server;
  mServices.logEvent("backend_announced",
                     server.address + " " + server.service + " " +
                       server.version +
                       (aAnnouncement.draining ? " draining" : ""));
  mServices.setBackend(aAnnouncement.draining ? std::nullopt
                                              : std::optional(server));
  UpdateSelf();
}

void
ControlCore::ExpireAnnouncement()
{
  if (mBackend && mServices.scheduler.Now() - mLastAnnouncement >
                    backends::kAnnouncementLifetime) {
    mServices.logEvent("backend_expired", mBackend->server.address);
    mBackend.reset();
    mServices.setBackend(std::nullopt);
    UpdateSelf();
  }
}

void
ControlCore::Leave()
{
  mLeaving = true;
  UpdateSelf();
  Publish();
  mMembers.Send(Members().VersionHints());
  mMembers.RemoveRow();
}

void
ControlCore::UpdateSelf()
{
  MemberRecord record = Members().Self();
  const bool hasBackend = mBackend && !mBackend->draining;
  record.service = hasBackend ? mBackend->server.service : "";
  record.version = hasBackend ? mBackend->server.version : "";
  record.slots = hasBackend ? mBackend->server.slots : 0;
  if (mLeaving) {
    record.state = MemberState::kLeaving;
  } else if (!mConfig.IsServing()) {
    record.state = MemberState::kStarting;
  } else {
    record.state = hasBackend ? MemberState::kServing : MemberState::kWarm;
  }
  if (record.state != Members().Self().state) {
    mServices.logEvent(
      "state", std::string(NameOf(nodes::kMemberStateNames, record.state)));
  }
  Members().UpdateSelf(record);
  mViewDirty = true;
}

void
ControlCore::Publish()
{
  if (mPauseDetector.TakePause(mServices.scheduler.BootTime())) {
    OnPause();
  }
  auto view = std::make_shared<routing::RoutingView>(mConfig.Store().Current());
  view->open = IsServing();
  view->splits = mMoves.Progress().Splits(*view->config, Members().Self().zone);
  AddTargets(*view, Members());
  mServices.publish(std::move(view));
  mPublishedMembers = Members().ChangeCount();
  mViewDirty = false;
}

} // namespace knapweedpaddle::node
