#pragma once

#include "knapweedpaddle/common/Backoff.h"
#include "knapweedpaddle/nodes/PeerClient.h"
#include "knapweedpaddle/operators/OrderDesk.h"
#include "knapweedpaddle/runtime/Scheduler.h"

namespace knapweedpaddle::node {

/**
 * Holds the newest configuration that operators wrote: follows the store, and
 * takes it from peers that are ahead. Versions only rise.
 *
 * Thread safety: control thread only.
 */
class ConfigFollower
{
public:
  struct Services
  {
    runtime::Scheduler& scheduler;
    operators::OrderDesk& desk;
    nodes::PeerClient& peers;
    std::function<void()> onApplied;
    std::function<void(const std::vector<operators::RolloutOrder>&)> onOrders;
    /** Hears when the store is lost and regained. */
    std::function<void(bool aReachable, const std::string& aWhy)> onStore;
  };

  ConfigFollower(Services aServices, std::uint64_t aSeed);

  /** Begins to follow the store. */
  void Start();

  /** Reads everything anew, as after a pause of the process. */
  void Refresh();

  /** Takes the configuration of a peer that is ahead, unless the store sends it
   * first. */
  void OnPeerVersion(const std::string& aAddress, std::uint64_t aVersion);

  /** Answers a peer that is behind. */
  nodes::PullAnswer MakePullAnswer(std::uint64_t aFrom) const;

  bool HasConfig() const { return mConfig.snapshot != nullptr; }
  std::uint64_t Version() const;
  const operators::OrderedConfig& Current() const { return mConfig; }

  /** Where the configuration in force came from. */
  const std::string& Source() const { return mSource; }

private:
  void ReadAll();
  void Follow(std::uint64_t aAfter);
  void OnNews(const operators::OrderNews& aNews);
  void Pull(const std::string& aAddress);
  void Retry(const store::StoreReason& aReason);
  void NoteStore(bool aReachable, const std::string& aWhy);
  void Apply(const std::string& aText, const std::string& aSource);

  Services mServices;
  std::mt19937_64 mRandom;
  Backoff mBackoff;
  operators::OrderedConfig mConfig;
  std::string mText; ///< of the configuration, as operators wrote it
  std::string mSource;
  std::uint64_t mRound = 0; ///< outdates calls from before Refresh()
  bool mPulling = false;
  std::optional<bool> mStoreReachable;
};

} // namespace knapweedpaddle::node
