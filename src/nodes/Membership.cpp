#include "knapweedpaddle/nodes/Membership.h"

#include <algorithm>
#include <array>
#include <utility>
#include <xxhash.h>

namespace knapweedpaddle::nodes {

namespace {

/** Number of messages from nodes with an equal table after which no pending
 * update is sent any more. */
constexpr std::uint32_t kEqualTablesBeforeStop = 4;

} // namespace

Membership::Membership(MembershipOptions aOptions,
                       MemberRecord aSelf,
                       std::uint64_t aSeed)
  : mOptions(aOptions)
  , mSelf(std::move(aSelf))
  , mRandom(aSeed)
{
  mPendingUpdates[mSelf.node] = 0;
}

void
Membership::UpdateSelf(MemberRecord aRecord)
{
  aRecord.node = mSelf.node;
  aRecord.incarnation = mSelf.incarnation;
  aRecord.sequence = mSelf.sequence;
  if (aRecord == mSelf) {
    return;
  }
  mSelf = std::move(aRecord);
  ++mSelf.sequence;
  ++mChangeCount;
  mPendingUpdates[mSelf.node] = 0;
}

std::vector<Datagram>
Membership::Tick(Timestamp aNow)
{
  std::vector<Datagram> out;
  if (mProbe && !mProbe->indirectSent && aNow >= mProbe->directDeadline) {
    SendIndirectProbes(out);
  }
  if (aNow < mNextPeriod) {
    return out;
  }
  if (mProbe) {
    if (const auto it = mMembers.find(mProbe->target);
        it != mMembers.end() && it->second.liveness == Liveness::kAlive) {
      ChangeLiveness(it->second, Liveness::kSuspect, aNow);
    }
    mProbe.reset();
  }
  ExpireSuspects(aNow);
  RemoveExpiredDead(aNow);
  std::erase_if(mRelays, [aNow](const auto& aItem) {
    return aItem.second.deadline <= aNow;
  });
  StartProbe(aNow, out);
  if (++mPeriodCount % mOptions.deadProbePeriods == 0) {
    PingDeadMember(out);
  }
  mNextPeriod = aNow + mOptions.probePeriod;
  return out;
}

std::vector<Datagram>
Membership::Receive(const GossipMessage& aMessage, Timestamp aNow)
{
  std::vector<Datagram> out;
  if (aMessage.sender == mSelf.node) {
    return out;
  }
  for (const auto& it : aMessage.updates) {
    MergeAndDisseminate(it, aNow);
  }
  RememberVersion(aMessage.sender, aMessage.configVersion);
  ClearSuspicion(aMessage.sender, aNow);
  if (aMessage.tableHash != 0) {
    CompareTables(aMessage.sender, aMessage.tableHash);
  }

  switch (aMessage.kind) {
    case GossipKind::kPing:
      out.push_back(
        { aMessage.sender, MakeMessage(GossipKind::kAck, aMessage.sequence) });
      AttachSuspicion(out.back());
      break;
    case GossipKind::kPingRequest: {
      const std::uint32_t sequence = ++mSequence;
      mRelays[sequence] = Relay{ aMessage.sender,
                                 aMessage.sequence,
                                 aMessage.target,
                                 aNow + mOptions.probePeriod };
      out.push_back(
        { aMessage.target, MakeMessage(GossipKind::kPing, sequence) });
      break;
    }
    case GossipKind::kAck:
      if (const auto it = mRelays.find(aMessage.sequence);
          it != mRelays.end() && it->second.target == aMessage.sender) {
        GossipMessage answer =
          MakeMessage(GossipKind::kAck, it->second.originSequence);
        answer.target = aMessage.sender;
        out.push_back({ it->second.origin, std::move(answer) });
        mRelays.erase(it);
      } else if (mProbe && mProbe->sequence == aMessage.sequence) {
        if (aMessage.target != kNoNode) {
          ClearSuspicion(aMessage.target, aNow);
        }
        mProbe.reset();
      }
      break;
    case GossipKind::kVersionHint:
    case GossipKind::kProgress:
    case GossipKind::kConfigQuery:
    case GossipKind::kConfigAnswer:
    case GossipKind::kAllowanceReport:
    case GossipKind::kAllowanceAnswer:
      break;
  }
  return out;
}

void
Membership::MergeUpdates(const std::vector<MemberUpdate>& aUpdates,
                         Timestamp aNow)
{
  const auto pendingBefore = mPendingUpdates;
  for (const auto& it : aUpdates) {
    MergeAndDisseminate(it, aNow);
  }
  std::erase_if(mPendingUpdates, [&](const auto& aItem) {
    return aItem.first != mSelf.node && !pendingBefore.contains(aItem.first);
  });
}

void
Membership::MergeAndDisseminate(const MemberUpdate& aUpdate, Timestamp aNow)
{
  const MemberRecord& record = aUpdate.record;
  if (record.node == kNoNode) {
    return;
  }
  if (record.node == mSelf.node) {
    if (IsNewer(record, mSelf) || aUpdate.liveness != Liveness::kAlive) {
      Refute(record);
    }
    return;
  }
  const auto [it, added] =
    mMembers.try_emplace(record.node, Member{ record, aUpdate.liveness, aNow });
  Member& member = it->second;
  if (added) {
    ++mChangeCount;
    QueueUpdate(aUpdate);
    return;
  }
  if (IsNewer(record, member.record)) {
    if (member.liveness == Liveness::kDead &&
        aUpdate.liveness == Liveness::kAlive) {
      mSyncPeer = record.node;
    }
    mHasSuspectNews |= record.suspects != member.record.suspects;
    member = Member{ record, aUpdate.liveness, aNow };
    ++mChangeCount;
    QueueUpdate(aUpdate);
    return;
  }
  // For the same record only a worse liveness is merged; a better one needs a
  // newer record, with which the node itself refutes the suspicion.
  if (!IsNewer(member.record, record) && aUpdate.liveness > member.liveness) {
    ChangeLiveness(member, aUpdate.liveness, aNow);
  }
}

std::vector<Datagram>
Membership::VersionHints()
{
  std::vector<Datagram> out;
  for (const NodeId it : RandomMembers(mOptions.hintFanout, kNoNode)) {
    out.push_back({ it, MakeMessage(GossipKind::kVersionHint, 0) });
  }
  return out;
}

std::vector<Datagram>
Membership::ZoneVersionHints()
{
  std::vector<Datagram> out = VersionHints();
  for (const auto& [id, member] : mMembers) {
    if (member.record.zone == mSelf.zone &&
        member.liveness == Liveness::kAlive) {
      out.push_back({ id, MakeMessage(GossipKind::kVersionHint, 0) });
    }
  }
  return out;
}

std::vector<Datagram>
Membership::ProgressMessages(const std::vector<MoveProgress>& aMoves)
{
  std::vector<Datagram> out;
  for (const NodeId it : RandomMembers(mOptions.hintFanout, kNoNode)) {
    GossipMessage message = MakeMessage(GossipKind::kProgress, 0);
    message.moves = aMoves;
    out.push_back({ it, std::move(message) });
  }
  return out;
}

std::vector<MemberUpdate>
Membership::FullTable() const
{
  std::vector<MemberUpdate> all{ { mSelf, Liveness::kAlive } };
  for (const auto& [id, member] : mMembers) {
    all.push_back({ member.record, member.liveness });
  }
  return all;
}

std::uint64_t
Membership::RememberedVersion(NodeId aNode) const
{
  const auto it = mRememberedVersions.find(static_cast<std::uint64_t>(aNode));
  return it == mRememberedVersions.end() ? 0 : it->second;
}

std::optional<NodeId>
Membership::TakeSyncPeer()
{
  return std::exchange(mSyncPeer, std::nullopt);
}

GossipMessage
Membership::MakeMessage(GossipKind aKind, std::uint32_t aSequence)
{
  GossipMessage message;
  message.kind = aKind;
  message.sequence = aSequence;
  message.sender = mSelf.node;
  message.configVersion = mConfigVersion;
  message.tableHash = TableHash();
  AttachUpdates(message);
  return message;
}

GossipMessage
Membership::ConfigMessage(GossipKind aKind, std::uint32_t aSequence) const
{
  GossipMessage message;
  message.kind = aKind;
  message.sequence = aSequence;
  message.sender = mSelf.node;
  message.configVersion = mConfigVersion;
  message.updates = NextUpdates();
  return message;
}

std::vector<MemberUpdate>
Membership::NextUpdates() const
{
  std::vector<std::pair<std::uint32_t, NodeId>> queue;
  queue.reserve(mPendingUpdates.size());
  for (const auto& [id, sends] : mPendingUpdates) {
    queue.emplace_back(sends, id);
  }
  std::ranges::sort(queue);
  std::vector<MemberUpdate> updates;
  for (const auto& [sends, id] : queue) {
    if (updates.size() == mOptions.maxUpdatesPerMessage) {
      break;
    }
    if (id == mSelf.node) {
      updates.push_back({ mSelf, Liveness::kAlive });
    } else if (const auto it = mMembers.find(id); it != mMembers.end()) {
      updates.push_back({ it->second.record, it->second.liveness });
    }
  }
  return updates;
}

void
Membership::AttachUpdates(GossipMessage& aMessage)
{
  aMessage.updates = NextUpdates();
  const std::uint32_t limit = RetransmitLimit();
  for (const auto& it : aMessage.updates) {
    if (++mPendingUpdates[it.record.node] >= limit) {
      mPendingUpdates.erase(it.record.node);
    }
  }
}

void
Membership::QueueUpdate(const MemberUpdate& aUpdate)
{
  mPendingUpdates[aUpdate.record.node] = 0;
}

void
Membership::Refute(const MemberRecord& aSeen)
{
  if (aSeen.incarnation > mSelf.incarnation) {
    mSelf.incarnation = aSeen.incarnation;
    mSelf.sequence = aSeen.sequence;
  }
  mSelf.sequence = std::max(mSelf.sequence, aSeen.sequence) + 1;
  ++mChangeCount;
  mPendingUpdates[mSelf.node] = 0;
}

void
Membership::ChangeLiveness(Member& aMember, Liveness aLiveness, Timestamp aNow)
{
  if (aMember.liveness == Liveness::kDead && aLiveness == Liveness::kAlive) {
    mSyncPeer = aMember.record.node;
  }
  aMember.liveness = aLiveness;
  aMember.livenessSince = aNow;
  ++mChangeCount;
  QueueUpdate({ aMember.record, aLiveness });
}

void
Membership::ClearSuspicion(NodeId aNode, Timestamp aNow)
{
  // A message from a suspect proves to this node that it is alive. This isn't
  // disseminated: the suspect refutes the suspicion itself when it receives it.
  if (const auto it = mMembers.find(aNode);
      it != mMembers.end() && it->second.liveness == Liveness::kSuspect) {
    it->second.liveness = Liveness::kAlive;
    it->second.livenessSince = aNow;
    ++mChangeCount;
  }
}

void
Membership::RememberVersion(NodeId aNode, std::uint64_t aVersion)
{
  const auto key = static_cast<std::uint64_t>(aNode);
  if (mRememberedVersions.size() >= mOptions.maxRememberedVersions &&
      !mRememberedVersions.contains(key)) {
    std::erase_if(mRememberedVersions, [this](const auto& aItem) {
      return !mMembers.contains(NodeId{ aItem.first });
    });
  }
  std::uint64_t& version = mRememberedVersions[key];
  version = std::max(version, aVersion);
}

void
Membership::CompareTables(NodeId aSender, std::uint64_t aHash)
{
  if (aHash == TableHash()) {
    mConsecutiveMismatches = 0;
    AgePendingUpdates();
    return;
  }
  if (!mPendingUpdates.empty()) {
    mConsecutiveMismatches = 0;
    return;
  }
  if (++mConsecutiveMismatches >= mOptions.mismatchesBeforeSync) {
    mConsecutiveMismatches = 0;
    mSyncPeer = aSender;
  }
}

void
Membership::AgePendingUpdates()
{
  const std::uint32_t limit = RetransmitLimit();
  for (auto& [id, sends] : mPendingUpdates) {
    sends += limit / kEqualTablesBeforeStop;
  }
  std::erase_if(mPendingUpdates,
                [limit](const auto& aItem) { return aItem.second >= limit; });
}

std::uint32_t
Membership::RetransmitLimit() const
{
  return mOptions.retransmitFactor * (MemberCountDigits() + 1);
}

std::uint64_t
Membership::TableHash()
{
  if (mTableHashChangeCount == mChangeCount) {
    return mTableHash;
  }
  const auto hashOf = [](const MemberRecord& aRecord) {
    const std::array<std::uint64_t, 3> words{ static_cast<std::uint64_t>(
                                                aRecord.node),
                                              aRecord.incarnation,
                                              aRecord.sequence };
    return XXH3_64bits(words.data(), sizeof(words));
  };
  std::uint64_t hash = hashOf(mSelf);
  for (const auto& [id, member] : mMembers) {
    // Nodes remove dead members at different times, so the hash leaves these
    // out.
    if (member.liveness != Liveness::kDead) {
      hash ^= hashOf(member.record);
    }
  }
  mTableHash = hash;
  mTableHashChangeCount = mChangeCount;
  return hash;
}

void
Membership::StartProbe(Timestamp aNow, std::vector<Datagram>& aOut)
{
  const auto target = NextProbeTarget();
  if (!target) {
    return;
  }
  mProbe = Probe{ *target,
                  ++mSequence,
                  aNow + mOptions.directProbeTimeout,
                  aNow + mOptions.probePeriod,
                  false };
  aOut.push_back({ *target, MakeMessage(GossipKind::kPing, mProbe->sequence) });
  AttachSuspicion(aOut.back());
}

void
Membership::AttachSuspicion(Datagram& aDatagram) const
{
  if (const auto it = mMembers.find(aDatagram.to);
      it != mMembers.end() && it->second.liveness != Liveness::kAlive) {
    aDatagram.message.updates.push_back(
      { it->second.record, it->second.liveness });
  }
}

void
Membership::SendIndirectProbes(std::vector<Datagram>& aOut)
{
  mProbe->indirectSent = true;
  for (const NodeId it :
       RandomMembers(mOptions.indirectProbes, mProbe->target)) {
    GossipMessage message =
      MakeMessage(GossipKind::kPingRequest, mProbe->sequence);
    message.target = mProbe->target;
    aOut.push_back({ it, std::move(message) });
  }
}

void
Membership::PingDeadMember(std::vector<Datagram>& aOut)
{
  std::vector<NodeId> dead;
  for (const auto& [id, member] : mMembers) {
    if (member.liveness == Liveness::kDead) {
      dead.push_back(id);
    }
  }
  if (dead.empty()) {
    return;
  }
  const NodeId target = dead[mRandom() % dead.size()];
  aOut.push_back({ target, MakeMessage(GossipKind::kPing, ++mSequence) });
  AttachSuspicion(aOut.back());
}

void
Membership::ExpireSuspects(Timestamp aNow)
{
  const auto timeout =
    mOptions.probePeriod * mOptions.suspicionPeriods * MemberCountDigits();
  for (auto& [id, member] : mMembers) {
    if (member.liveness == Liveness::kSuspect &&
        aNow - member.livenessSince >= timeout) {
      ChangeLiveness(member, Liveness::kDead, aNow);
    }
  }
}

void
Membership::RemoveExpiredDead(Timestamp aNow)
{
  std::erase_if(mMembers, [&](const auto& aItem) {
    const bool old =
      aItem.second.liveness == Liveness::kDead &&
      aNow - aItem.second.livenessSince >= mOptions.deadRetention;
    if (old) {
      ++mChangeCount;
      mPendingUpdates.erase(aItem.first);
    }
    return old;
  });
}

std::optional<NodeId>
Membership::NextProbeTarget()
{
  while (true) {
    if (mProbeOrder.empty()) {
      for (const auto& [id, member] : mMembers) {
        if (member.liveness != Liveness::kDead) {
          mProbeOrder.push_back(id);
        }
      }
      if (mProbeOrder.empty()) {
        return std::nullopt;
      }
      std::ranges::shuffle(mProbeOrder, mRandom);
    }
    const NodeId next = mProbeOrder.back();
    mProbeOrder.pop_back();
    if (const auto it = mMembers.find(next);
        it != mMembers.end() && it->second.liveness != Liveness::kDead) {
      return next;
    }
  }
}

std::vector<NodeId>
Membership::RandomMembers(std::size_t aCount, NodeId aExcept)
{
  std::vector<NodeId> alive;
  for (const auto& [id, member] : mMembers) {
    if (member.liveness == Liveness::kAlive && id != aExcept) {
      alive.push_back(id);
    }
  }
  std::vector<NodeId> chosen;
  std::ranges::sample(alive,
                      std::back_inserter(chosen),
                      static_cast<std::ptrdiff_t>(aCount),
                      mRandom);
  return chosen;
}

std::uint32_t
Membership::MemberCountDigits() const
{
  return static_cast<std::uint32_t>(std::to_string(mMembers.size() + 1).size());
}

} // namespace knapweedpaddle::nodes
