#include "knapweedpaddle/node/ConfigAgent.h"

#include "knapweedpaddle/config/EntryCodec.h"

namespace knapweedpaddle::node {

namespace {

constexpr std::size_t kHistory = 256; ///< changes kept for peers
constexpr std::int64_t kPullSpreadMs = 50;
constexpr Milliseconds kFirstRetry{ 500 };
constexpr Milliseconds kLongestRetry{ 8000 };

} // namespace

ConfigAgent::ConfigAgent(Services aServices, std::uint64_t aSeed)
  : mServices(std::move(aServices))
  , mRandom(aSeed)
  , mStore(kHistory)
  , mReader(mServices.platform, mStore, [this] { NoteApplied(); })
  , mBackoff(kFirstRetry, kLongestRetry)
{
}

void
ConfigAgent::BeginGate()
{
  const bool wasOpen = mGate.IsOpen();
  mGate.Close(mServices.scheduler.Now());
  ++mGateRound;
  mBackoff.Reset();
  if (wasOpen) {
    mServices.onServingChange();
  }
  AskPlatform();
}

void
ConfigAgent::AskPlatform()
{
  const std::uint64_t round = mGateRound;
  mReader.ReadHead([this, round](std::optional<std::uint64_t> aHead) {
    if (round != mGateRound || mGate.IsOpen()) {
      return;
    }
    if (aHead) {
      mGate.RecordPlatformVersion(*aHead);
      mReader.CatchUp(*aHead, [this](bool) { UpdateGate(); });
    }
    mServices.scheduler.RunAfter(mBackoff.Next(mRandom), [this, round] {
      if (round == mGateRound && !mGate.IsOpen()) {
        AskPlatform();
      }
    });
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
  if (aVersion <= mStore.Version() || mPulling) {
    return;
  }
  mPulling = true;
  // Spread, so that the one node that is ahead isn't asked by all at once.
  const Milliseconds delay(
    static_cast<std::int64_t>(mRandom() % kPullSpreadMs));
  mServices.scheduler.RunAfter(delay, [this, aAddress] { Pull(aAddress); });
}

void
ConfigAgent::Pull(const std::string& aAddress)
{
  mServices.peers.Pull(aAddress,
                       mStore.Version(),
                       [this](const std::optional<nodes::PullAnswer>& aAnswer) {
                         mPulling = false;
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
  NoteApplied();
  return true;
}

void
ConfigAgent::PollHead()
{
  ++mHeadPolls;
  mReader.ReadHead([this](std::optional<std::uint64_t> aHead) {
    if (aHead && *aHead > mStore.Version()) {
      mReader.CatchUp(*aHead, [](bool) {});
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
ConfigAgent::NoteApplied()
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
