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

constexpr std::size_t kRowsPerRead = 10;
constexpr std::size_t kPeersPerRound = 3;
/** The platform's store takes this many entries in one transaction. */
constexpr std::size_t kMaxRowsPerWrite = 100;
constexpr Milliseconds kRewriteRetryDelay{ 1000 };
/** The search for peers starts after this time even if the write of this node's
 * row is still pending. */
constexpr Milliseconds kMaxWriteWait{ 150 };
constexpr Milliseconds kFirstRetryDelay{ 500 };
constexpr Milliseconds kMaxRetryDelay{ 8000 };
/** Join rounds within the own zone after this node serves. When many nodes
 * start at once, the peers asked first know few of the others. */
constexpr std::uint32_t kSettleRounds = 3;
constexpr Milliseconds kSettleDelay{ 400 };
constexpr Milliseconds kSyncInterval{ 300'000 };
/** Longest random delay of a table sync, per known member. It limits the bytes
 * sent per second when many nodes sync after the same event. */
constexpr std::int64_t kSyncSpreadPerMemberMs = 100;

void
LogStoreFailure(const std::string& aEvent, const std::string& aReason)
{
  telemetry::LogEvent(telemetry::LogCategory::kPlatform,
                      telemetry::LogLevel::kInfo,
                      aEvent,
                      { { "reason", aReason } });
}

/** Returns the member table's key for a hash. Keys are ordered by hash, so a
 * read that starts at a random key returns random members. */
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
                         std::uint64_t aRandomSeed)
  : mServices(std::move(aServices))
  , mSeeds(std::move(aSeeds))
  , mRandom(aRandomSeed)
  , mMembers(nodes::MembershipOptions{}, std::move(aSelf), aRandomSeed + 1)
  , mBackoff(kFirstRetryDelay, kMaxRetryDelay)
  , mNextSync(mServices.scheduler.Now() + kSyncInterval)
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
    // After a partition heals, the members of both sides want to sync at once;
    // random delays spread these syncs over time.
    const auto spread =
      static_cast<std::int64_t>(mMembers.Members().size() + 1) *
      kSyncSpreadPerMemberMs;
    const Milliseconds delay(
      std::uniform_int_distribution<std::int64_t>(0, spread)(mRandom));
    mNextSync = std::min(mNextSync, now + delay);
  }
  if (now >= mNextSync) {
    mNextSync = now + kSyncInterval;
    SyncMembers();
  }
}

void
MemberAgent::SyncMembers()
{
  const std::string address = LinkAddressOf(mSyncPeer);
  mSyncPeer = nodes::kNoNode;
  if (address.empty()) {
    return; // no sync was requested, or the member is no longer known
  }
  mServices.peers.Join(address,
                       { mMembers.Self(), Liveness::kAlive },
                       [this](const std::optional<nodes::JoinAnswer>& aAnswer) {
                         if (aAnswer) {
                           mMembers.MergeUpdates(aAnswer->members,
                                                 mServices.scheduler.Now());
                           mServices.onJoinAnswer(*aAnswer);
                         }
                       });
}

void
MemberAgent::Receive(const nodes::GossipMessage& aMessage)
{
  Send(mMembers.Receive(aMessage, mServices.scheduler.Now()));
  if (mMembers.TakeSuspectNews()) {
    // Spreads faster than with the next probes.
    Send(mMembers.VersionHints());
  }
}

nodes::JoinAnswer
MemberAgent::OnJoin(const nodes::MemberUpdate& aPeer)
{
  nodes::JoinAnswer answer;
  answer.rememberedVersion = mMembers.RememberedVersion(aPeer.record.node);
  mMembers.MergeAndDisseminate(aPeer, mServices.scheduler.Now());
  answer.members = mMembers.FullTable();
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
MemberAgent::ReportSuspects(std::vector<CrashSuspect> aSuspects)
{
  MemberRecord record = mMembers.Self();
  record.suspects = std::move(aSuspects);
  mMembers.UpdateSelf(std::move(record));
  Send(mMembers.VersionHints());
}

void
MemberAgent::RemoveRow()
{
  store::Transaction transaction;
  transaction.writes.push_back({ RowKeyOf(mMembers.Self().node), "", true });
  mServices.platform.Commit(std::move(transaction),
                            [](bool, const store::StoreReason&) {});
}

void
MemberAgent::RewriteZoneRows()
{
  std::vector<store::Write> rows;
  const auto add = [&](const MemberRecord& aRecord) {
    if (aRecord.zone == mMembers.Self().zone &&
        aRecord.state != nodes::MemberState::kLeaving) {
      rows.push_back({ RowKeyOf(aRecord.node), LinkAddress(aRecord), false });
    }
  };
  add(mMembers.Self());
  for (const auto& [id, member] : mMembers.Members()) {
    if (member.liveness == Liveness::kAlive) {
      add(member.record);
    }
  }
  for (std::size_t n = 0; n < rows.size(); n += kMaxRowsPerWrite) {
    const auto last = std::min(n + kMaxRowsPerWrite, rows.size());
    store::Transaction transaction;
    transaction.writes.assign(rows.begin() + static_cast<std::ptrdiff_t>(n),
                              rows.begin() + static_cast<std::ptrdiff_t>(last));
    mServices.platform.Commit(
      std::move(transaction),
      [this](bool aDone, const store::StoreReason& aReason) {
        if (aDone) {
          return;
        }
        LogStoreFailure("zone_rows_unwritten", aReason.message);
        if (!std::exchange(mRewritePending, true)) {
          mServices.scheduler.RunAfter(kRewriteRetryDelay, [this] {
            mRewritePending = false;
            RewriteZoneRows();
          });
        }
      });
  }
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
  // Starts at a random key, so that nodes starting at once ask different peers.
  mServices.platform.ReadRange(
    store::kMemberPrefix,
    RowKey(mRandom()),
    kRowsPerRead,
    [this](const Rows& aRows, const store::StoreReason& aReason) {
      if (aRows && aRows->size() < kPeersPerRound) {
        // The random key was near the end of the table: read from its start.
        mServices.platform.ReadRange(
          store::kMemberPrefix,
          store::kMemberPrefix,
          kRowsPerRead,
          [this](const Rows& aFirstRows,
                 const store::StoreReason& aFirstReason) {
            OnRows(aFirstRows, aFirstReason);
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
    const std::string self = LinkAddress(mMembers.Self());
    mKnowsFleet |= std::ranges::all_of(
      addresses, [&self](const auto& aItem) { return aItem == self; });
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
  // The search for peers starts after the write, so that among nodes starting
  // at once the later ones find the rows of the earlier ones. A slow write does
  // not delay the search beyond kMaxWriteWait.
  const auto started = std::make_shared<bool>(false);
  const auto findPeersOnce = [this, started] {
    if (!std::exchange(*started, true)) {
      FindPeers();
    }
  };
  mServices.scheduler.RunAfter(kMaxWriteWait, findPeersOnce);
  mServices.platform.Commit(
    std::move(transaction),
    [this, findPeersOnce](bool aDone, const store::StoreReason& aReason) {
      mRowWritten |= aDone;
      if (!aDone) {
        LogStoreFailure("member_row_unwritten", aReason.message);
      }
      findPeersOnce();
    });
}

void
MemberAgent::FindPeers()
{
  std::vector<std::string> addresses =
    AliveAddresses([](const MemberRecord&) { return true; });
  if (mAnyPeerAnswered && !addresses.empty()) {
    JoinRandomPeers(std::move(addresses));
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
  aAddresses.resize(std::min(aAddresses.size(), kPeersPerRound));
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
          mKnowsFleet = true;
          mMembers.MergeUpdates(aAnswer->members, mServices.scheduler.Now());
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
  // No peer answered, this node is not serving yet or its row is not written:
  // tries again with growing delays.
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
