#include "knapweedpaddle/node/ServingGate.h"

#include <algorithm>

namespace knapweedpaddle::node {

namespace {

/** A node that holds a configuration serves without an answer from the platform
 * or a serving peer after this time. */
constexpr Milliseconds kMaxWaitForAnswers{ 3000 };

} // namespace

void
ServingGate::Close(Timestamp aNow)
{
  const std::uint64_t requiredVersion = mRequiredVersion;
  *this = ServingGate{};
  mRequiredVersion = requiredVersion;
  mClosedAt = aNow;
}

void
ServingGate::RecordPlatformVersion(std::uint64_t aHead)
{
  mPlatformAnswered = true;
  mRequiredVersion = std::max(mRequiredVersion, aHead);
}

void
ServingGate::RecordPeer(const PeerVersionInfo& aPeer)
{
  // A peer that is itself starting, as when many nodes start at once, may not
  // know the newest version, so its answer alone does not open the gate.
  mServingPeerAnswered |= aPeer.serving;
  mRequiredVersion =
    std::max({ mRequiredVersion, aPeer.version, aPeer.rememberedVersion });
}

void
ServingGate::RecordPeersAsked()
{
  mPeersAsked = true;
}

bool
ServingGate::Update(std::uint64_t aOwnVersion, Timestamp aNow)
{
  if (mOpen) {
    return true;
  }
  const bool answered =
    mPlatformAnswered || (mServingPeerAnswered && mPeersAsked);
  // A node that starts while nothing is reachable holds no configuration
  // (version 0), so its gate stays closed.
  const bool timedOut =
    aOwnVersion > 0 && aNow - mClosedAt >= kMaxWaitForAnswers;
  mOpen = aOwnVersion >= mRequiredVersion && (answered || timedOut);
  return mOpen;
}

} // namespace knapweedpaddle::node
