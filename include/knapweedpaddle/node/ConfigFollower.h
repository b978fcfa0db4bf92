#pragma once

#include "knapweedpaddle/common/Backoff.h"
#include "knapweedpaddle/node/ConfigHistory.h"
#include "knapweedpaddle/nodes/PeerClient.h"
#include "knapweedpaddle/operators/OrderDesk.h"
#include "knapweedpaddle/runtime/Scheduler.h"

namespace knapweedpaddle::node {

/**
 * Holds the newest configuration that operators wrote. Nodes with the reader's
 * duty follow the store; the others take changes from peers that are ahead, and
 * read the store themselves while they hear no peer. Versions only rise.
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
    std::function<bool()> isReader;
    /** @param aFromStore  false when a peer sent the configuration. */
    std::function<void(bool aFromStore)> onApplied;
    std::function<void(const std::vector<operators::RolloutOrder>&)> onOrders;
    /** Hears when the store is lost and regained. */
    std::function<void(bool aReachable, const std::string& aWhy)>
      onStoreReachable;
  };

  ConfigFollower(Services aServices, std::uint64_t aSeed);

  /** Begins to look for a configuration. */
  void Start();

  /** Follows the store or stops doing so; call every 100 ms. */
  void Tick();

  /** Reads everything anew, as after a pause of the process. */
  void ReadStoreAgain();

  /** Notes a message of any peer. */
  void OnPeerMessage() { mPeerHeardAt = mServices.scheduler.Now(); }

  /** Takes the configuration of a peer that is ahead. */
  void OnPeerVersion(const std::string& aAddress, std::uint64_t aVersion);

  /** Answers a peer that is behind. */
  nodes::PullAnswer MakePullAnswer(std::uint64_t aFrom)
  {
    return mHistory.MakePullAnswer(aFrom);
  }

  bool HasConfig() const { return mConfig != nullptr; }
  std::uint64_t Version() const { return mConfig ? mConfig->version : 0; }
  const config::SnapshotPtr& Current() const { return mConfig; }

  /** Where the configuration in force came from. */
  const std::string& Source() const { return mSource; }

private:
  bool ShouldQueryStore() const;
  void QueryStore();
  void QueryStoreIfNeeded();
  void ReadAll();
  void WaitForStoreChanges();
  void OnStoreAnswer(const std::optional<operators::OrderNews>& aNews,
                     const store::StoreReason& aReason);
  void OnStoreChanges(const operators::OrderNews& aNews);
  void SetStoreReachable(bool aReachable, const std::string& aWhy);
  void Pull(const std::string& aAddress);
  bool ApplyAnswer(const nodes::PullAnswer& aAnswer,
                   const std::string& aSource);
  bool ApplyChanges(const std::vector<std::string>& aChanges,
                    const std::string& aSource);
  void ApplyConfigText(const std::string& aText);
  void Apply(config::SnapshotPtr aConfig, const std::string& aSource);

  Services mServices;
  std::mt19937_64 mRandom;
  Backoff mBackoff;
  config::SnapshotPtr mConfig;
  std::string mSource;
  ConfigHistory mHistory;
  std::uint64_t mQueryGeneration = 0; ///< outdates calls of earlier rounds
  bool mIsQuerying = false; ///< a call to the store or its retry is under way
  std::optional<std::uint64_t> mRevision; ///< of the store's last news
  Timestamp mRevisionReadAt{};            ///< when they came
  bool mIsPulling = false;
  Timestamp mReaderDutyFrom{}; ///< before it the readers can't be told
  Timestamp mFirstQueryAt{};   ///< before it peers may bring the configuration
  Timestamp mPeerHeardAt{};
  std::optional<bool> mStoreReachable;
};

} // namespace knapweedpaddle::node
