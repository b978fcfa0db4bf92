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
 * Finds the other members: by rows in the platform's table, by seed addresses
 * and by those already known; and drives the failure detector.
 *
 * Thread safety: control thread only.
 */
class MemberAgent
{
public:
  struct Services
  {
    runtime::Scheduler& scheduler;
    store::StoreClient& platform;
    nodes::PeerClient& peers;
    std::function<void(const nodes::Datagram&)> send;
    std::function<nodes::JoinAnswer(const nodes::JoinAnswer&)> completeAnswer;
    std::function<void(const nodes::JoinAnswer&)> onJoinAnswer;
    std::function<void()> onPeersAsked;
    std::function<bool()> isServing;
  };

  MemberAgent(Services aServices,
              nodes::MemberRecord aSelf,
              std::vector<std::string> aSeeds,
              std::uint64_t aSeed);

  nodes::Membership& Members() { return mMembers; }
  const nodes::Membership& Members() const { return mMembers; }

  /** Looks for peers and joins some of them; repeats until this node serves. */
  void Bootstrap();

  /** Advances the failure detector; call every 100 ms. */
  void Tick();

  /** Handles a datagram's membership part. */
  void Receive(const nodes::GossipMessage& aMessage);

  /** Answers a peer that joins. */
  nodes::JoinAnswer OnJoin(const nodes::MemberUpdate& aPeer);

  void Send(const std::vector<nodes::Datagram>& aDatagrams);

  /** Removes this node's row, as its last act. */
  void RemoveRow();

  /** Returns the link address of a member, or "" for one not known. */
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
  std::vector<std::string> mSeeds;
  std::mt19937_64 mRandom;
  nodes::Membership mMembers;
  Backoff mBackoff;
  Timestamp mNextSync;
  nodes::NodeId mSyncPeer = nodes::kNoNode; ///< whom to ask for its whole table
  std::uint32_t mPendingJoins = 0;
  std::uint32_t mSettleRoundsLeft = 0; ///< of asking peers once settled
  bool mAnyPeerAnswered = false;
  bool mRowWritten = false;
  bool mRetryPending = false;
};

/** Returns the "IP:port" that a member listens on for streams. */
std::string
LinkAddress(const nodes::MemberRecord& aRecord);

} // namespace knapweedpaddle::node
