#pragma once

#include "knapweedpaddle/common/Backoff.h"
#include "knapweedpaddle/config/ConfigStore.h"
#include "knapweedpaddle/node/ServingGate.h"
#include "knapweedpaddle/nodes/PeerClient.h"
#include "knapweedpaddle/runtime/Scheduler.h"
#include "knapweedpaddle/store/CatalogueReader.h"

#include <functional>
#include <random>

namespace knapweedpaddle::node {

/**
 * Keeps a node's configuration at the newest version. It reads the platform
 * when the node is one of its zone's readers, pulls from peers that have a
 * newer version, and decides when the node may serve calls.
 *
 * Thread safety: control thread only.
 */
class ConfigAgent
{
public:
  struct Services
  {
    runtime::Scheduler& scheduler;
    store::StoreClient& platform;
    nodes::PeerClient& peers;
    /** Called after a newer version was applied. */
    std::function<void()> onApplied;
    /** Called when the platform held no newer version than this node's at a
     * boot time. */
    std::function<void(Microseconds aAsOf)> onConfirmed;
    /** Called when this node starts or stops serving calls. */
    std::function<void()> onServingChange;
  };

  ConfigAgent(Services aServices, std::uint64_t aSeed);

  config::ConfigStore& Store() { return mStore; }
  const config::ConfigStore& Store() const { return mStore; }
  store::CatalogueReader& Reader() { return mReader; }

  /** Stops serving until the node is known to hold the newest version again. */
  void CloseGate();

  /** Handles what a peer's join answer says of configuration versions. */
  void OnJoinAnswer(const PeerVersionInfo& aPeer) { mGate.RecordPeer(aPeer); }

  /** To be called once every peer asked has answered or timed out. */
  void OnPeersAsked();

  /** Pulls from a peer if its version is newer than this node's. */
  void OnPeerVersion(const std::string& aAddress, std::uint64_t aVersion);

  /** Reads the number of the newest version from the platform, and the changes
   * up to it if it is newer. */
  void PollHead();

  /** Starts serving once the node holds the newest version; call often. */
  void UpdateGate();

  /** Handles a newer version in the store: notifies onApplied and checks
   * whether the node may serve. */
  void OnChangeApplied();

  bool IsServing() const { return mGate.IsOpen(); }
  std::uint64_t Version() const { return mStore.Version(); }

  /** Returns what a peer with version aFromVersion needs to catch up. */
  nodes::PullAnswer MakePullAnswer(std::uint64_t aFromVersion) const;

  std::uint64_t HeadPolls() const { return mHeadPolls; }
  std::uint64_t FailedPulls() const { return mFailedPulls; }

private:
  void ReadPlatformHead();
  /** Applies the changes up to a version that the platform held at a boot time.
   */
  void CatchUp(std::uint64_t aHead, Microseconds aAsOf);
  void Pull(const std::string& aAddress);
  bool Apply(const nodes::PullAnswer& aAnswer);

  Services mServices;
  std::mt19937_64 mRandom;
  config::ConfigStore mStore;
  store::CatalogueReader mReader;
  ServingGate mGate;
  Backoff mBackoff;
  /** Counts CloseGate() calls, to ignore answers to reads that began before the
   * last one. */
  std::uint64_t mGateGeneration = 0;
  bool mIsPulling = false;
  std::uint64_t mHeadPolls = 0;
  std::uint64_t mFailedPulls = 0;
};

} // namespace knapweedpaddle::node
