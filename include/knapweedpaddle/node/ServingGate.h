#pragma once

#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <optional>

/** The agents and planes that make up a node process. */
namespace knapweedpaddle::node {

/** Configuration versions that a peer reported in its join answer. */
struct PeerVersionInfo
{
  std::uint64_t version = 0; ///< version that the peer holds
  /** Highest version that the peer has received from this node's address. */
  std::uint64_t rememberedVersion = 0;
  bool serving = false; ///< whether the peer has passed its own serving gate
};

/**
 * Decides when a node may serve after a start or a pause of its process: once
 * its configuration is at least as new as every version that the platform and
 * its peers reported, and as the versions that peers remember for this node's
 * address. Otherwise a restarted node could serve an older version than the
 * one it served before at the same address.
 *
 * Thread safety: control thread only.
 */
class ServingGate
{
public:
  /**
   * Closes the gate and discards all answers so far. The required version is
   * kept.
   */
  void Close(Timestamp aNow);

  /** Records the newest version that the platform holds. */
  void RecordPlatformVersion(std::uint64_t aHead);

  /** Records the versions that a peer reported. */
  void RecordPeer(const PeerVersionInfo& aPeer);

  /** Records that every peer asked has answered or timed out. */
  void RecordPeersAsked();

  /**
   * Opens the gate if the node is up to date.
   *
   * @param aOwnVersion  version that the node holds.
   * @return true if the gate is open.
   */
  bool Update(std::uint64_t aOwnVersion, Timestamp aNow);

  bool IsOpen() const { return mOpen; }

private:
  bool mOpen = false;
  Timestamp mClosedAt{};
  std::uint64_t mRequiredVersion = 0; ///< oldest version that may be served
  bool mPlatformAnswered = false;
  bool mServingPeerAnswered = false;
  bool mPeersAsked = false; ///< every peer asked has answered or timed out
};

} // namespace knapweedpaddle::node
