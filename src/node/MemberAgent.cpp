#include "knapweedpaddle/node/MemberAgent.h"

#include "knapweedpaddle/store/CatalogueRows.h"
#include "knapweedpaddle/telemetry/Log.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <xxhash.h>

namespace knapweedpaddle::node {

using nodes::Liveness;
using nodes::MemberRecord;

namespace {

constexpr std::size_t kRowsRead = 10;
constexpr std::size_t kPeersAsked = 3;
/** A write to the store that takes longer isn't waited for. */
constexpr Milliseconds kLongestWrite{ 150 };
constexpr Milliseconds kFirstRetry{ 500 };
constexpr Milliseconds kLongestRetry{ 8000 };
/** After a herd of starts the first peers asked know few others, so that some
 * of the own zone are asked again. */
constexpr std::uint32_t kSettleRounds = 3;
constexpr Milliseconds kSettleDelay{ 400 };
constexpr Milliseconds kSyncEvery{ 300'000 };
constexpr std::int64_t kSyncSpreadPerMemberMs =
  100; ///< bounds the bytes of many syncs

void
LogStoreFailure(const std::string& aEvent, const std::string& aReason)
{
  telemetry::LogEvent(telemetry::LogCategory::kPlatform,
                      telemetry::LogLevel::kInfo,
                      aEvent,
                      { { "reason", aReason } });
}

/** Rows lie in the order of a hash, so that a read from a random place finds
 * random members. */
std::string
RowKey(std::uint64_t aHash)
{
  return store::kMemberPrefix + absl::StrFormat("%016x", aHash);
}

std::string
RowKeyOf(nodes::NodeId aNode)
{
  const std::string name = ToString(aNode);
  return RowKey(XXH3_64bits(name.data(), name.size()));
}

} // namespace

std::string
LinkAddress(const MemberRecord& aRecord)
{
  return AddressWithPort(aRecord.node, aRecord.linkPort);
}

MemberAgent::MemberAgent(Services aServices,
                         MemberRecord aSelf,
                         std::vector<std::string> aSeeds,
                         std::uint64_t aSeed)
  : mServices(std::move(aServices))
  , mSeeds(std::move(aSeeds))
  , mRandom(aSeed)
  , mMembers(nodes::MembershipOptions{}, std::move(aSelf), aSeed + 1)
  , mBackoff(kFirstRetry, kLongestRetry)
  , mNextSync(mServices.scheduler.Now() + kSyncEvery)
{
}

void
MemberAgent::Bootstrap()
{
  mBackoff.Reset();
  mSettleRoundsLeft = kSettleRounds;
  WriteRow();
}

void
MemberAgent::Tick()
{
  const Timestamp now = mServices.scheduler.Now();
  Send(mMembers.Tick(now));
  if (const auto peer = mMembers.TakeSyncPeer()) {
    mSyncPeer = *peer;
    // Spread over the members of both sides of a healed partition.
    const auto spread =
      static_cast<std::int64_t>(mMembers.Members().size() + 1) *
      kSyncSpreadPerMemberMs;
    const Milliseconds delay(
      std::uniform_int_distribution<std::int64_t>(0, spread)(mRandom));
    mNextSync = std::min(mNextSync, now + delay);
  }
  if (now >= mNextSync) {
    mNextSync = now + kSyncEvery;
    SyncMembers();
  }
}

void
MemberAgent::SyncMembers()
{
  const std::string address = LinkAddressOf(mSyncPeer);
  mSyncPeer = nodes::kNoNode;
  if (address.empty()) {
    return;
  }
  mServices.peers.Join(address,
                       { mMembers.Self(), Liveness::kAlive },
                       [this](const std::optional<nodes::JoinAnswer>& aAnswer) {
                         if (aAnswer) {
                           mMembers.Learn(aAnswer->members,
                                          mServices.scheduler.Now());
                           mServices.onJoinAnswer(*aAnswer);
                         }
                       });
}

void
MemberAgent::Receive(const nodes::GossipMessage& aMessage)
{
  Send(mMembers.Receive(aMessage, mServices.scheduler.Now()));
}

nodes::JoinAnswer
MemberAgent::OnJoin(const nodes::MemberUpdate& aPeer)
{
  nodes::JoinAnswer answer;
  answer.rememberedVersion = mMembers.RememberedVersion(aPeer.record.node);
  mMembers.LearnAndSpread(aPeer, mServices.scheduler.Now());
  answer.members = mMembers.Everything();
  return mServices.completeAnswer(answer);
}

void
MemberAgent::Send(const std::vector<nodes::Datagram>& aDatagrams)
{
  for (const auto& it : aDatagrams) {
    mServices.send(it);
  }
}

void
MemberAgent::RemoveRow()
{
  store::Transaction transaction;
  transaction.writes.push_back({ RowKeyOf(mMembers.Self().node), "", true });
  mServices.platform.Commit(std::move(transaction),
                            [](bool, const store::StoreReason&) {});
}

std::string
MemberAgent::LinkAddressOf(nodes::NodeId aNode) const
{
  const auto it = mMembers.Members().find(aNode);
  return it == mMembers.Members().end() ? std::string()
                                        : LinkAddress(it->second.record);
}

void
MemberAgent::ReadRows()
{
  // From a random place, so that a herd doesn't ask the same few peers.
  mServices.platform.ReadRange(
    store::kMemberPrefix,
    RowKey(mRandom()),
    kRowsRead,
    [this](const Rows& aRows, const store::StoreReason& aReason) {
      if (aRows && aRows->size() < kPeersAsked) {
        mServices.platform.ReadRange(
          store::kMemberPrefix,
          store::kMemberPrefix,
          kRowsRead,
          [this](const Rows& aFirst, const store::StoreReason& aWhy) {
            OnRows(aFirst, aWhy);
          });
        return;
      }
      OnRows(aRows, aReason);
    });
}

void
MemberAgent::OnRows(const Rows& aRows, const store::StoreReason& aReason)
{
  std::vector<std::string> addresses = mSeeds;
  if (aRows) {
    for (const auto& it : *aRows) {
      addresses.push_back(it.value);
    }
  } else {
    LogStoreFailure("member_rows_unread", aReason.message);
  }
  std::ranges::move(AliveAddresses([](const MemberRecord&) { return true; }),
                    std::back_inserter(addresses));
  JoinRandomPeers(std::move(addresses));
}

void
MemberAgent::WriteRow()
{
  store::Transaction transaction;
  transaction.writes.push_back(
    { RowKeyOf(mMembers.Self().node), LinkAddress(mMembers.Self()), false });
  // Members are read after the write, so that of nodes that start together
  // the later ones find the earlier ones. A slow write doesn't hold that up.
  const auto isFound = std::make_shared<bool>(false);
  const auto find = [this, isFound] {
    if (!std::exchange(*isFound, true)) {
      FindPeers();
    }
  };
  mServices.scheduler.RunAfter(kLongestWrite, find);
  mServices.platform.Commit(
    std::move(transaction),
    [this, find](bool aDone, const store::StoreReason& aReason) {
      mRowWritten |= aDone;
      if (!aDone) {
        LogStoreFailure("member_row_unwritten", aReason.message);
      }
      find();
    });
}

void
MemberAgent::FindPeers()
{
  std::vector<std::string> known =
    AliveAddresses([](const MemberRecord&) { return true; });
  if (mAnyPeerAnswered && !known.empty()) {
    JoinRandomPeers(std::move(known));
  } else {
    ReadRows();
  }
}

std::vector<std::string>
MemberAgent::AliveAddresses(
  const std::function<bool(const MemberRecord&)>& aWanted) const
{
  std::vector<std::string> addresses;
  for (const auto& [id, member] : mMembers.Members()) {
    if (member.liveness == Liveness::kAlive && aWanted(member.record)) {
      addresses.push_back(LinkAddress(member.record));
    }
  }
  return addresses;
}

void
MemberAgent::JoinRandomPeers(std::vector<std::string> aAddresses)
{
  std::ranges::sort(aAddresses);
  aAddresses.erase(std::unique(aAddresses.begin(), aAddresses.end()),
                   aAddresses.end());
  std::erase(aAddresses, LinkAddress(mMembers.Self()));
  std::ranges::shuffle(aAddresses, mRandom);
  aAddresses.resize(std::min(aAddresses.size(), kPeersAsked));
  mAnyPeerAnswered = false;
  mPendingJoins = static_cast<std::uint32_t>(aAddresses.size());
  if (aAddresses.empty()) {
    OnJoinRoundDone();
    return;
  }
  for (const auto& it : aAddresses) {
    mServices.peers.Join(
      it,
      { mMembers.Self(), Liveness::kAlive },
      [this](const std::optional<nodes::JoinAnswer>& aAnswer) {
        if (aAnswer) {
          mAnyPeerAnswered = true;
          mMembers.Learn(aAnswer->members, mServices.scheduler.Now());
          mServices.onJoinAnswer(*aAnswer);
        }
        if (mPendingJoins > 0 && --mPendingJoins == 0) {
          OnJoinRoundDone();
        }
      });
  }
}

void
MemberAgent::OnJoinRoundDone()
{
  mServices.onPeersAsked();
  const bool settled = mAnyPeerAnswered && mRowWritten && mServices.isServing();
  if (settled && mSettleRoundsLeft > 0) {
    --mSettleRoundsLeft;
    mServices.scheduler.RunAfter(kSettleDelay, [this] {
      JoinRandomPeers(AliveAddresses([this](const MemberRecord& aRecord) {
        return aRecord.zone == mMembers.Self().zone;
      }));
    });
    return;
  }
  if (settled || mRetryPending) {
    return;
  }
  // Alone, not up to date or without a row: look again, ever more rarely.
  mRetryPending = true;
  mServices.scheduler.RunAfter(mBackoff.Next(mRandom), [this] {
    mRetryPending = false;
    if (mRowWritten) {
      FindPeers();
    } else {
      WriteRow();
    }
  });
}

} // namespace knapweedpaddle::node
