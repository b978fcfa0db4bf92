#include "knapweedpaddle/node/ConfigFollower.h"

#include "knapweedpaddle/store/Revision.h"
#include "knapweedpaddle/telemetry/Log.h"

namespace knapweedpaddle::node {

using operators::OrderUpdate;
using store::StoreError;
using store::StoreReason;

namespace {

constexpr Milliseconds kFirstRetryDelay{ 100 };
constexpr Milliseconds kMaxRetryDelay{ 1000 };
/** Longest wait for a change in one query. The answers of the first reader
 * confirm the configuration for its whole zone. */
constexpr Milliseconds kMaxStoreWait{ 1000 };
constexpr Milliseconds kMaxBackupStoreWait{ 5000 };
/** A reader whose configuration was not confirmed for this time, and whose
 * query is pending for as long, checks the store by another connection. */
constexpr Milliseconds kMaxUnconfirmedTime{ 1600 };
constexpr Milliseconds kCheckInterval{ 1000 };
/** A starting node waits a random time up to this for a peer's configuration,
 * so that many nodes that start together do not read the store all at once. */
constexpr Milliseconds kMaxStartDelay{ 500 };
/** A starting node knows too few members to decide who the readers are. It
 * reads the store once, and follows it as a reader only after this time. */
constexpr Milliseconds kReaderDutyDelay{ 1000 };
/** When the last revision was read longer ago than this, the whole table is
 * read: the store may no longer keep the changes since that revision, and would
 * otherwise send every one of them. */
constexpr Milliseconds kMaxRevisionAge{ 10'000 };
/** After a longer time without any message, peers count as unreachable and the
 * store is read instead. While they are reachable, each probe period brings at
 * least one message. */
constexpr Milliseconds kMaxTimeWithoutPeerMessage{ 1300 };

void
LogUnreadableConfig(const std::string& aSource, const std::string& aReason)
{
  telemetry::LogEvent(telemetry::LogCategory::kConfig,
                      telemetry::LogLevel::kError,
                      "config_unreadable",
                      { { "source", aSource }, { "reason", aReason } });
}

} // namespace

ConfigFollower::ConfigFollower(Services aServices, std::uint64_t aSeed)
  : mServices(std::move(aServices))
  , mRandom(aSeed)
  , mBackoff(kFirstRetryDelay, kMaxRetryDelay)
{
}

void
ConfigFollower::Start()
{
  const Timestamp now = mServices.scheduler.Now();
  const Milliseconds delay(std::uniform_int_distribution<std::int64_t>(
    0, kMaxStartDelay.count())(mRandom));
  mFirstQueryAt = now + delay;
  mReaderDutyFrom = now + kReaderDutyDelay;
  mLastPeerMessageAt = now;
  mServices.scheduler.RunAfter(delay, [this] { Tick(); });
}

bool
ConfigFollower::ShouldQueryStore() const
{
  const Timestamp now = mServices.scheduler.Now();
  if (!HasConfig() && !mRevision) {
    return now >= mFirstQueryAt;
  }
  const bool isReader =
    now >= mReaderDutyFrom && mServices.readerRole() != ReaderRole::kNone;
  return isReader || now - mLastPeerMessageAt > kMaxTimeWithoutPeerMessage;
}

void
ConfigFollower::Tick()
{
  if (!mIsQuerying && ShouldQueryStore()) {
    QueryStore();
  } else if (IsQueryOverdue()) {
    CheckStore();
  }
}

void
ConfigFollower::ReadStoreAgain()
{
  mFirstQueryAt = mServices.scheduler.Now();
  ++mQueryGeneration;
  ReadAll();
}

void
ConfigFollower::QueryStore()
{
  const bool isFresh =
    mRevision && mServices.scheduler.Now() - mRevisionReadAt <= kMaxRevisionAge;
  if (isFresh) {
    WaitForStoreChanges();
  } else {
    ReadAll();
  }
}

void
ConfigFollower::ReadAll()
{
  mIsQuerying = true;
  mQuerySentAt = mServices.scheduler.Now();
  mServices.orders.ReadAll(
    [this,
     generation = mQueryGeneration,
     sentAt = mServices.scheduler.BootTime()](
      const std::optional<OrderUpdate>& aChanges, const StoreReason& aReason) {
      if (generation == mQueryGeneration) {
        OnStoreAnswer(aChanges, aReason, sentAt);
      }
    });
}

Milliseconds
ConfigFollower::StoreWait() const
{
  // A store that was restored since the last answer could hold a query from a
  // revision that it gave out again for the whole wait. An immediate answer
  // tells whether it was.
  if (!mLastQueryAnswered) {
    return Milliseconds(0);
  }
  return mServices.readerRole() == ReaderRole::kBackup ? kMaxBackupStoreWait
                                                       : kMaxStoreWait;
}

void
ConfigFollower::WaitForStoreChanges()
{
  mIsQuerying = true;
  mQuerySentAt = mServices.scheduler.Now();
  const Milliseconds wait = StoreWait();
  mServices.orders.Follow(
    *mRevision,
    wait,
    [this,
     wait,
     generation = mQueryGeneration,
     sentAt = mServices.scheduler.BootTime()](
      const std::optional<OrderUpdate>& aChanges, const StoreReason& aReason) {
      if (generation != mQueryGeneration) {
        return;
      }
      // The store answers without a change only at the end of the wait.
      const bool waited = aChanges && !aChanges->hasChanges &&
                          mServices.scheduler.BootTime() - sentAt >= wait;
      OnStoreAnswer(aChanges, aReason, waited ? sentAt + wait : sentAt);
    });
}

void
ConfigFollower::OnStoreAnswer(const std::optional<OrderUpdate>& aChanges,
                              const StoreReason& aReason,
                              Microseconds aAsOf)
{
  mQuerySentAt.reset();
  mLastQueryAnswered = aChanges.has_value();
  if (aChanges) {
    TakeChanges(*aChanges, aAsOf);
    QueryStoreIfNeeded();
  } else if (aReason.code == StoreError::kHistoryGone) {
    ReadAll();
  } else {
    SetStoreReachable(false, aReason.message);
    mServices.scheduler.RunAfter(mBackoff.Next(mRandom),
                                 [this, generation = mQueryGeneration] {
                                   if (generation == mQueryGeneration) {
                                     QueryStoreIfNeeded();
                                   }
                                 });
  }
}

void
ConfigFollower::TakeChanges(const OrderUpdate& aChanges, Microseconds aAsOf)
{
  mBackoff.Reset();
  SetStoreReachable(true, "");
  const bool isRestored = mRevision && store::HistoryOf(*mRevision) !=
                                         store::HistoryOf(aChanges.revision);
  mRevision = aChanges.revision;
  mRevisionReadAt = mServices.scheduler.Now();
  if (aChanges.configText) {
    ApplyConfigText(*aChanges.configText);
  }
  if (HasConfig() && !mIsStoreConfigUnreadable) {
    mServices.onConfirmed(aAsOf);
  }
  if (!aChanges.rollouts.empty()) {
    mServices.onOrders(aChanges.rollouts);
  }
  if (aChanges.isComplete || !aChanges.evacuations.empty()) {
    mServices.onEvacuations(aChanges);
  }
  if (isRestored) {
    mServices.onStoreRestored();
  }
}

bool
ConfigFollower::IsQueryOverdue() const
{
  const Timestamp now = mServices.scheduler.Now();
  if (!mRevision || !mQuerySentAt || mIsChecking ||
      now - *mQuerySentAt < kMaxUnconfirmedTime ||
      now - mLastCheckAt < kCheckInterval || !ShouldQueryStore()) {
    return false;
  }
  const auto age = mServices.confirmationAge();
  return !age || *age > kMaxUnconfirmedTime;
}

void
ConfigFollower::CheckStore()
{
  mLastCheckAt = mServices.scheduler.Now();
  mIsChecking = true;
  mServices.orders.Follow(
    *mRevision,
    Milliseconds(0),
    [this,
     generation = mQueryGeneration,
     sentAt = mServices.scheduler.BootTime()](
      const std::optional<OrderUpdate>& aChanges, const StoreReason&) {
      mIsChecking = false;
      if (!aChanges || generation != mQueryGeneration) {
        return;
      }
      TakeChanges(*aChanges, sentAt);
      if (mQuerySentAt) {
        // The pending query was sent earlier: its connection went silent, or a
        // backup reader waits for longer than the zone can do without it.
        ++mQueryGeneration;
        mQuerySentAt.reset();
        mLastQueryAnswered = true;
        QueryStoreIfNeeded();
      }
    });
}

void
ConfigFollower::QueryStoreIfNeeded()
{
  mIsQuerying = ShouldQueryStore();
  if (mIsQuerying) {
    QueryStore();
  } else {
    mLastQueryAnswered = false;
  }
}

void
ConfigFollower::SetStoreReachable(bool aReachable, const std::string& aReason)
{
  if (mStoreReachable != aReachable) {
    mStoreReachable = aReachable;
    mServices.onStoreReachable(aReachable, aReason);
  }
}

void
ConfigFollower::OnPeerVersion(const std::string& aAddress,
                              std::uint64_t aVersion)
{
  if (aVersion > Version() && !mIsPulling) {
    Pull(aAddress);
  }
}

void
ConfigFollower::Pull(const std::string& aAddress)
{
  mIsPulling = true;
  mServices.peers.Pull(
    aAddress,
    Version(),
    [this, aAddress](const std::optional<nodes::PullAnswer>& aAnswer) {
      mIsPulling = false;
      if (!aAnswer) {
        // The peer's messages arrive, but it can't be reached for a pull.
        if (!mIsQuerying) {
          ReadAll();
        }
        return;
      }
      const std::uint64_t before = Version();
      if (ApplyAnswer(*aAnswer, "peer " + aAddress) && Version() > before &&
          aAnswer->configVersion > Version()) {
        Pull(aAddress);
      }
    });
}

bool
ConfigFollower::ApplyAnswer(const nodes::PullAnswer& aAnswer,
                            const std::string& aSource)
{
  if (aAnswer.snapshot.empty()) {
    return ApplyChanges(aAnswer.changes, aSource);
  }
  config::ConfigReason reason;
  auto snapshot = DecodeSentSnapshot(aAnswer.snapshot, reason);
  if (!snapshot) {
    LogUnreadableConfig(aSource, reason.message);
    return false;
  }
  Apply(std::make_shared<const config::Snapshot>(std::move(*snapshot)),
        aSource);
  return true;
}

bool
ConfigFollower::ApplyChanges(const std::vector<std::string>& aChanges,
                             const std::string& aSource)
{
  for (const auto& it : aChanges) {
    config::ConfigReason reason;
    const auto change = DecodeSentChange(it, reason);
    if (!change) {
      LogUnreadableConfig(aSource, reason.message);
      return false;
    }
    // This change may have been read from the store in the meantime.
    if (change->baseVersion != Version()) {
      continue;
    }
    Apply(std::make_shared<const config::Snapshot>(
            config::ApplyChange(*mConfig, *change)),
          aSource);
  }
  return true;
}

void
ConfigFollower::ApplyConfigText(const std::string& aText)
{
  std::string reason;
  auto snapshot = mServices.orders.Decode(aText, reason);
  mIsStoreConfigUnreadable = snapshot == nullptr;
  if (!snapshot) {
    LogUnreadableConfig("store", reason);
    return;
  }
  Apply(std::move(snapshot), "store");
}

void
ConfigFollower::Apply(config::SnapshotPtr aConfig, const std::string& aSource)
{
  if (HasConfig() && aConfig->version <= Version()) {
    return;
  }
  mHistory.Add(mConfig, aConfig);
  mConfig = std::move(aConfig);
  mSource = aSource;
  mServices.onApplied(aSource == "store");
}

} // namespace knapweedpaddle::node
