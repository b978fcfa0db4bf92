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
 * Keeps a node's configuration at the newest version: reads the platform when
 * the node is one of its zone's readers, pulls from peers that are ahead, and
 * says when the node may serve.
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
    std::function<void()> onApplied;       ///< a newer version is in force here
    std::function<void()> onServingChange; ///< the gate opened or closed
  };

  ConfigAgent(Services aServices, std::uint64_t aSeed);

  config::ConfigStore& Store() { return mStore; }
  const config::ConfigStore& Store() const { return mStore; }
  store::CatalogueReader& Reader() { return mReader; }

  /** Closes the gate until the node is known to be up to date again. */
  void BeginGate();

  /** Takes over what a peer answered to a join. */
  void OnJoinAnswer(const PeerVersionInfo& aPeer) { mGate.RecordPeer(aPeer); }

  /** Notes that every peer asked has answered or timed out. */
  void OnPeersAsked();

  /** Hears of a peer's version, and pulls from it when it is ahead. */
  void OnPeerVersion(const std::string& aAddress, std::uint64_t aVersion);

  /** Reads the platform's newest version and catches up with it. */
  void PollHead();

  /** Opens the gate when that is safe; call often. */
  void UpdateGate();

  /** Tells others that the store was changed by an accepted change. */
  void NoteApplied();

  bool IsServing() const { return mGate.IsOpen(); }
  std::uint64_t Version() const { return mStore.Version(); }

  /** Answers a peer's pull. */
  nodes::PullAnswer MakePullAnswer(std::uint64_t aFromVersion) const;

  std::uint64_t HeadPolls() const { return mHeadPolls; }
  std::uint64_t FailedPulls() const { return mFailedPulls; }

private:
  void AskPlatform();
  void Pull(const std::string& aAddress);
  bool Apply(const nodes::PullAnswer& aAnswer);

  Services mServices;
  std::mt19937_64 mRandom;
  config::ConfigStore mStore;
  store::CatalogueReader mReader;
  ServingGate mGate;
  Backoff mBackoff;
  std::uint64_t mGateRound = 0; ///< tells answers of an earlier closing apart
  bool mPulling = false;
  std::uint64_t mHeadPolls = 0;
  std::uint64_t mFailedPulls = 0;
};

} // namespace knapweedpaddle::node
