#pragma once

#include "knapweedpaddle/common/Time.h"
#include "knapweedpaddle/nodes/GossipMessage.h"

#include <map>
#include <random>
#include <unordered_map>

namespace knapweedpaddle::nodes {

/** Timing of the failure detector. */
struct MembershipOptions
{
  Milliseconds probePeriod{ 1000 };
  Milliseconds directProbeTimeout{
    300
  }; ///< before other members are asked to ping
  std::uint32_t indirectProbes = 3;
  std::uint32_t suspicionPeriods =
    3; ///< probe periods per decimal digit of the size
  std::uint32_t retransmitFactor = 4; ///< sends of one update per decimal digit
  std::size_t maxUpdatesPerMessage = 12; ///< member updates in one datagram
  std::uint32_t deadProbePeriods =
    5; ///< probe periods between pings of a dead member
  Milliseconds deadRetention{ 3 * 3600 *
                              1000 }; ///< a region's outage lasts an hour or so
  std::size_t maxRememberedVersions =
    4096;                       ///< addresses whose version is remembered
  std::uint32_t hintFanout = 4; ///< members told of a new version at once
  std::uint32_t mismatchesBeforeSync =
    4; ///< messages in a row from nodes with other tables
};

/** A member as this node sees it. */
struct Member
{
  MemberRecord record;
  Liveness liveness = Liveness::kAlive;
  Timestamp livenessSince; ///< when the liveness last changed
};

/**
 * SWIM failure detection and dissemination of member records: a state machine
 * without I/O. The owner sends the datagrams that it returns.
 *
 * Each record is written by its own node alone, so merging is to keep the
 * newer (incarnation, sequence); a node that others suspect raises its
 * sequence to refute them.
 *
 * Thread safety: control thread only. Times passed in must not fall.
 */
class Membership
{
public:
  Membership(MembershipOptions aOptions,
             MemberRecord aSelf,
             std::uint64_t aSeed);

  const MemberRecord& Self() const { return mSelf; }

  /** Changes what this node says about itself and spreads it. */
  void UpdateSelf(MemberRecord aRecord);

  /** Sets the version that outgoing messages carry. */
  void SetConfigVersion(std::uint64_t aVersion) { mConfigVersion = aVersion; }

  /** Advances timers; call at least every directProbeTimeout. */
  std::vector<Datagram> Tick(Timestamp aNow);

  /** Handles a message; returns what to send because of it. */
  std::vector<Datagram> Receive(const GossipMessage& aMessage, Timestamp aNow);

  /**
   * Merges what a join answer says. It is not passed on: the joining node's
   * own record spreads by itself, and tables that differ are noticed.
   */
  void MergeUpdates(const std::vector<MemberUpdate>& aUpdates, Timestamp aNow);

  /** Merges one update and passes it on when it is news. */
  void MergeAndDisseminate(const MemberUpdate& aUpdate, Timestamp aNow);

  /** Returns messages that tell some random members of this node's version. */
  std::vector<Datagram> VersionHints();

  /** Returns messages that tell all live members of the own zone, and some of
   * other zones, of this node's version. */
  std::vector<Datagram> ZoneVersionHints();

  /** Returns messages that carry move progress to random members of any zone.
   */
  std::vector<Datagram> ProgressMessages(
    const std::vector<MoveProgress>& aMoves);

  /** Everything known, dead members included; this node is not in it. */
  const std::map<NodeId, Member>& Members() const { return mMembers; }

  /** Returns all that is known, this node included, for a join answer. */
  std::vector<MemberUpdate> FullTable() const;

  /** Returns the highest version heard from an address, 0 for none. */
  std::uint64_t RememberedVersion(NodeId aNode) const;

  /** Counts changes of the member table; equal values mean an equal table. */
  std::uint64_t ChangeCount() const { return mChangeCount; }

  /**
   * Returns once a member to ask for its whole table: after a member came back
   * from the dead, or when others' tables keep differing with nothing left to
   * spread.
   */
  std::optional<NodeId> TakeSyncPeer();

private:
  struct Probe
  {
    NodeId target = kNoNode;
    std::uint32_t sequence = 0;
    Timestamp directDeadline;
    Timestamp finalDeadline;
    bool indirectSent = false;
  };

  struct Relay
  {
    NodeId origin = kNoNode;
    std::uint32_t originSequence = 0;
    NodeId target = kNoNode;
    Timestamp deadline;
  };

  GossipMessage MakeMessage(GossipKind aKind, std::uint32_t aSequence);
  void AttachUpdates(GossipMessage& aMessage);
  /** Tells a member that it is suspected or dead here, so that it refutes. */
  void AttachSuspicion(Datagram& aDatagram) const;
  void QueueUpdate(const MemberUpdate& aUpdate);
  void Refute(const MemberRecord& aSeen);
  void ChangeLiveness(Member& aMember, Liveness aLiveness, Timestamp aNow);
  void ClearSuspicion(NodeId aNode, Timestamp aNow);
  void RememberVersion(NodeId aNode, std::uint64_t aVersion);
  void CompareTables(NodeId aSender, std::uint64_t aHash);
  void AgePendingUpdates();
  std::uint32_t RetransmitLimit() const;
  std::uint64_t TableHash();
  void StartProbe(Timestamp aNow, std::vector<Datagram>& aOut);
  void SendIndirectProbes(std::vector<Datagram>& aOut);
  void PingDeadMember(std::vector<Datagram>& aOut);
  void ExpireSuspects(Timestamp aNow);
  void RemoveExpiredDead(Timestamp aNow);
  std::optional<NodeId> NextProbeTarget();
  std::vector<NodeId> RandomMembers(std::size_t aCount, NodeId aExcept);
  std::uint32_t MemberCountDigits() const;

  MembershipOptions mOptions;
  MemberRecord mSelf;
  std::mt19937_64 mRandom;
  std::uint64_t mConfigVersion = 0;
  std::map<NodeId, Member> mMembers;
  std::unordered_map<std::uint64_t, std::uint64_t> mRememberedVersions;
  std::vector<NodeId> mProbeOrder;
  std::optional<Probe> mProbe;
  std::map<std::uint32_t, Relay> mRelays;
  std::map<NodeId, std::uint32_t>
    mPendingUpdates; ///< sends already made of each update
  Timestamp mNextPeriod{};
  std::uint32_t mSequence = 0;
  std::uint32_t mPeriodCount = 0;
  std::uint64_t mChangeCount = 0;
  std::uint64_t mTableHash = 0; ///< of the table as of mTableHashChangeCount
  std::uint64_t mTableHashChangeCount = ~0ULL;
  std::uint32_t mConsecutiveMismatches = 0;
  std::optional<NodeId> mSyncPeer;
};

} // namespace knapweedpaddle::nodes
