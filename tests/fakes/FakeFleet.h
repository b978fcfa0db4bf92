#pragma once

#include "FakeClock.h"
#include "FakePlatform.h"
#include "OperatorRows.h"
#include "knapweedpaddle/node/FleetCore.h"

#include <deque>

namespace knapweedpaddle::fakes {

/**
 * Nodes whose operators write into the store, joined by a fake network on one
 * fake clock. Single nodes can be cut from their peers and from the store.
 */
class FakeFleet
{
public:
  struct NodeState
  {
    nodes::NodeId id = nodes::kNoNode;
    settings::FleetSettings settings;
    std::string version = "v1"; ///< of its backend server
    std::uint64_t life = 0;     ///< 0 while it does not run
    bool cutFromPeers = false;
    PlatformFault storeFault = PlatformFault::kNone;
    std::uint64_t reports = 0;
    std::unique_ptr<runtime::Scheduler> scheduler;
    std::unique_ptr<FakePlatform> store;
    std::unique_ptr<platform::OperatorRows> orders;
    std::unique_ptr<nodes::PeerClient> peers;
    std::unique_ptr<node::FleetCore> core;
    routing::RoutingViewPtr view;
    std::uint64_t configVersion = 0; ///< of the view, in this life
    backends::EvidenceTable evidence;
  };

  explicit FakeFleet(std::uint64_t aSeed);
  ~FakeFleet();

  NodeState& Add(const std::string& aZone,
                 const std::string& aService,
                 const std::string& aVersion = "v1");
  void Start(NodeState& aNode);
  void StartAll();
  void Kill(NodeState& aNode);

  /** Writes a configuration, as operators do. */
  void WriteConfig(std::uint64_t aVersion);

  /** Orders a rollout of service "svc". */
  void OrderRollout(const std::string& aToVersion, Milliseconds aDuration);

  /** Returns the rollout state that operators read, or "". */
  std::string RolloutState() const;

  /** True when every running node routes by at least a version. */
  bool AllHold(std::uint64_t aVersion) const;

  FakeClock clock;
  SharedPlatform shared;
  std::deque<NodeState> nodes;
  double loss = 0;                ///< share of datagrams lost
  bool fellBack = false;          ///< a node routed by an older version again
  double badShare = 0;            ///< of the calls that version "v2" fails
  std::uint64_t toNewVersion = 0; ///< calls that version "v2" got
  std::uint64_t allCalls = 0;

private:
  friend class FleetPeers;

  NodeState* Find(const std::string& aLinkAddress);
  void Deliver(NodeState& aNode, Milliseconds aDelay, FakeClock::Task aTask);
  void Send(NodeState& aFrom, const nodes::Datagram& aDatagram);
  void Report(NodeState& aNode);
  void MakeCalls();

  std::mt19937_64 mRandom;
  std::vector<NodeState> mEnded; ///< which queued tasks may still name
};

} // namespace knapweedpaddle::fakes
