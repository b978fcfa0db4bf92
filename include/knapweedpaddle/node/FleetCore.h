#pragma once

#include "knapweedpaddle/backends/ServerLedger.h"
#include "knapweedpaddle/node/ConfigFollower.h"
#include "knapweedpaddle/node/MemberAgent.h"
#include "knapweedpaddle/node/RolloutAgent.h"
#include "knapweedpaddle/settings/FleetSettings.h"

namespace knapweedpaddle::node {

/**
 * All decisions of the control thread of a node whose operators write whole
 * configurations into the store, without I/O.
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
    operators::OrderDesk& desk;
    nodes::PeerClient& peers;
    std::function<void(const nodes::Datagram&)> send;
    std::function<void(routing::RoutingViewPtr)> publish;
    std::function<void(const config::CallerLimits&)> setCallerLimits;
    /** Sets the server that takes calls; the task runs once that holds. */
    std::function<void(std::optional<backends::BackendServer>,
                       std::function<void()>)>
      setBackend;
    /** Hears of changes of state, for logs. */
    std::function<void(const std::string& aEvent, const std::string& aDetail)>
      logEvent;
  };

  FleetCore(Services aServices,
            const settings::FleetSettings& aSettings,
            nodes::MemberRecord aSelf,
            std::uint64_t aSeed);

  /** Starts the timers and looks for the store and peers. */
  void Start();

  void Receive(const nodes::GossipMessage& aMessage);

  nodes::JoinAnswer OnJoin(const nodes::MemberUpdate& aPeer)
  {
    return mMemberAgent.OnJoin(aPeer);
  }

  nodes::PullAnswer OnPull(std::uint64_t aFrom)
  {
    return mConfig.MakePullAnswer(aFrom);
  }

  void OnReport(const moves::EvidenceReport& aReport)
  {
    mRolloutAgent.OnReport(aReport);
  }

  /**
   * Takes over what the backend server said of itself.
   *
   * @param aDone  runs once calls follow it, when the report may be
   * acknowledged.
   */
  void OnServerReport(const backends::ServerReport& aReport,
                      std::function<void()> aDone);

  /** Takes over the counts of the own backend server's calls. */
  void TakeEvidence(const backends::EvidenceTable& aEvidence);

  /** Reads everything anew after a pause of the process. */
  void OnPause();

  /** Tells peers that this node leaves. */
  void Leave();

  /** True while callers may send calls here. */
  bool IsReady() const { return mConfig.HasConfig() && !mLeaving; }

  const ConfigFollower& Config() const { return mConfig; }
  const nodes::Membership& Members() const { return mMemberAgent.Members(); }

private:
  void OnTick();
  void OnConfigApplied(bool aFromStore);
  void OnJoinAnswer(const nodes::JoinAnswer& aAnswer);
  void UpdateSelf();
  void Publish();
  routing::RetryOptions RetryOptionsPerNode() const;

  Services mServices;
  const settings::FleetSettings& mSettings;
  MemberAgent mMemberAgent;
  ConfigFollower mConfig;
  RolloutAgent mRolloutAgent;
  backends::ServerLedger mBackendServer;
  routing::RouteTablePtr mRoutes; ///< of the configuration in force
  std::uint64_t mPublishedMemberChanges = 0;
  bool mIsViewOutdated = true;
  bool mLeaving = false;
};

} // namespace knapweedpaddle::node
