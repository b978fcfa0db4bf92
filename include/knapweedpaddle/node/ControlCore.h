#pragma once

#include "knapweedpaddle/backends/Announcement.h"
#include "knapweedpaddle/common/PauseDetector.h"
#include "knapweedpaddle/node/ConfigAgent.h"
#include "knapweedpaddle/node/MemberAgent.h"
#include "knapweedpaddle/node/MoveAgent.h"
#include "knapweedpaddle/operators/Acceptor.h"

namespace knapweedpaddle::node {

/**
 * All decisions of the control thread, without I/O: it runs on a scheduler, a
 * platform client, a peer client and a way to send datagrams, real or
 * simulated.
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
    std::function<void(const nodes::Datagram&)> send;
    std::function<void(routing::RoutingViewPtr)> publish;
    std::function<void(std::optional<backends::BackendServer>)> setBackend;
    /** Hears of changes of state, for logs and counters. */
    std::function<void(const std::string& aEvent, const std::string& aDetail)>
      logEvent;
  };

  ControlCore(Services aServices,
              nodes::MemberRecord aSelf,
              std::vector<std::string> aSeeds,
              std::uint64_t aSeed);

  /** Starts the timers and looks for the platform and peers. */
  void Start();

  /** Handles a datagram of another node. */
  void Receive(const nodes::GossipMessage& aMessage);

  /** Answers a peer's join. */
  nodes::JoinAnswer OnJoin(const nodes::MemberUpdate& aPeer)
  {
    return mMembers.OnJoin(aPeer);
  }

  /** Answers a peer's pull. */
  nodes::PullAnswer OnPull(std::uint64_t aFrom) const
  {
    return mConfig.MakePullAnswer(aFrom);
  }

  /** Takes an owner's report over. */
  void OnReport(const moves::EvidenceReport& aReport)
  {
    mMoves.OnReport(aReport);
  }

  /** Takes over the counts of the own backend server's calls. */
  void TakeEvidence(const backends::EvidenceTable& aEvidence);

  /** Takes over what the backend server on this VM said of itself. */
  void Announce(const backends::Announcement& aAnnouncement);

  /** Closes the gate after a pause of the process. */
  void OnPause();

  /** Tells everybody that this node takes no new work any more. */
  void Leave();

  bool IsServing() const { return mConfig.IsServing() && !mLeaving; }

  operators::Acceptor& Acceptor() { return mAcceptor; }
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
  operators::Acceptor mAcceptor;
  MoveAgent mMoves;
  std::optional<backends::Announcement> mBackend;
  Timestamp mLastAnnouncement;
  std::uint64_t mPublishedMembers = 0;
  bool mViewDirty = true;
  bool mLeaving = false;
};

} // namespace knapweedpaddle::node
