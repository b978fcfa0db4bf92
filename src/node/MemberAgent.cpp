#include "knapweedpaddle/node/MemberAgent.h"

#include "knapweedpaddle/store/CatalogueRows.h"

#include <algorithm>

namespace knapweedpaddle::node {

using nodes::Liveness;
using nodes::MemberRecord;

namespace {

constexpr std::size_t kRowsRead = 10;
constexpr std::size_t kPeersAsked = 3;
constexpr Milliseconds kFirstRetry{ 500 };
constexpr Milliseconds kLongestRetry{ 8000 };
/** After a herd of starts the first peers asked know few others, so that some
 * of the own zone are asked again. */
constexpr std::uint32_t kSettleRounds = 3;
constexpr Milliseconds kSettleDelay{ 400 };
constexpr Milliseconds kSyncEvery{ 300'000 };
constexpr std::int64_t kSyncSpreadPerMemberMs =
  100; ///< bounds the bytes of many syncs

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
  mRoundsLeft = kSettleRounds;
  ReadRows();
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
    Sync();
  }
}

void
MemberAgent::Sync()
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
  transaction.writes.push_back(
    { store::kMemberPrefix + ToString(mMembers.Self().node), "", true });
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
  const auto onRows =
    [this](const std::optional<std::vector<store::Row>>& aRows,
           const store::StoreReason&) {
      std::vector<std::string> addresses = mSeeds;
      if (aRows) {
        for (const auto& it : *aRows) {
          addresses.push_back(it.value);
        }
      }
      for (const auto& [id, member] : mMembers.Members()) {
        if (member.liveness == Liveness::kAlive) {
          addresses.push_back(LinkAddress(member.record));
        }
      }
      JoinSome(std::move(addresses));
    };
  // From a random place, so that a herd doesn't ask the same few peers.
  const std::string first =
    store::kMemberPrefix + std::to_string(mRandom() % 256);
  mServices.platform.ReadRange(
    store::kMemberPrefix,
    first,
    kRowsRead,
    [this, onRows](const std::optional<std::vector<store::Row>>& aRows,
                   const store::StoreReason& aReason) {
      if (aRows && aRows->size() < kPeersAsked) {
        mServices.platform.ReadRange(
          store::kMemberPrefix, store::kMemberPrefix, kRowsRead, onRows);
        return;
      }
      onRows(aRows, aReason);
    });
}

void
MemberAgent::WriteRow()
{
  if (mRowWritten) {
    return;
  }
  store::Transaction transaction;
  transaction.writes.push_back(
    { store::kMemberPrefix + ToString(mMembers.Self().node),
      LinkAddress(mMembers.Self()),
      false });
  mServices.platform.Commit(
    std::move(transaction),
    [this](bool aDone, const store::StoreReason&) { mRowWritten |= aDone; });
}

std::vector<std::string>
MemberAgent::ZoneAddresses() const
{
  std::vector<std::string> addresses;
  for (const auto& [id, member] : mMembers.Members()) {
    if (member.liveness == Liveness::kAlive &&
        member.record.zone == mMembers.Self().zone) {
      addresses.push_back(LinkAddress(member.record));
    }
  }
  return addresses;
}

void
MemberAgent::JoinSome(std::vector<std::string> aAddresses)
{
  std::ranges::sort(aAddresses);
  aAddresses.erase(std::unique(aAddresses.begin(), aAddresses.end()),
                   aAddresses.end());
  std::erase(aAddresses, LinkAddress(mMembers.Self()));
  std::ranges::shuffle(aAddresses, mRandom);
  aAddresses.resize(std::min(aAddresses.size(), kPeersAsked));
  mRoundAnswered = false;
  mOutstanding = static_cast<std::uint32_t>(aAddresses.size());
  if (aAddresses.empty()) {
    OnRoundEnd();
    return;
  }
  for (const auto& it : aAddresses) {
    mServices.peers.Join(
      it,
      { mMembers.Self(), Liveness::kAlive },
      [this](const std::optional<nodes::JoinAnswer>& aAnswer) {
        if (aAnswer) {
          mRoundAnswered = true;
          mMembers.Learn(aAnswer->members, mServices.scheduler.Now());
          mServices.onJoinAnswer(*aAnswer);
        }
        if (mOutstanding > 0 && --mOutstanding == 0) {
          OnRoundEnd();
        }
      });
  }
}

void
MemberAgent::OnRoundEnd()
{
  mServices.onPeersAsked();
  const bool settled = mRoundAnswered && mRowWritten && mServices.isServing();
  if (settled && mRoundsLeft > 0) {
    --mRoundsLeft;
    mServices.scheduler.RunAfter(kSettleDelay,
                                 [this] { JoinSome(ZoneAddresses()); });
    return;
  }
  if (settled || mRetryPending) {
    return;
  }
  // Alone, not up to date or without a row: look again, ever more rarely.
  mRetryPending = true;
  mServices.scheduler.RunAfter(mBackoff.Next(mRandom), [this] {
    mRetryPending = false;
    ReadRows();
    WriteRow();
  });
}

} // namespace knapweedpaddle::node
