#include "knapweedpaddle/nodes/Membership.h"

#include <algorithm>
#include <array>
#include <utility>
#include <xxhash.h>

namespace knapweedpaddle::nodes {

namespace {

/** Messages from nodes with an equal table after which nothing is left to
 * spread. */
constexpr std::uint32_t kEqualTablesToStop = 4;

} // namespace

Membership::Membership(MembershipOptions aOptions,
                       MemberRecord aSelf,
                       std::uint64_t aSeed)
  : mOptions(aOptions)
  , mSelf(std::move(aSelf))
  , mRandom(aSeed)
{
  mSpreading[mSelf.node] = 0;
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
  ++mChanges;
  mSpreading[mSelf.node] = 0;
}

std::vector<Datagram>
Membership::Tick(Timestamp aNow)
{
  std::vector<Datagram> out;
  if (mProbe && !mProbe->askedOthers && aNow >= mProbe->directDeadline) {
    AskOthers(out);
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
  ForgetDead(aNow);
  std::erase_if(mRelays, [aNow](const auto& aItem) {
    return aItem.second.deadline <= aNow;
  });
  StartProbe(aNow, out);
  if (++mPeriods % mOptions.deadProbeEvery == 0) {
    ProbeDead(out);
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
    LearnAndSpread(it, aNow);
  }
  Remember(aMessage.sender, aMessage.configVersion);
  NoteAlive(aMessage.sender, aNow);
  CompareTables(aMessage.sender, aMessage.tableHash);

  switch (aMessage.kind) {
    case GossipKind::kPing:
      out.push_back(
        { aMessage.sender, Message(GossipKind::kAck, aMessage.sequence) });
      AttachDoubt(out.back());
      break;
    case GossipKind::kPingRequest: {
      const std::uint32_t sequence = ++mSequence;
      mRelays[sequence] = Relay{ aMessage.sender,
                                 aMessage.sequence,
                                 aMessage.target,
                                 aNow + mOptions.probePeriod };
      out.push_back({ aMessage.target, Message(GossipKind::kPing, sequence) });
      break;
    }
    case GossipKind::kAck:
      if (const auto it = mRelays.find(aMessage.sequence);
          it != mRelays.end() && it->second.target == aMessage.sender) {
        GossipMessage answer =
          Message(GossipKind::kAck, it->second.originSequence);
        answer.target = aMessage.sender;
        out.push_back({ it->second.origin, std::move(answer) });
        mRelays.erase(it);
      } else if (mProbe && mProbe->sequence == aMessage.sequence) {
        if (aMessage.target != kNoNode) {
          NoteAlive(aMessage.target, aNow);
        }
        mProbe.reset();
      }
      break;
    case GossipKind::kVersionHint:
    case GossipKind::kProgress:
      break;
  }
  return out;
}

void
Membership::Learn(const std::vector<MemberUpdate>& aUpdates, Timestamp aNow)
{
  const auto spreadingBefore = mSpreading;
  for (const auto& it : aUpdates) {
    LearnAndSpread(it, aNow);
  }
  std::erase_if(mSpreading, [&](const auto& aItem) {
    return aItem.first != mSelf.node && !spreadingBefore.contains(aItem.first);
  });
}

void
Membership::LearnAndSpread(const MemberUpdate& aUpdate, Timestamp aNow)
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
    ++mChanges;
    Spread(aUpdate);
    return;
  }
  if (IsNewer(record, member.record)) {
    if (member.liveness == Liveness::kDead &&
        aUpdate.liveness == Liveness::kAlive) {
      mSyncPeer = record.node;
    }
    member = Member{ record, aUpdate.liveness, aNow };
    ++mChanges;
    Spread(aUpdate);
    return;
  }
  // About the same record only a worse liveness is news: its node must refute
  // it.
  if (!IsNewer(member.record, record) && aUpdate.liveness > member.liveness) {
    ChangeLiveness(member, aUpdate.liveness, aNow);
  }
}

std::vector<Datagram>
Membership::VersionHints()
{
  std::vector<Datagram> out;
  for (const NodeId it : RandomMembers(mOptions.hintFanout, kNoNode)) {
    out.push_back({ it, Message(GossipKind::kVersionHint, 0) });
  }
  return out;
}

std::vector<Datagram>
Membership::ZoneHints()
{
  std::vector<Datagram> out = VersionHints();
  for (const auto& [id, member] : mMembers) {
    if (member.record.zone == mSelf.zone &&
        member.liveness == Liveness::kAlive) {
      out.push_back({ id, Message(GossipKind::kVersionHint, 0) });
    }
  }
  return out;
}

std::vector<Datagram>
Membership::ProgressMessages(const std::vector<MoveProgress>& aMoves)
{
  std::vector<Datagram> out;
  for (const NodeId it : RandomMembers(mOptions.hintFanout, kNoNode)) {
    GossipMessage message = Message(GossipKind::kProgress, 0);
    message.moves = aMoves;
    out.push_back({ it, std::move(message) });
  }
  return out;
}

std::vector<MemberUpdate>
Membership::Everything() const
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
  const auto it = mRemembered.find(static_cast<std::uint64_t>(aNode));
  return it == mRemembered.end() ? 0 : it->second;
}

std::optional<NodeId>
Membership::TakeSyncPeer()
{
  return std::exchange(mSyncPeer, std::nullopt);
}

GossipMessage
Membership::Message(GossipKind aKind, std::uint32_t aSequence)
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

void
Membership::AttachUpdates(GossipMessage& aMessage)
{
  std::vector<std::pair<std::uint32_t, NodeId>> queue;
  queue.reserve(mSpreading.size());
  for (const auto& [id, sends] : mSpreading) {
    queue.emplace_back(sends, id);
  }
  std::ranges::sort(queue);
  const std::uint32_t limit = RetransmitLimit();
  for (const auto& [sends, id] : queue) {
    if (aMessage.updates.size() == mOptions.maxUpdates) {
      break;
    }
    if (id == mSelf.node) {
      aMessage.updates.push_back({ mSelf, Liveness::kAlive });
    } else if (const auto it = mMembers.find(id); it != mMembers.end()) {
      aMessage.updates.push_back({ it->second.record, it->second.liveness });
    }
    if (++mSpreading[id] >= limit) {
      mSpreading.erase(id);
    }
  }
}

void
Membership::Spread(const MemberUpdate& aUpdate)
{
  mSpreading[aUpdate.record.node] = 0;
}

void
Membership::Refute(const MemberRecord& aSeen)
{
  if (aSeen.incarnation > mSelf.incarnation) {
    mSelf.incarnation = aSeen.incarnation;
    mSelf.sequence = aSeen.sequence;
  }
  mSelf.sequence = std::max(mSelf.sequence, aSeen.sequence) + 1;
  ++mChanges;
  mSpreading[mSelf.node] = 0;
}

void
Membership::ChangeLiveness(Member& aMember, Liveness aLiveness, Timestamp aNow)
{
  if (aMember.liveness == Liveness::kDead && aLiveness == Liveness::kAlive) {
    mSyncPeer = aMember.record.node;
  }
  aMember.liveness = aLiveness;
  aMember.since = aNow;
  ++mChanges;
  Spread({ aMember.record, aLiveness });
}

void
Membership::NoteAlive(NodeId aNode, Timestamp aNow)
{
  // Hearing from a suspect proves it to this node; it refutes to the others
  // itself when the suspicion reaches it.
  if (const auto it = mMembers.find(aNode);
      it != mMembers.end() && it->second.liveness == Liveness::kSuspect) {
    it->second.liveness = Liveness::kAlive;
    it->second.since = aNow;
    ++mChanges;
  }
}

void
Membership::Remember(NodeId aNode, std::uint64_t aVersion)
{
  const auto key = static_cast<std::uint64_t>(aNode);
  if (mRemembered.size() >= mOptions.rememberedLimit &&
      !mRemembered.contains(key)) {
    std::erase_if(mRemembered, [this](const auto& aItem) {
      return !mMembers.contains(NodeId{ aItem.first });
    });
  }
  std::uint64_t& version = mRemembered[key];
  version = std::max(version, aVersion);
}

void
Membership::CompareTables(NodeId aSender, std::uint64_t aHash)
{
  if (aHash == TableHash()) {
    mMismatches = 0;
    CountEqualTable();
    return;
  }
  if (!mSpreading.empty()) {
    mMismatches = 0;
    return;
  }
  if (++mMismatches >= mOptions.mismatchesToSync) {
    mMismatches = 0;
    mSyncPeer = aSender;
  }
}

void
Membership::CountEqualTable()
{
  const std::uint32_t limit = RetransmitLimit();
  for (auto& [id, sends] : mSpreading) {
    sends += limit / kEqualTablesToStop;
  }
  std::erase_if(mSpreading,
                [limit](const auto& aItem) { return aItem.second >= limit; });
}

std::uint32_t
Membership::RetransmitLimit() const
{
  return mOptions.retransmitFactor * (SizeDigits() + 1);
}

std::uint64_t
Membership::TableHash()
{
  if (mHashedAt == mChanges) {
    return mHash;
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
    // The dead are forgotten at different times, so they don't count.
    if (member.liveness != Liveness::kDead) {
      hash ^= hashOf(member.record);
    }
  }
  mHash = hash;
  mHashedAt = mChanges;
  return hash;
}

void
Membership::StartProbe(Timestamp aNow, std::vector<Datagram>& aOut)
{
  const auto target = NextTarget();
  if (!target) {
    return;
  }
  mProbe = Probe{ *target,
                  ++mSequence,
                  aNow + mOptions.directTimeout,
                  aNow + mOptions.probePeriod,
                  false };
  aOut.push_back({ *target, Message(GossipKind::kPing, mProbe->sequence) });
  AttachDoubt(aOut.back());
}

void
Membership::AttachDoubt(Datagram& aDatagram) const
{
  if (const auto it = mMembers.find(aDatagram.to);
      it != mMembers.end() && it->second.liveness != Liveness::kAlive) {
    aDatagram.message.updates.push_back(
      { it->second.record, it->second.liveness });
  }
}

void
Membership::AskOthers(std::vector<Datagram>& aOut)
{
  mProbe->askedOthers = true;
  for (const NodeId it :
       RandomMembers(mOptions.indirectProbes, mProbe->target)) {
    GossipMessage message = Message(GossipKind::kPingRequest, mProbe->sequence);
    message.target = mProbe->target;
    aOut.push_back({ it, std::move(message) });
  }
}

void
Membership::ProbeDead(std::vector<Datagram>& aOut)
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
  aOut.push_back({ target, Message(GossipKind::kPing, ++mSequence) });
  AttachDoubt(aOut.back());
}

void
Membership::ExpireSuspects(Timestamp aNow)
{
  const auto timeout =
    mOptions.probePeriod * mOptions.suspicionPeriods * SizeDigits();
  for (auto& [id, member] : mMembers) {
    if (member.liveness == Liveness::kSuspect &&
        aNow - member.since >= timeout) {
      ChangeLiveness(member, Liveness::kDead, aNow);
    }
  }
}

void
Membership::ForgetDead(Timestamp aNow)
{
  std::erase_if(mMembers, [&](const auto& aItem) {
    const bool old = aItem.second.liveness == Liveness::kDead &&
                     aNow - aItem.second.since >= mOptions.deadKept;
    mChanges += old ? 1 : 0;
    return old;
  });
}

std::optional<NodeId>
Membership::NextTarget()
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
Membership::SizeDigits() const
{
  return static_cast<std::uint32_t>(std::to_string(mMembers.size() + 1).size());
}

} // namespace knapweedpaddle::nodes
