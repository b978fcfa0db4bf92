#include "knapweedpaddle/node/ServingGate.h"

#include <algorithm>

namespace knapweedpaddle::node {

namespace {

/** How long a node that already holds a configuration waits for anybody at all.
 */
constexpr Milliseconds kAloneAfter{ 3000 };

} // namespace

void
ServingGate::Close(Timestamp aNow)
{
  const std::uint64_t floor = mRequiredVersion;
  *this = ServingGate{};
  mRequiredVersion = floor;
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
  // A peer that is starting as well, as in a herd, knows of no newest version.
  mServingPeerAnswered |= aPeer.serving;
  mRequiredVersion =
    std::max({ mRequiredVersion, aPeer.version, aPeer.remembered });
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
  const bool heard = mPlatformAnswered || (mServingPeerAnswered && mPeersAsked);
  // Without anybody in reach a fresh node holds nothing, and so stays closed.
  const bool alone = aOwnVersion > 0 && aNow - mClosedAt >= kAloneAfter;
  mOpen = aOwnVersion >= mRequiredVersion && (heard || alone);
  return mOpen;
}

} // namespace knapweedpaddle::node
