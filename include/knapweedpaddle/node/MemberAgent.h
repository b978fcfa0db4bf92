#pragma once

#include "knapweedpaddle/common/Backoff.h"
#include "knapweedpaddle/nodes/Membership.h"
#include "knapweedpaddle/nodes/PeerClient.h"
#include "knapweedpaddle/runtime/Scheduler.h"
#include "knapweedpaddle/store/StoreClient.h"

#include <functional>
#include <string>
#include <vector>

namespace knapweedpaddle::node {

/**
 * Discovers the other members and runs the failure detector. Peer addresses
 * come from the platform's member table, from the configured seeds and from
 * members already known.
 *
 * Thread safety: control thread only.
 */
class MemberAgent
{
public:
  struct Services
  {
    runtime::Scheduler& scheduler;
    store::StoreClient& platform; ///< holds the member table
    nodes::PeerClient& peers;
    /** Sends a gossip datagram. */
    std::function<void(const nodes::Datagram&)> send;
    /** Adds the configuration version and move progress to a join answer. */
    std::function<nodes::JoinAnswer(const nodes::JoinAnswer&)> completeAnswer;
    /** Receives each peer's answer to this node's join request. */
    std::function<void(const nodes::JoinAnswer&)> onJoinAnswer;
    /** Runs when every peer of a join round has answered or timed out. */
    std::function<void()> onPeersAsked;
    /** Returns whether this node may serve; peers are sought until it does. */
    std::function<bool()> isServing;
  };

  MemberAgent(Services aServices,
              nodes::MemberRecord aSelf,
              std::vector<std::string> aSeeds,
              std::uint64_t aRandomSeed);

  nodes::Membership& Members() { return mMembers; }
  /** Returns true once a peer has told this node the members of the fleet, or
   * the store has listed no other node. */
  bool KnowsFleet() const { return mKnowsFleet; }

  const nodes::Membership& Members() const { return mMembers; }

  /**
   * Writes this node's row to the member table and joins random peers, with
   * growing delays, until the row is written, a peer has answered and this
   * node serves.
   */
  void Bootstrap();

  /** Advances the failure detector and table syncs; call every 100 ms. */
  void Tick();

  /** Passes a received gossip message to the failure detector. */
  void Receive(const nodes::GossipMessage& aMessage);

  /** Adds a joining peer to the members and returns the answer to it. */
  nodes::JoinAnswer OnJoin(const nodes::MemberUpdate& aPeer);

  /** Sends gossip datagrams. */
  void Send(const std::vector<nodes::Datagram>& aDatagrams);

  /** Reports to all members which requests may have crashed this node's backend
   * server. */
  void ReportSuspects(std::vector<CrashSuspect> aSuspects);

  /** Deletes this node's row from the member table, when the node leaves. */
  void RemoveRow();

  /** Writes the rows of this zone's members again, after the store was restored
   * from a copy that may lack them. */
  void RewriteZoneRows();

  /** Returns the link address of a member, or "" if it is not known. */
  std::string LinkAddressOf(nodes::NodeId aNode) const;

private:
  using Rows = std::optional<std::vector<store::Row>>;

  void ReadRows();
  void OnRows(const Rows& aRows, const store::StoreReason& aReason);
  void SyncMembers();
  void WriteRow();
  void FindPeers();
  std::vector<std::string> AliveAddresses(
    const std::function<bool(const nodes::MemberRecord&)>& aWanted) const;
  void JoinRandomPeers(std::vector<std::string> aAddresses);
  void OnJoinRoundDone();

  Services mServices;
  std::vector<std::string> mSeeds; ///< configured link addresses of peers
  std::mt19937_64 mRandom;
  nodes::Membership mMembers;
  Backoff mBackoff;
  Timestamp mNextSync;
  /** Member to request the table from in the next sync; kNoNode: none. */
  nodes::NodeId mSyncPeer = nodes::kNoNode;
  std::uint32_t mPendingJoins = 0;     ///< join requests without an answer yet
  std::uint32_t mSettleRoundsLeft = 0; ///< join rounds left once serving
  bool mAnyPeerAnswered = false; ///< true if a peer answered in this round
  bool mKnowsFleet = false;
  bool mRowWritten = false;
  bool mRetryPending = false;
  bool mRewritePending = false; ///< RewriteZoneRows() is to be repeated
};

/** Returns the "IP:port" on which a member accepts link connections. */
std::string
LinkAddress(const nodes::MemberRecord& aRecord);

} // namespace knapweedpaddle::node
