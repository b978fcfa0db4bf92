#include "knapweedpaddle/node/ConfigFollower.h"

#include "knapweedpaddle/telemetry/Log.h"

namespace knapweedpaddle::node {

using operators::OrderNews;
using store::StoreError;
using store::StoreReason;

namespace {

constexpr Milliseconds kFirstRetry{ 100 };
constexpr Milliseconds kLongestRetry{ 1000 };
/** Bounds how long a connection that went silent goes unnoticed. */
constexpr Milliseconds kFollowWait{ 5000 };
/** A starting node waits up to this for a peer's configuration, so that a herd
 * does not read the store all at once. */
constexpr Milliseconds kLongestStartDelay{ 500 };
/** A starting node knows too few members to tell who the readers are; it reads
 * the store once and follows it after this. */
constexpr Milliseconds kReaderGrace{ 1000 };
/** With older news the whole table is read: its history may be gone, and holds
 * each change that came since. */
constexpr Milliseconds kFollowFrom{ 10'000 };
/** Without a message for so long, peers can't be relied on for changes. Each
 * probe period brings at least one when they are reachable. */
constexpr Milliseconds kLonely{ 1300 };

void
LogRefused(const std::string& aSource, const std::string& aReason)
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
  , mBackoff(kFirstRetry, kLongestRetry)
{
}

void
ConfigFollower::Start()
{
  const Timestamp now = mServices.scheduler.Now();
  const Milliseconds delay(std::uniform_int_distribution<std::int64_t>(
    0, kLongestStartDelay.count())(mRandom));
  mAloneUntil = now + delay;
  mReaderFrom = now + kReaderGrace;
  mPeerHeardAt = now;
  mServices.scheduler.RunAfter(delay, [this] { Tick(); });
}

bool
ConfigFollower::WantsStore() const
{
  const Timestamp now = mServices.scheduler.Now();
  if (!HasConfig() && !mRevision) {
    return now >= mAloneUntil;
  }
  const bool isReader = now >= mReaderFrom && mServices.isReader();
  return isReader || now - mPeerHeardAt > kLonely;
}

void
ConfigFollower::Tick()
{
  if (!mAsking && WantsStore()) {
    Ask();
  }
}

void
ConfigFollower::Refresh()
{
  mAloneUntil = mServices.scheduler.Now();
  ++mRound;
  ReadAll();
}

void
ConfigFollower::Ask()
{
  const bool isFresh =
    mRevision && mServices.scheduler.Now() - mNewsAt <= kFollowFrom;
  if (isFresh) {
    Follow();
  } else {
    ReadAll();
  }
}

void
ConfigFollower::ReadAll()
{
  mAsking = true;
  mServices.desk.ReadAll(
    [this, round = mRound](const std::optional<OrderNews>& aNews,
                           const StoreReason& aReason) {
      if (round == mRound) {
        OnAnswer(aNews, aReason);
      }
    });
}

void
ConfigFollower::Follow()
{
  mAsking = true;
  mServices.desk.Follow(
    *mRevision,
    kFollowWait,
    [this, round = mRound](const std::optional<OrderNews>& aNews,
                           const StoreReason& aReason) {
      if (round == mRound) {
        OnAnswer(aNews, aReason);
      }
    });
}

void
ConfigFollower::OnAnswer(const std::optional<OrderNews>& aNews,
                         const StoreReason& aReason)
{
  if (aNews) {
    OnNews(*aNews);
  } else if (aReason.code == StoreError::kHistoryGone) {
    ReadAll();
  } else {
    NoteStore(false, aReason.message);
    mServices.scheduler.RunAfter(mBackoff.Next(mRandom),
                                 [this, round = mRound] {
                                   if (round == mRound) {
                                     AskAgain();
                                   }
                                 });
  }
}

void
ConfigFollower::OnNews(const OrderNews& aNews)
{
  mBackoff.Reset();
  NoteStore(true, "");
  mRevision = aNews.revision;
  mNewsAt = mServices.scheduler.Now();
  if (aNews.configText) {
    ApplyText(*aNews.configText);
  }
  if (!aNews.rollouts.empty()) {
    mServices.onOrders(aNews.rollouts);
  }
  AskAgain();
}

void
ConfigFollower::AskAgain()
{
  mAsking = WantsStore();
  if (mAsking) {
    Ask();
  }
}

void
ConfigFollower::NoteStore(bool aReachable, const std::string& aWhy)
{
  if (mStoreReachable != aReachable) {
    mStoreReachable = aReachable;
    mServices.onStore(aReachable, aWhy);
  }
}

void
ConfigFollower::OnPeerVersion(const std::string& aAddress,
                              std::uint64_t aVersion)
{
  if (aVersion > Version() && !mPulling) {
    Pull(aAddress);
  }
}

void
ConfigFollower::Pull(const std::string& aAddress)
{
  mPulling = true;
  mServices.peers.Pull(
    aAddress,
    Version(),
    [this, aAddress](const std::optional<nodes::PullAnswer>& aAnswer) {
      mPulling = false;
      if (!aAnswer) {
        // The peer is heard but can't be asked.
        if (!mAsking) {
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
    LogRefused(aSource, reason.message);
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
      LogRefused(aSource, reason.message);
      return false;
    }
    // The store may have brought this one meanwhile.
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
ConfigFollower::ApplyText(const std::string& aText)
{
  std::string reason;
  auto snapshot = mServices.desk.Decode(aText, reason);
  if (!snapshot) {
    LogRefused("store", reason);
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
