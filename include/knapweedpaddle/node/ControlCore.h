#pragma once

#include "knapweedpaddle/backends/Announcement.h"
#include "knapweedpaddle/common/PauseDetector.h"
#include "knapweedpaddle/node/ConfigAgent.h"
#include "knapweedpaddle/node/ConfigFreshness.h"
#include "knapweedpaddle/node/MemberAgent.h"
#include "knapweedpaddle/node/MoveAgent.h"
#include "knapweedpaddle/operators/ChangeAcceptor.h"

namespace knapweedpaddle::node {

/**
 * All decisions of the control thread, without I/O. The scheduler, the platform
 * client, the peer client and the datagram sender are passed in, so tests can
 * simulate them.
 *
 * Thread safety: control thread only.
 */
class ControlCore
{
public:
  struct Services
  {
    runtime::Scheduler& scheduler;
    store::StoreClient& platform;
    nodes::PeerClient& peers;
    /** Sends a gossip datagram. */
    std::function<void(const nodes::Datagram&)> send;
    /** Passes a new routing view to the traffic thread. */
    std::function<void(routing::RoutingViewPtr)> publish;
    /** Passes the boot time at which the configuration of the last published
     * view was the newest one. */
    std::function<void(Microseconds)> confirm;
    /** Sets the backend server that calls are sent to, or none. */
    std::function<void(std::optional<backends::BackendServer>)> setBackend;
    /** Logs a change of the node's state. */
    std::function<void(const std::string& aEvent, const std::string& aDetail)>
      logEvent;
  };

  ControlCore(Services aServices,
              nodes::MemberRecord aSelf,
              std::vector<std::string> aSeeds,
              std::uint64_t aRandomSeed);

  /** Starts the timers and contacts the platform and peers. */
  void Start();

  /** Handles a gossip message from another node. */
  void Receive(const nodes::GossipMessage& aMessage);

  /** Answers a peer's join request. */
  nodes::JoinAnswer OnJoin(const nodes::MemberUpdate& aPeer)
  {
    return mMembers.OnJoin(aPeer);
  }

  /** Answers a peer's request for the configuration after a version. */
  nodes::PullAnswer OnPull(std::uint64_t aFrom) const
  {
    return mConfig.MakePullAnswer(aFrom);
  }

  /** Handles a peer's evidence report about the calls of its backend server. */
  void OnReport(const moves::EvidenceReport& aReport)
  {
    mMoves.OnReport(aReport);
  }

  /** Updates the call counts of this node's backend server. */
  void TakeEvidence(const backends::EvidenceTable& aEvidence);

  /** Reports to the other nodes which requests may have crashed this node's
   * backend server. */
  void TakeSuspects(std::vector<CrashSuspect> aSuspects)
  {
    mMembers.ReportSuspects(std::move(aSuspects));
  }

  /** Handles an announcement of the backend server on this VM. */
  void Announce(const backends::Announcement& aAnnouncement);

  /** Stops serving after a pause of the process, until the node is up to date
   * again. */
  void OnPause();

  /** Notifies peers that this node leaves and deletes its row. */
  void Leave();

  bool IsServing() const { return mConfig.IsServing() && !mLeaving; }

  operators::ChangeAcceptor& ChangeAcceptor() { return mAcceptor; }
  ConfigAgent& Config() { return mConfig; }
  nodes::Membership& Members() { return mMembers.Members(); }
  MoveAgent& Moves() { return mMoves; }

private:
  void OnTick();
  void OnSecond();
  void OnApplied();
  void OnJoinAnswer(const nodes::JoinAnswer& aAnswer);
  void UpdateSelf();
  void Publish();
  void ExpireAnnouncement();

  Services mServices;
  PauseDetector mPauseDetector;
  MemberAgent mMembers;
  ConfigAgent mConfig;
  ConfigFreshness mFreshness;
  operators::ChangeAcceptor mAcceptor;
  MoveAgent mMoves;
  /** Last announcement of this node's backend server, until it expires. */
  std::optional<backends::Announcement> mBackend;
  Timestamp mLastAnnouncement;
  /** Membership::ChangeCount() when the view was last published. */
  std::uint64_t mPublishedMembers = 0;
  bool mViewDirty = true;
  bool mLeaving = false;
};

} // namespace knapweedpaddle::node
