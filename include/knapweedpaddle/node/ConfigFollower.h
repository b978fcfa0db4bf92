#pragma once

#include "knapweedpaddle/common/Backoff.h"
#include "knapweedpaddle/node/ConfigHistory.h"
#include "knapweedpaddle/nodes/PeerClient.h"
#include "knapweedpaddle/operators/OrderStore.h"
#include "knapweedpaddle/runtime/Scheduler.h"

namespace knapweedpaddle::node {

/** A node's part in the duty to follow the store for its zone. */
enum class ReaderRole
{
  kNone,
  kFirst,  ///< confirms the configuration for the zone
  kBackup, ///< reads changes as well, and replaces a first reader that fails
};

/**
 * Keeps the newest configuration that operators wrote. Nodes that hold the
 * reader duty follow the store. The others pull changes from peers that have a
 * newer version, and read the store themselves while they hear from no peer.
 * The version never decreases.
 *
 * Thread safety: control thread only.
 */
class ConfigFollower
{
public:
  struct Services
  {
    runtime::Scheduler& scheduler;
    operators::OrderStore& orders;
    nodes::PeerClient& peers;
    /** Returns this node's part in the reader duty. */
    std::function<ReaderRole()> readerRole;
    /** Returns the time since the configuration was last confirmed to be the
     * newest, by the store or by peers; nothing if it never was. */
    std::function<std::optional<Milliseconds>()> confirmationAge;
    /**
     * Called after a newer configuration was applied.
     *
     * @param aFromStore  false when the configuration came from a peer.
     */
    std::function<void(bool aFromStore)> onApplied;
    /** Called when the store held no newer configuration than this node's at a
     * boot time. */
    std::function<void(Microseconds aAsOf)> onConfirmed;
    /** Called with rollout orders read from the store. */
    std::function<void(const std::vector<operators::RolloutOrder>&)> onOrders;
    /** Called with evacuation orders read from the store. */
    std::function<void(const operators::OrderUpdate&)> onEvacuations;
    /** Called when this node finds that the store was restored from an older
     * copy since its last answer. */
    std::function<void()> onStoreRestored;
    /** Called when the store becomes reachable or unreachable. */
    std::function<void(bool aReachable, const std::string& aReason)>
      onStoreReachable;
  };

  ConfigFollower(Services aServices, std::uint64_t aSeed);

  /** Schedules the first read of the store. */
  void Start();

  /** Starts a query of the store when one is due; call every 100 ms. */
  void Tick();

  /** Reads the whole store again, such as after a pause of the process. */
  void ReadStoreAgain();

  /** Records that a peer's message arrived just now. */
  void OnPeerMessage() { mLastPeerMessageAt = mServices.scheduler.Now(); }

  /** Pulls from a peer if its version is newer than this node's. */
  void OnPeerVersion(const std::string& aAddress, std::uint64_t aVersion);

  /** Returns what a peer with version aFrom needs to catch up. */
  nodes::PullAnswer MakePullAnswer(std::uint64_t aFrom)
  {
    return mHistory.MakePullAnswer(aFrom);
  }

  bool HasConfig() const { return mConfig != nullptr; }
  std::uint64_t Version() const { return mConfig ? mConfig->version : 0; }
  /** The current configuration; null before the first one. */
  const config::SnapshotPtr& Current() const { return mConfig; }

  /** Origin of the current configuration: "store" or "peer IP:port". */
  const std::string& Source() const { return mSource; }

private:
  bool ShouldQueryStore() const;
  void QueryStore();
  void QueryStoreIfNeeded();
  void ReadAll();
  void WaitForStoreChanges();
  Milliseconds StoreWait() const;
  /** Returns whether the pending query may have been sent on a connection that
   * went silent. */
  bool IsQueryOverdue() const;
  /** Asks the store for an immediate answer, beside the pending query. */
  void CheckStore();
  /** @param aAsOf  boot time at which the store held what it answered. */
  void OnStoreAnswer(const std::optional<operators::OrderUpdate>& aChanges,
                     const store::StoreReason& aReason,
                     Microseconds aAsOf);
  void TakeChanges(const operators::OrderUpdate& aChanges, Microseconds aAsOf);
  void SetStoreReachable(bool aReachable, const std::string& aReason);
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
  /** Counts ReadStoreAgain() calls, to ignore answers to earlier queries. */
  std::uint64_t mQueryGeneration = 0;
  bool mIsQuerying = false; ///< a query or the wait to repeat it is pending
  /** When the pending query was sent; nothing while none is pending. */
  std::optional<Timestamp> mQuerySentAt;
  bool mIsChecking = false; ///< a query of CheckStore() is pending
  Timestamp mLastCheckAt{}; ///< when the last one was sent
  /** The last query was answered, and the next one follows it at once. */
  bool mLastQueryAnswered = false;
  std::optional<std::uint64_t> mRevision; ///< last store revision read
  Timestamp mRevisionReadAt{};            ///< time at which mRevision was read
  bool mIsPulling = false;
  Timestamp mReaderDutyFrom{};    ///< earliest time to act on the reader duty
  Timestamp mFirstQueryAt{};      ///< earliest time of the first store query
  Timestamp mLastPeerMessageAt{}; ///< arrival of the last message of any peer
  std::optional<bool> mStoreReachable;
  /** The store's configuration can't be decoded, so this node lacks it. */
  bool mIsStoreConfigUnreadable = false;
};

} // namespace knapweedpaddle::node
