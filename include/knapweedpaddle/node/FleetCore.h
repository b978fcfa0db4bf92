#pragma once

#include "knapweedpaddle/backends/BackendServerTracker.h"
#include "knapweedpaddle/node/AllowanceAgent.h"
#include "knapweedpaddle/node/ConfigFollower.h"
#include "knapweedpaddle/node/ConfigFreshness.h"
#include "knapweedpaddle/node/EvacuationTracker.h"
#include "knapweedpaddle/node/MemberAgent.h"
#include "knapweedpaddle/node/RolloutAgent.h"
#include "knapweedpaddle/settings/FleetSettings.h"

namespace knapweedpaddle::node {

/**
 * Decision logic of the control thread of a node whose operators write whole
 * configurations into the store. It does no I/O of its own: everything that
 * leaves it goes through Services.
 *
 * Thread safety: control thread only.
 */
class FleetCore
{
public:
  struct Services
  {
    runtime::Scheduler& scheduler;
    store::StoreClient& store;
    operators::OrderStore& orders;
    nodes::PeerClient& peers;
    std::function<void(const nodes::Datagram&)> send;
    std::function<void(routing::RoutingViewPtr)> publish;
    /** Passes the boot time at which the configuration of the last published
     * view was the newest one. */
    std::function<void(Microseconds)> confirm;
    std::function<void(const config::CallerLimits&)> setCallerLimits;
    /** Passes what this node may admit of the calls of teams. */
    std::function<void(const AllowanceUpdate&)> updateAllowances;
    /**
     * Sets the backend server to which this node passes calls, or none. The
     * task runs once the setting is in effect.
     */
    std::function<void(std::optional<backends::BackendServer>,
                       std::function<void()>)>
      setBackend;
    /** Logs an event, such as a change of this node's state. */
    std::function<void(const std::string& aEvent, const std::string& aDetail)>
      logEvent;
  };

  FleetCore(Services aServices,
            const settings::FleetSettings& aSettings,
            nodes::MemberRecord aSelf,
            std::uint64_t aSeed);

  /** Starts the timers and begins to contact the store and peers. */
  void Start();

  /** Handles a gossip message of a peer. */
  void Receive(const nodes::GossipMessage& aMessage);

  /** Answers a peer that joins the mesh. */
  nodes::JoinAnswer OnJoin(const nodes::MemberUpdate& aPeer)
  {
    return mMemberAgent.OnJoin(aPeer);
  }

  /** Answers a peer that holds version aFrom and asks for newer changes. */
  nodes::PullAnswer OnPull(std::uint64_t aFrom)
  {
    return mConfig.MakePullAnswer(aFrom);
  }

  /** Handles call counts that another node reports for its backend server. */
  void OnReport(const moves::EvidenceReport& aReport)
  {
    mRolloutAgent.OnReport(aReport);
  }

  /**
   * Applies a report of this node's backend server about its own state.
   *
   * @param aDone  runs when the report may be acknowledged: once calls are
   * routed by it, or at once when it is ignored.
   */
  void OnServerReport(const backends::ServerReport& aReport,
                      std::function<void()> aDone);

  /** Handles that this node's backend server said in an answer that it leaves.
   */
  void OnServerLeaving(const backends::BackendServer& aServer);

  /** Takes the call counts of this node's backend server, for rollouts. */
  void TakeEvidence(const backends::EvidenceTable& aEvidence);

  /** Reports to the other nodes which requests may have crashed this node's
   * backend server. */
  void TakeSuspects(std::vector<CrashSuspect> aSuspects)
  {
    mMemberAgent.ReportSuspects(std::move(aSuspects));
  }

  /** Takes the calls of teams at this node since the process started. */
  void TakeTeamUsages(const std::vector<TeamUsage>& aUsages)
  {
    mAllowances.TakeUsages(aUsages);
  }

  /** Reads the store and contacts peers again after a pause of the process. */
  void OnPause();

  /** Sends this node's callers to other nodes: it is no longer ready. */
  void BeginStop() { mStopping = true; }

  /** Notifies peers that this node leaves, and removes its row in the store. */
  void Leave();

  /** True while callers may send calls to this node. Callers with keys go to
   * other nodes before this one must refuse them. */
  bool IsReady() const
  {
    return mConfig.HasConfig() && !mStopping && CanCheckKeys();
  }

  /** Returns the number of teams that this node limits as a coordinator. */
  std::size_t LimitedTeams() const { return mAllowances.LimitedTeams(); }

  const ConfigFollower& Config() const { return mConfig; }
  const ConfigFreshness& Freshness() const { return mFreshness; }
  const nodes::Membership& Members() const { return mMemberAgent.Members(); }
  const EvacuationTracker& Evacuations() const { return mEvacuations; }

private:
  void OnTick();
  void OnConfigApplied(bool aFromStore);
  void OnJoinAnswer(const nodes::JoinAnswer& aAnswer);
  /** Sends a datagram with the evacuation orders known here. */
  void Send(const nodes::Datagram& aDatagram) const;
  void OnEvacuations(const operators::OrderUpdate& aUpdate);
  void MergeEvacuations(const std::vector<ZoneEvacuation>& aOrders);
  void OnEvacuationsChanged();
  void SetTeams();
  /** Returns false if keys may have been withdrawn that this node accepts, or
   * soon will be if the configuration is not confirmed. */
  bool CanCheckKeys() const;
  void UpdateSelf();
  void Publish();
  /** Returns this node's part of the retries allowed to all nodes together. */
  routing::RetryOptions RetryOptionsPerNode() const;

  Services mServices;
  const settings::FleetSettings& mSettings;
  EvacuationTracker mEvacuations;
  MemberAgent mMemberAgent;
  ConfigFollower mConfig;
  ConfigFreshness mFreshness;
  RolloutAgent mRolloutAgent;
  AllowanceAgent mAllowances;
  backends::BackendServerTracker mBackendServer;
  routing::RouteTablePtr mRoutes;   ///< routes of the current configuration
  routing::TeamDirectoryPtr mTeams; ///< teams of the current configuration
  /** Membership::ChangeCount() when the view was last published. */
  std::uint64_t mPublishedMemberChanges = 0;
  bool mIsViewOutdated = true;
  bool mStopping = false;
  bool mLeaving = false;
};

} // namespace knapweedpaddle::node
