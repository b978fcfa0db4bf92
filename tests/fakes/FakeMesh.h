#pragma once

#include "FakeClock.h"
#include "FakePlatform.h"
#include "knapweedpaddle/node/ControlCore.h"

#include <deque>
#include <map>
#include <set>

namespace knapweedpaddle::fakes {

/**
 * Several nodes' control decisions joined by fakes of the network and the
 * platform, on one fake clock. Links can be cut between zones and between a
 * zone and the platform; nodes can be killed, paused and restarted.
 */
class FakeMesh
{
public:
  struct NodeState
  {
    nodes::NodeId id = nodes::kNoNode;
    std::string zone;
    std::uint64_t incarnation = 0;
    bool alive = false;
    bool paused = false;
    std::unique_ptr<runtime::Scheduler> scheduler;
    std::unique_ptr<FakePlatform> platform;
    std::unique_ptr<nodes::PeerClient> peers;
    std::unique_ptr<node::ControlCore> core;
    std::deque<FakeClock::Task> deferredTasks; ///< what arrived during a pause
    std::optional<backends::BackendServer> backend;
    routing::RoutingViewPtr view;
    std::uint64_t servedVersion = 0; ///< highest ever, over all lives
    Timestamp servedSince;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t sentDatagrams = 0;
  };

  explicit FakeMesh(std::uint64_t aSeed);
  ~FakeMesh();

  /** Adds a node that is not started yet. */
  NodeState& Add(const std::string& aZone, const std::string& aService = "svc");

  /** Starts a node with nothing, as a new VM at the same address. */
  void Start(NodeState& aNode);
  void StartAll();
  void Kill(NodeState& aNode);
  void Pause(NodeState& aNode);
  void Resume(NodeState& aNode);

  /** Cuts datagrams and streams from one zone to another, one way. */
  void Cut(const std::string& aFrom, const std::string& aTo);
  void Heal();
  void CutPlatform(const std::string& aZone);
  void HealPlatform();

  /** Sets what the platform does to the requests of all nodes. */
  void SetPlatformFault(PlatformFault aFault) { mPlatformFault = aFault; }

  /** Share of datagrams that are lost. */
  void SetLoss(double aShare) { mLoss = aShare; }

  /** Asks a node to accept a change; the result comes by the callback. */
  void Accept(NodeState& aNode,
              const std::string& aOperation,
              std::vector<config::Entry> aEntries);

  /** True when every live node serves at least a version. */
  bool AllServe(std::uint64_t aVersion) const;

  std::size_t ServingCount() const;

  /** Bytes that all nodes sent since they were added. */
  double SentBytes() const;

  /** Datagrams that all nodes sent since they were added. */
  double SentDatagrams() const;

  FakeClock clock;
  SharedPlatform shared;
  std::deque<NodeState> members;
  std::vector<std::string> violations;
  std::map<std::string, operators::AcceptResult>
    acceptResults; ///< by operation

private:
  friend class MeshPeerClient;

  std::vector<std::string> SeedsFor(const NodeState& aNode) const;
  NodeState* Find(nodes::NodeId aId);
  NodeState* FindByLinkAddress(const std::string& aAddress);
  bool Reaches(const std::string& aFrom, const std::string& aTo) const;
  Milliseconds Latency(const NodeState& aFrom, const NodeState& aTo);

  /** Runs a task on a node after a delay, unless that life of it has ended. */
  void Deliver(NodeState& aNode, Milliseconds aDelay, FakeClock::Task aTask);
  void Send(NodeState& aFrom, const nodes::Datagram& aDatagram);
  void OnView(NodeState& aNode, routing::RoutingViewPtr aView);
  void Announce(NodeState& aNode);

  std::mt19937_64 mRandom;
  std::set<std::pair<std::string, std::string>> mCuts;
  std::set<std::string> mPlatformCuts;
  PlatformFault mPlatformFault = PlatformFault::kNone;
  double mLoss = 0;
  std::vector<NodeState>
    mEndedNodes; ///< earlier lives, which queued tasks may still name
};

/** Returns entries for a service with one route, in a version given. */
std::vector<config::Entry>
BasicEntries(const std::string& aVersion);

} // namespace knapweedpaddle::fakes
