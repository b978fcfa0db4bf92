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

/** In which the store usually sends what a peer has already. */
constexpr Milliseconds kPullDelay{ 250 };

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
  ReadAll();
}

void
ConfigFollower::Refresh()
{
  ++mRound;
  ReadAll();
}

std::uint64_t
ConfigFollower::Version() const
{
  return mConfig.snapshot ? mConfig.snapshot->version : 0;
}

void
ConfigFollower::ReadAll()
{
  mServices.desk.ReadAll(
    [this, round = mRound](const std::optional<OrderNews>& aNews,
                           const StoreReason& aReason) {
      if (round != mRound) {
        return;
      }
      if (!aNews) {
        Retry(aReason);
        return;
      }
      OnNews(*aNews);
    });
}

void
ConfigFollower::Follow(std::uint64_t aAfter)
{
  mServices.desk.Follow(
    aAfter,
    kFollowWait,
    [this, round = mRound, aAfter](const std::optional<OrderNews>& aNews,
                                   const StoreReason& aReason) {
      if (round != mRound) {
        return;
      }
      if (aNews) {
        OnNews(*aNews);
        return;
      }
      if (aReason.code == StoreError::kHistoryGone) {
        ReadAll();
        return;
      }
      NoteStore(false, aReason.message);
      mServices.scheduler.RunAfter(mBackoff.Next(mRandom),
                                   [this, round, aAfter] {
                                     if (round == mRound) {
                                       Follow(aAfter);
                                     }
                                   });
    });
}

void
ConfigFollower::OnNews(const OrderNews& aNews)
{
  mBackoff.Reset();
  NoteStore(true, "");
  if (aNews.configText) {
    Apply(*aNews.configText, "store");
  }
  if (!aNews.rollouts.empty()) {
    mServices.onOrders(aNews.rollouts);
  }
  Follow(aNews.revision);
}

void
ConfigFollower::Retry(const StoreReason& aReason)
{
  NoteStore(false, aReason.message);
  mServices.scheduler.RunAfter(mBackoff.Next(mRandom), [this, round = mRound] {
    if (round == mRound) {
      ReadAll();
    }
  });
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
  if (aVersion <= Version() || mPulling) {
    return;
  }
  mPulling = true;
  const Milliseconds delay =
    mStoreReachable.value_or(false) ? kPullDelay : Milliseconds(0);
  mServices.scheduler.RunAfter(delay, [this, aAddress, aVersion] {
    if (aVersion <= Version()) {
      mPulling = false;
      return;
    }
    Pull(aAddress);
  });
}

void
ConfigFollower::Pull(const std::string& aAddress)
{
  mServices.peers.Pull(
    aAddress,
    Version(),
    [this, aAddress](const std::optional<nodes::PullAnswer>& aAnswer) {
      mPulling = false;
      if (aAnswer && !aAnswer->snapshot.empty()) {
        Apply(aAnswer->snapshot, "peer " + aAddress);
      }
    });
}

nodes::PullAnswer
ConfigFollower::MakePullAnswer(std::uint64_t aFrom) const
{
  nodes::PullAnswer answer;
  answer.configVersion = Version();
  if (answer.configVersion > aFrom) {
    answer.snapshot = mText;
  }
  return answer;
}

void
ConfigFollower::Apply(const std::string& aText, const std::string& aSource)
{
  std::string reason;
  auto config = mServices.desk.Decode(aText, reason);
  if (!config) {
    telemetry::LogEvent(telemetry::LogCategory::kConfig,
                        telemetry::LogLevel::kError,
                        "config_unreadable",
                        { { "source", aSource }, { "reason", reason } });
    return;
  }
  if (HasConfig() && config->snapshot->version <= Version()) {
    return;
  }
  mConfig = std::move(*config);
  mText = aText;
  mSource = aSource;
  mServices.onApplied();
}

} // namespace knapweedpaddle::node
