#pragma once

#include "FakeClock.h"
#include "FakePlatform.h"
#include "knapweedpaddle/node/ControlCore.h"

#include <deque>
#include <map>
#include <set>

namespace knapweedpaddle::fakes {

/**
 * Simulates the control cores of several nodes with their network and platform
 * on one fake clock. Links between zones and between a zone and the platform
 * can be cut; nodes can be killed, paused and restarted.
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
    /** Timers and messages held back during a pause. */
    std::deque<FakeClock::Task> deferredTasks;
    std::optional<backends::BackendServer> backend;
    routing::RoutingViewPtr view;
    /** Highest configuration version served, over all restarts. */
    std::uint64_t servedVersion = 0;
    Timestamp servedSince; ///< When servedVersion was first served.
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t sentDatagrams = 0;
  };

  explicit FakeMesh(std::uint64_t aSeed);
  ~FakeMesh();

  /** Adds a node that is not started yet. */
  NodeState& Add(const std::string& aZone, const std::string& aService = "svc");

  /** Starts a node without any state, as a new VM at the same address does. */
  void Start(NodeState& aNode);
  void StartAll();
  void Kill(NodeState& aNode);
  void Pause(NodeState& aNode);
  void Resume(NodeState& aNode);

  /** Drops datagrams and streams from one zone to another; the other direction
   * still works. */
  void Cut(const std::string& aFrom, const std::string& aTo);

  /** Restores all links between zones. */
  void Heal();

  /** Drops the requests of a zone to the platform. */
  void CutPlatform(const std::string& aZone);

  /** Restores the links of all zones to the platform. */
  void HealPlatform();

  /** Sets the fault that the requests of all nodes to the platform meet. */
  void SetPlatformFault(PlatformFault aFault) { mPlatformFault = aFault; }

  /** Sets the share of datagrams that are lost. */
  void SetLoss(double aShare) { mLoss = aShare; }

  /** Asks a node to accept a change; its result appears in acceptResults. */
  void Accept(NodeState& aNode,
              const std::string& aOperation,
              std::vector<config::Entry> aEntries);

  /** True when every live node serves at least a configuration version. */
  bool AllServe(std::uint64_t aVersion) const;

  /** Returns how many live nodes serve calls. */
  std::size_t ServingCount() const;

  /** Returns the bytes that all nodes have sent since they were added. */
  double SentBytes() const;

  /** Returns the datagrams that all nodes have sent since they were added. */
  double SentDatagrams() const;

  FakeClock clock;
  SharedPlatform shared;
  std::deque<NodeState> members;
  std::vector<std::string> violations; ///< Failed checks, as "P1: TEXT".

  /** Results of Accept() by operation id. */
  std::map<std::string, operators::AcceptResult> acceptResults;

private:
  friend class MeshPeerClient;

  std::vector<std::string> SeedsFor(const NodeState& aNode) const;
  NodeState* Find(nodes::NodeId aId);
  NodeState* FindByLinkAddress(const std::string& aAddress);
  bool Reaches(const std::string& aFrom, const std::string& aTo) const;
  Milliseconds Latency(const NodeState& aFrom, const NodeState& aTo);

  /** Runs a task on a node after a delay, unless the node was killed or
   * restarted by then. */
  void Deliver(NodeState& aNode, Milliseconds aDelay, FakeClock::Task aTask);
  void Send(NodeState& aFrom, const nodes::Datagram& aDatagram);

  /**
   * Stores a node's new view. Checks that its version is not older than before
   * (P1), its entries are valid (P2) and its digest is that of the stored
   * change (P3).
   */
  void OnView(NodeState& aNode, routing::RoutingViewPtr aView);

  /** Announces a node's backend server to it, again every second. */
  void Announce(NodeState& aNode);

  std::mt19937_64 mRandom;
  std::set<std::pair<std::string, std::string>> mCuts;
  std::set<std::string> mPlatformCuts;
  PlatformFault mPlatformFault = PlatformFault::kNone;
  double mLoss = 0;

  /** Nodes that were restarted; queued tasks may still refer to them. */
  std::vector<NodeState> mEndedNodes;
};

/** Returns entries for service "svc" in a version and for its only route. */
std::vector<config::Entry>
BasicEntries(const std::string& aVersion);

} // namespace knapweedpaddle::fakes
