#include "knapweedpaddle/node/ServingGate.h"

#include <algorithm>

namespace knapweedpaddle::node {

namespace {

/** How long a node that already holds a configuration waits for anybody at all.
 */
constexpr Milliseconds kAloneAfter{ 3000 };

} // namespace

void
ServingGate::Begin(Timestamp aNow)
{
  const std::uint64_t floor = mFloor;
  *this = ServingGate{};
  mFloor = floor;
  mBegan = aNow;
}

void
ServingGate::NotePlatform(std::uint64_t aHead)
{
  mPlatformAnswered = true;
  mFloor = std::max(mFloor, aHead);
}

void
ServingGate::NotePeer(const PeerKnowledge& aPeer)
{
  // A peer that is starting as well, as in a herd, knows of no newest version.
  mServingPeerAnswered |= aPeer.serving;
  mFloor = std::max({ mFloor, aPeer.version, aPeer.remembered });
}

void
ServingGate::NotePeersAsked()
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
  const bool alone = aOwnVersion > 0 && aNow - mBegan >= kAloneAfter;
  mOpen = aOwnVersion >= mFloor && (heard || alone);
  return mOpen;
}

} // namespace knapweedpaddle::node
