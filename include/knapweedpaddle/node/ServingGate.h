#pragma once

#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <optional>

/** Puts the parts of a node together. */
namespace knapweedpaddle::node {

/** What a peer that was asked says of versions. */
struct PeerVersionInfo
{
  std::uint64_t version = 0;
  std::uint64_t remembered =
    0;                  ///< highest version heard from the asking address
  bool serving = false; ///< the peer is itself known to be up to date
};

/**
 * Decides when a node that started, or that was paused, may serve: once it
 * holds the newest version that the platform or its peers know of, or remember
 * this node's address to have held. So no address goes back to an older
 * version.
 *
 * Thread safety: control thread only.
 */
class ServingGate
{
public:
  /** Closes the gate and forgets what was learned. */
  void Close(Timestamp aNow);

  void RecordPlatformVersion(std::uint64_t aHead);
  void RecordPeer(const PeerVersionInfo& aPeer);

  /** Notes that every peer asked has answered or timed out. */
  void RecordPeersAsked();

  /**
   * Opens the gate when that is safe.
   *
   * @param aOwnVersion  version that the node holds.
   * @return true once it is open.
   */
  bool Update(std::uint64_t aOwnVersion, Timestamp aNow);

  bool IsOpen() const { return mOpen; }

private:
  bool mOpen = false;
  Timestamp mClosedAt{};
  std::uint64_t mRequiredVersion = 0;
  bool mPlatformAnswered = false;
  bool mServingPeerAnswered = false;
  bool mPeersAsked = false;
};

} // namespace knapweedpaddle::node
