#pragma once

#include "knapweedpaddle/common/Time.h"
#include "knapweedpaddle/nodes/GossipMessage.h"

#include <map>
#include <random>
#include <unordered_map>
#include <utility>

namespace knapweedpaddle::nodes {

/** Timing and limits of the failure detector and of gossip. */
struct MembershipOptions
{
  /** Interval between the probes that this node starts. */
  Milliseconds probePeriod{ 1000 };
  /** Time to wait for a direct ack before indirect probes are sent. */
  Milliseconds directProbeTimeout{ 300 };
  /** Number of members that are asked to ping an unresponsive member. */
  std::uint32_t indirectProbes = 3;
  /** Probe periods after which a suspect is declared dead, for each decimal
   * digit of the member count. */
  std::uint32_t suspicionPeriods = 3;
  /** An update is sent retransmitFactor * (D + 1) times, where D is the number
   * of decimal digits of the member count. */
  std::uint32_t retransmitFactor = 4;
  std::size_t maxUpdatesPerMessage = 12;
  /** Probe periods between two pings to dead members. */
  std::uint32_t deadProbePeriods = 5;
  /** Time that dead members stay in the table. An outage of a region lasts
   * about an hour, and its members must be found again afterwards. */
  Milliseconds deadRetention{ 3 * 3600 * 1000 };
  /** Number of remembered configuration versions above which those of
   * addresses outside the member table are dropped. */
  std::size_t maxRememberedVersions = 4096;
  /** Number of random members that receive a version hint or move progress. */
  std::uint32_t hintFanout = 4;
  /** Consecutive messages with a different table hash after which the whole
   * table is requested. */
  std::uint32_t mismatchesBeforeSync = 4;
};

/** A member as this node sees it. */
struct Member
{
  MemberRecord record;
  Liveness liveness = Liveness::kAlive;
  Timestamp livenessSince; ///< time of the last liveness change
};

/**
 * SWIM failure detection and dissemination of member records: a state machine
 * without I/O. The caller sends the datagrams that the methods return.
 *
 * Only the node itself writes its record, so merging keeps the record with the
 * higher (incarnation, sequence). A node that others suspect increments its
 * sequence to refute the suspicion.
 *
 * Thread safety: control thread only. The times passed in must not decrease.
 */
class Membership
{
public:
  Membership(MembershipOptions aOptions,
             MemberRecord aSelf,
             std::uint64_t aSeed);

  const MemberRecord& Self() const { return mSelf; }

  /** Replaces this node's own record and, if it changed, disseminates it. The
   * record's node, incarnation and sequence are ignored. */
  void UpdateSelf(MemberRecord aRecord);

  /** Sets the configuration version that outgoing messages carry. */
  void SetConfigVersion(std::uint64_t aVersion) { mConfigVersion = aVersion; }

  /** Runs due probes and timeouts and returns the messages to send. Call at
   * least every MembershipOptions::directProbeTimeout. */
  std::vector<Datagram> Tick(Timestamp aNow);

  /** Handles a received message and returns the messages to send as a result.
   */
  std::vector<Datagram> Receive(const GossipMessage& aMessage, Timestamp aNow);

  /**
   * Merges the members of a join answer without disseminating them: the
   * joining node's own record is disseminated anyway, and the table hashes in
   * gossip reveal members that others lack.
   */
  void MergeUpdates(const std::vector<MemberUpdate>& aUpdates, Timestamp aNow);

  /** Merges one update and, if it changes the table, disseminates it. */
  void MergeAndDisseminate(const MemberUpdate& aUpdate, Timestamp aNow);

  /** Returns messages that announce this node's configuration version to
   * random members of any zone. */
  std::vector<Datagram> VersionHints();

  /** Returns messages that announce this node's configuration version to all
   * live members of its own zone and to random members of any zone. */
  std::vector<Datagram> ZoneVersionHints();

  /** Returns messages that carry move progress to random members of any zone.
   */
  std::vector<Datagram> ProgressMessages(
    const std::vector<MoveProgress>& aMoves);

  /**
   * Returns a message about this node's configuration. It carries the pending
   * updates in addition to the messages by which these are disseminated.
   */
  GossipMessage ConfigMessage(GossipKind aKind, std::uint32_t aSequence) const;

  /** All known members, including dead ones but not this node. */
  const std::map<NodeId, Member>& Members() const { return mMembers; }

  /** Returns the whole member table for a join answer; this node comes first.
   */
  std::vector<MemberUpdate> FullTable() const;

  /** Returns the highest configuration version received from a gossip
   * address, or 0 if none was received. */
  std::uint64_t RememberedVersion(NodeId aNode) const;

  /** Number of changes to the member table. An unchanged value means an
   * unchanged table. */
  std::uint64_t ChangeCount() const { return mChangeCount; }

  /**
   * Returns a member to request the whole table from, and clears it. One is
   * set when a dead member is alive again, or when table hashes keep
   * differing while no updates are pending.
   */
  std::optional<NodeId> TakeSyncPeer();

  /** Returns whether a member reported other suspects of crashes since the last
   * call. */
  bool TakeSuspectNews() { return std::exchange(mHasSuspectNews, false); }

private:
  /** The probe of one member in the current probe period. */
  struct Probe
  {
    NodeId target = kNoNode;
    std::uint32_t sequence = 0;
    Timestamp directDeadline;
    Timestamp finalDeadline;
    bool indirectSent = false;
  };

  /** A ping sent on behalf of another node that requested an indirect probe.
   */
  struct Relay
  {
    NodeId origin = kNoNode;
    std::uint32_t originSequence = 0;
    NodeId target = kNoNode;
    Timestamp deadline;
  };

  GossipMessage MakeMessage(GossipKind aKind, std::uint32_t aSequence);
  /** Returns the pending updates for one message, the least often sent first.
   */
  std::vector<MemberUpdate> NextUpdates() const;
  /** Adds pending updates to a message and counts that they are sent. */
  void AttachUpdates(GossipMessage& aMessage);
  /** Adds the receiver's own record to a message if it is suspected or dead
   * here, so that the receiver can refute it. */
  void AttachSuspicion(Datagram& aDatagram) const;
  void QueueUpdate(const MemberUpdate& aUpdate);
  /** Raises this node's own record above one that others hold of it. */
  void Refute(const MemberRecord& aSeen);
  void ChangeLiveness(Member& aMember, Liveness aLiveness, Timestamp aNow);
  void ClearSuspicion(NodeId aNode, Timestamp aNow);
  void RememberVersion(NodeId aNode, std::uint64_t aVersion);
  void CompareTables(NodeId aSender, std::uint64_t aHash);
  /** Counts a message from a node with an equal table as several sends of each
   * pending update, so that dissemination ends early where tables agree. */
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
  /** Members whose updates are being disseminated, with the number of sends so
   * far. */
  std::map<NodeId, std::uint32_t> mPendingUpdates;
  Timestamp mNextPeriod{};
  std::uint32_t mSequence = 0;
  std::uint32_t mPeriodCount = 0;
  std::uint64_t mChangeCount = 0;
  std::uint64_t mTableHash = 0; ///< cached result of TableHash()
  /** Value of mChangeCount that mTableHash was computed at. */
  std::uint64_t mTableHashChangeCount = ~0ULL;
  std::uint32_t mConsecutiveMismatches = 0;
  std::optional<NodeId> mSyncPeer;
  bool mHasSuspectNews = false;
};

} // namespace knapweedpaddle::nodes
