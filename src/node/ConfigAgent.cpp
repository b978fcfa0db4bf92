#include "knapweedpaddle/node/ConfigAgent.h"

#include "knapweedpaddle/config/EntryCodec.h"

namespace knapweedpaddle::node {

namespace {

constexpr std::size_t kKeptChanges = 256; ///< changes kept for peers' pulls
constexpr std::int64_t kMaxPullDelayMs = 50;
constexpr Milliseconds kFirstRetryDelay{ 500 };
constexpr Milliseconds kMaxRetryDelay{ 8000 };

} // namespace

ConfigAgent::ConfigAgent(Services aServices, std::uint64_t aSeed)
  : mServices(std::move(aServices))
  , mRandom(aSeed)
  , mStore(kKeptChanges)
  , mReader(mServices.platform, mStore, [this] { OnChangeApplied(); })
  , mBackoff(kFirstRetryDelay, kMaxRetryDelay)
{
}

void
ConfigAgent::CloseGate()
{
  const bool wasOpen = mGate.IsOpen();
  mGate.Close(mServices.scheduler.Now());
  ++mGateGeneration;
  mBackoff.Reset();
  if (wasOpen) {
    mServices.onServingChange();
  }
  ReadPlatformHead();
}

void
ConfigAgent::ReadPlatformHead()
{
  const std::uint64_t generation = mGateGeneration;
  const Microseconds sentAt = mServices.scheduler.BootTime();
  mReader.ReadHead(
    [this, generation, sentAt](std::optional<std::uint64_t> aHead) {
      if (generation != mGateGeneration || mGate.IsOpen()) {
        return;
      }
      if (aHead) {
        mGate.RecordPlatformVersion(*aHead);
        CatchUp(*aHead, sentAt);
      }
      mServices.scheduler.RunAfter(mBackoff.Next(mRandom), [this, generation] {
        if (generation == mGateGeneration && !mGate.IsOpen()) {
          ReadPlatformHead();
        }
      });
    });
}

void
ConfigAgent::CatchUp(std::uint64_t aHead, Microseconds aAsOf)
{
  mReader.CatchUp(aHead, [this, aHead, aAsOf](bool) {
    UpdateGate();
    if (mStore.Version() >= aHead) {
      mServices.onConfirmed(aAsOf);
    }
  });
}

void
ConfigAgent::OnPeersAsked()
{
  mGate.RecordPeersAsked();
  UpdateGate();
}

void
ConfigAgent::OnPeerVersion(const std::string& aAddress, std::uint64_t aVersion)
{
  if (aVersion <= mStore.Version() || mIsPulling) {
    return;
  }
  mIsPulling = true;
  // A random delay keeps all nodes from pulling from one peer at once.
  const Milliseconds delay(
    static_cast<std::int64_t>(mRandom() % kMaxPullDelayMs));
  mServices.scheduler.RunAfter(delay, [this, aAddress] { Pull(aAddress); });
}

void
ConfigAgent::Pull(const std::string& aAddress)
{
  mServices.peers.Pull(aAddress,
                       mStore.Version(),
                       [this](const std::optional<nodes::PullAnswer>& aAnswer) {
                         mIsPulling = false;
                         if (!aAnswer || !Apply(*aAnswer)) {
                           ++mFailedPulls;
                         }
                       });
}

bool
ConfigAgent::Apply(const nodes::PullAnswer& aAnswer)
{
  const std::uint64_t before = mStore.Version();
  config::ConfigReason reason;
  if (!aAnswer.snapshot.empty()) {
    if (const auto snapshot =
          config::DecodeSnapshot(aAnswer.snapshot, reason)) {
      mStore.Replace(*snapshot, reason);
    }
  }
  for (const auto& it : aAnswer.changes) {
    if (const auto change = config::DecodeChange(it, reason)) {
      mStore.Apply(*change, reason);
    }
  }
  if (mStore.Version() == before) {
    return false;
  }
  OnChangeApplied();
  return true;
}

void
ConfigAgent::PollHead()
{
  ++mHeadPolls;
  const Microseconds sentAt = mServices.scheduler.BootTime();
  mReader.ReadHead([this, sentAt](std::optional<std::uint64_t> aHead) {
    if (aHead) {
      CatchUp(*aHead, sentAt);
    }
  });
}

void
ConfigAgent::UpdateGate()
{
  if (!mGate.IsOpen() &&
      mGate.Update(mStore.Version(), mServices.scheduler.Now())) {
    mServices.onServingChange();
  }
}

void
ConfigAgent::OnChangeApplied()
{
  mServices.onApplied();
  UpdateGate();
}

nodes::PullAnswer
ConfigAgent::MakePullAnswer(std::uint64_t aFromVersion) const
{
  nodes::PullAnswer answer;
  answer.configVersion = mStore.Version();
  if (const auto changes = mStore.ChangesAfter(aFromVersion)) {
    for (const auto& it : *changes) {
      answer.changes.push_back(config::EncodeChange(it));
    }
  } else {
    answer.snapshot = config::EncodeSnapshot(*mStore.Current());
  }
  return answer;
}

} // namespace knapweedpaddle::node
