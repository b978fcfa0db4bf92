#pragma once

#include "knapweedpaddle/backends/BackendDispatcher.h"
#include "knapweedpaddle/moves/RolloutEvaluator.h"
#include "knapweedpaddle/moves/RolloutTracker.h"
#include "knapweedpaddle/nodes/Membership.h"
#include "knapweedpaddle/nodes/PeerClient.h"
#include "knapweedpaddle/runtime/Scheduler.h"

namespace knapweedpaddle::node {

/**
 * Runs the rollouts that operators order. Every node reports the call counts of
 * its own backend server to the judges. A judge is the first holder of the
 * reader duty in a zone. The judges advance a rollout through its stages or
 * condemn it, and send the progress to peers. Its state is written to the store
 * for operators. Several judges may act at once, as progress never goes back.
 *
 * Thread safety: control thread only.
 */
class RolloutAgent
{
public:
  struct Services
  {
    runtime::Scheduler& scheduler;
    nodes::Membership& members;
    operators::OrderStore& orders;
    nodes::PeerClient& peers;
    std::function<void(const std::vector<nodes::Datagram>&)> send;
    /** Called when the split of calls between versions may have changed. */
    std::function<void()> onSharesChanged;
    /** Called when this node reads an order or advances a rollout, for logs. */
    std::function<void(const moves::Rollout&)> onProgress;
  };

  explicit RolloutAgent(Services aServices);

  /** Handles rollout orders read from the store. */
  void OnOrders(const std::vector<operators::RolloutOrder>& aOrders);

  /** Merges rollout progress that peers sent. */
  void Merge(const std::vector<nodes::MoveProgress>& aProgress);

  /** Reports the call counts of this node's backend server to the judges. */
  void TakeEvidence(const std::string& aService,
                    const backends::EvidenceTable& aEvidence);

  /** Handles a report that some node sent to this node as a judge. */
  void OnReport(const moves::EvidenceReport& aReport);

  /** Advances rollouts and updates their status; call every kTickInterval. */
  void OnTick();

  /** Time between two calls of OnTick(). */
  static constexpr Milliseconds kTickInterval{ 100 };

  const moves::RolloutTracker& Rollouts() const { return mRollouts; }

private:
  /** Progress of writing one rollout's status row for operators. */
  struct StatusUpdate
  {
    std::uint64_t orderRevision = 0; ///< revision of the rollout's order
    /** State that the row is known to hold. */
    std::optional<operators::RolloutState> writtenState;
    bool isPending = false; ///< a read or write of the row is under way
    Timestamp nextTryAt{};  ///< earliest time of the next read
  };

  /** Call counts of this node's backend server when an order became known. */
  struct EvidenceAtOrder
  {
    std::uint64_t firstRevision = 0; ///< Rollout::firstRevision of the order
    backends::EvidenceTable counts;
  };

  /** A read of the results of a service's earlier rollouts. */
  struct ResultsRead
  {
    bool isPending = false;
    Timestamp nextTryAt{};
  };

  /** Reads the results of earlier rollouts of services with new orders. */
  void ReadResults();
  /** Merges the stored results of a service's rollouts. */
  void MergeResults(const std::string& aService,
                    const std::vector<operators::RolloutResult>& aResults);
  /** Returns the first holder of the reader duty in each zone. */
  std::vector<nodes::NodeId> JudgeNodes() const;
  /** Condemns a rollout whose new version does worse than the old one. */
  void CheckForRegression(const moves::Rollout& aRollout);
  /** Advances a rollout to its next stage when that is due. */
  void AdvanceRollout(const moves::Rollout& aRollout);
  /** True when the canary stage may end. */
  bool HasPassedCanary(const moves::Rollout& aRollout) const;
  bool HasNewVersionServers(const moves::Rollout& aRollout) const;
  /** Writes a rollout's state to its status row where it differs. */
  void UpdateStatus(const moves::Rollout& aRollout, bool aIsJudge);
  void WriteStatus(const moves::Rollout& aRollout,
                   operators::RolloutState aState,
                   const operators::RolloutStatus& aStatus);
  /** Handles a rollout state that the status row is now known to hold. */
  void OnStatusStored(const std::string& aService,
                      std::uint64_t aOrderRevision,
                      operators::RolloutState aState);
  /** Returns how long after a change of stage this node updates the status. */
  Milliseconds StatusUpdateDelay() const;
  void Advance(const std::string& aService,
               moves::RolloutStage aStage,
               bool aCondemned,
               const std::string& aReason);
  void SendProgress();

  Services mServices;
  moves::RolloutTracker mRollouts;
  backends::EvidenceTable mLastEvidence; ///< last passed to TakeEvidence()
  std::map<std::string, EvidenceAtOrder> mEvidenceAtOrder; ///< by service
  /** Evaluators of the newest orders, keyed by service. */
  std::map<std::string, moves::RolloutEvaluator> mEvaluators;
  /** Rollout::firstRevision of the order that a service's entry of mEvaluators
   * is for. */
  std::map<std::string, std::uint64_t> mEvaluatedOrders;
  std::map<std::string, StatusUpdate> mStatusUpdates; ///< keyed by service
  /** Reads of results that have not succeeded yet, keyed by service. */
  std::map<std::string, ResultsRead> mResultsReads;
  Timestamp mNextProgressSendAt{}; ///< when a judge repeats its progress
};

} // namespace knapweedpaddle::node
