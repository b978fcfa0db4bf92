#include "knapweedpaddle/node/ConfigFollower.h"

#include "knapweedpaddle/telemetry/Log.h"

namespace knapweedpaddle::node {

using operators::OrderNews;
using store::StoreError;
using store::StoreReason;

namespace {

constexpr Milliseconds kFirstRetryDelay{ 100 };
constexpr Milliseconds kMaxRetryDelay{ 1000 };
/** Bounds how long a connection that went silent goes unnoticed. */
constexpr Milliseconds kMaxStoreWait{ 5000 };
/** A starting node waits up to this for a peer's configuration, so that a herd
 * does not read the store all at once. */
constexpr Milliseconds kMaxStartDelay{ 500 };
/** A starting node knows too few members to tell who the readers are; it reads
 * the store once and follows it after this. */
constexpr Milliseconds kReaderDutyDelay{ 1000 };
/** With older news the whole table is read: its history may be gone, and holds
 * each change that came since. */
constexpr Milliseconds kMaxRevisionAge{ 10'000 };
/** Without a message for so long, peers can't be relied on for changes. Each
 * probe period brings at least one when they are reachable. */
constexpr Milliseconds kMaxPeerSilence{ 1300 };

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
  mPeerHeardAt = now;
  mServices.scheduler.RunAfter(delay, [this] { Tick(); });
}

bool
ConfigFollower::ShouldQueryStore() const
{
  const Timestamp now = mServices.scheduler.Now();
  if (!HasConfig() && !mRevision) {
    return now >= mFirstQueryAt;
  }
  const bool isReader = now >= mReaderDutyFrom && mServices.isReader();
  return isReader || now - mPeerHeardAt > kMaxPeerSilence;
}

void
ConfigFollower::Tick()
{
  if (!mIsQuerying && ShouldQueryStore()) {
    QueryStore();
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
  mServices.desk.ReadAll(
    [this, round = mQueryGeneration](const std::optional<OrderNews>& aNews,
                                     const StoreReason& aReason) {
      if (round == mQueryGeneration) {
        OnStoreAnswer(aNews, aReason);
      }
    });
}

void
ConfigFollower::WaitForStoreChanges()
{
  mIsQuerying = true;
  mServices.desk.Follow(
    *mRevision,
    kMaxStoreWait,
    [this, round = mQueryGeneration](const std::optional<OrderNews>& aNews,
                                     const StoreReason& aReason) {
      if (round == mQueryGeneration) {
        OnStoreAnswer(aNews, aReason);
      }
    });
}

void
ConfigFollower::OnStoreAnswer(const std::optional<OrderNews>& aNews,
                              const StoreReason& aReason)
{
  if (aNews) {
    OnStoreChanges(*aNews);
  } else if (aReason.code == StoreError::kHistoryGone) {
    ReadAll();
  } else {
    SetStoreReachable(false, aReason.message);
    mServices.scheduler.RunAfter(mBackoff.Next(mRandom),
                                 [this, round = mQueryGeneration] {
                                   if (round == mQueryGeneration) {
                                     QueryStoreIfNeeded();
                                   }
                                 });
  }
}

void
ConfigFollower::OnStoreChanges(const OrderNews& aNews)
{
  mBackoff.Reset();
  SetStoreReachable(true, "");
  mRevision = aNews.revision;
  mRevisionReadAt = mServices.scheduler.Now();
  if (aNews.configText) {
    ApplyConfigText(*aNews.configText);
  }
  if (!aNews.rollouts.empty()) {
    mServices.onOrders(aNews.rollouts);
  }
  QueryStoreIfNeeded();
}

void
ConfigFollower::QueryStoreIfNeeded()
{
  mIsQuerying = ShouldQueryStore();
  if (mIsQuerying) {
    QueryStore();
  }
}

void
ConfigFollower::SetStoreReachable(bool aReachable, const std::string& aWhy)
{
  if (mStoreReachable != aReachable) {
    mStoreReachable = aReachable;
    mServices.onStoreReachable(aReachable, aWhy);
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
        // The peer is heard but can't be asked.
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
    // The store may have brought this one meanwhile.
    if (change->baseVersion != Version()) {
      continue;
    }
    Apply(std::make_shared<const config::Snapshot>(
            config::WithChange(*mConfig, *change)),
          aSource);
  }
  return true;
}

void
ConfigFollower::ApplyConfigText(const std::string& aText)
{
  std::string reason;
  auto snapshot = mServices.desk.Decode(aText, reason);
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
