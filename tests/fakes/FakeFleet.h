#pragma once

#include "FakeClock.h"
#include "FakePlatform.h"
#include "RowOrderStore.h"
#include "knapweedpaddle/callers/TeamAllowances.h"
#include "knapweedpaddle/node/FleetCore.h"

#include <deque>

namespace knapweedpaddle::fakes {

/**
 * Simulates a fleet of nodes with their network and store on one fake clock.
 * Operators write configurations and rollouts into the store. Single nodes can
 * lose the connection to their peers or to the store.
 */
class FakeFleet
{
public:
  struct NodeState
  {
    nodes::NodeId id = nodes::kNoNode;
    settings::FleetSettings settings;
    std::string version = "v1"; ///< Version of the backend server on this node.
    std::uint64_t incarnation = 0; ///< 0 while the node does not run.
    bool cutFromPeers = false;
    int partition = 0; ///< Only nodes of the same partition reach each other.
    PlatformFault storeFault = PlatformFault::kNone;
    std::uint64_t reportCount = 0; ///< Reports that the backend server sent.
    std::unique_ptr<runtime::Scheduler> scheduler;
    std::unique_ptr<FakePlatform> store;
    std::unique_ptr<platform::RowOrderStore> orders;
    std::unique_ptr<nodes::PeerClient> peers;
    std::unique_ptr<node::FleetCore> core;
    routing::RoutingViewPtr view;
    std::uint64_t configVersion = 0; ///< Version of the view, 0 after a start.
    /** Boot time at which that version was confirmed to be the newest. */
    std::optional<Microseconds> confirmedAt;
    backends::EvidenceTable evidence;
    std::unique_ptr<callers::TeamAllowances> allowances;
  };

  explicit FakeFleet(std::uint64_t aSeed);
  ~FakeFleet();

  NodeState& Add(const std::string& aZone,
                 const std::string& aService,
                 const std::string& aVersion = "v1");

  /** Starts a node as a new process, also in place of a running one. */
  void Start(NodeState& aNode);
  void StartAll();
  void Kill(NodeState& aNode);

  /** Writes a configuration into the store, as an operator does. */
  void WriteConfig(std::uint64_t aVersion);

  /** Writes the order for a rollout of service "svc" into the store. */
  void OrderRollout(const std::string& aToVersion, Milliseconds aDuration);

  /** Writes rows that do not concern the nodes, which raises the revision. */
  void WriteOtherRows(int aCount);

  /** Takes the store away from all nodes for a second and brings it back from a
   * copy, to which operators have written aRewrite by then. */
  void RestoreStore(const standins::InMemoryStore& aCopy,
                    const std::function<void()>& aRewrite);

  /** Silences the connections to the store that all nodes have open. */
  void SilenceStoreConnections();

  /** Returns the state in the rollout's status row, or "" without a row. */
  std::string RolloutState() const;

  /** True when every running node serves at least a configuration version. */
  bool AllServe(std::uint64_t aVersion) const;

  /** True when the configuration of every running node was confirmed within a
   * time. */
  bool AllConfirmed(Milliseconds aMaxAge) const;

  FakeClock clock;
  SharedPlatform shared;
  std::deque<NodeState> nodes;
  /** Teams of the configurations that are written from now on. */
  std::map<std::string, node::TeamAllowance> teams;
  double loss = 0;              ///< Share of datagrams that are lost.
  bool configRegressed = false; ///< A node went back to an older configuration.
  /** A node's configuration was confirmed as of a time at which the store held
   * a newer one. */
  bool outdatedConfirmed = false;
  double failShare = 0; ///< Share of the calls to version "v2" that fail.
  std::uint64_t callsToNewVersion = 0; ///< Calls to version "v2".
  std::uint64_t totalCalls = 0;        ///< Calls to both versions.

private:
  friend class FleetPeerClient;

  NodeState* FindByLinkAddress(const std::string& aLinkAddress);

  /** Runs a task on a node after a delay, unless the node has ended by then. */
  void Deliver(NodeState& aNode, Milliseconds aDelay, FakeClock::Task aTask);
  void Send(NodeState& aFrom, const nodes::Datagram& aDatagram);
  static bool CanReach(const NodeState& aFrom, const NodeState& aTo)
  {
    return !aFrom.cutFromPeers && !aTo.cutFromPeers &&
           aFrom.partition == aTo.partition;
  }

  void OnConfirmed(NodeState& aNode, Microseconds aAsOf);

  /** Sends the backend server's report to its node, again at each interval. */
  void Report(NodeState& aNode);

  /** Makes the calls of one interval and schedules the next ones. */
  void MakeCalls();

  std::mt19937_64 mRandom;
  /** Boot time and version of each WriteConfig(). */
  std::vector<std::pair<Microseconds, std::uint64_t>> mConfigWrites;

  /** Nodes that were restarted; queued tasks may still refer to them. */
  std::vector<NodeState> mEndedNodes;
};

} // namespace knapweedpaddle::fakes
