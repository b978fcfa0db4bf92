#pragma once

#include "knapweedpaddle/backends/CallOwner.h"
#include "knapweedpaddle/moves/RolloutBoard.h"
#include "knapweedpaddle/moves/RolloutJudge.h"
#include "knapweedpaddle/nodes/Membership.h"
#include "knapweedpaddle/nodes/PeerClient.h"
#include "knapweedpaddle/runtime/Scheduler.h"

namespace knapweedpaddle::node {

/**
 * Moves services to the versions that operators order: reports the own backend
 * server's counts, judges where this node is its zone's first reader of the
 * store, spreads progress and tells operators the end. As progress only grows,
 * all judges may act.
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
    operators::OrderDesk& desk;
    nodes::PeerClient& peers;
    std::function<void(const std::vector<nodes::Datagram>&)> send;
    std::function<void()> onSharesChanged;
    std::function<void(const moves::Rollout&)> onProgress; ///< for logs
  };

  explicit RolloutAgent(Services aServices);

  /** Takes new orders over. */
  void OnOrders(const std::vector<operators::RolloutOrder>& aOrders);

  /** Merges peers' progress. */
  void Merge(const std::vector<nodes::MoveProgress>& aProgress);

  /** Takes the counts of the own backend server's calls. */
  void TakeEvidence(const std::string& aService,
                    const backends::EvidenceTable& aEvidence);

  /** Takes an owner's report over. */
  void OnReport(const moves::EvidenceReport& aReport);

  /** Judges, advances and tells; call every kTickInterval. */
  void OnTick();

  /** How often OnTick() runs. */
  static constexpr Milliseconds kTickInterval{ 100 };

  const moves::RolloutBoard& Rollouts() const { return mRollouts; }

private:
  /** What telling operators of one rollout has come to. */
  struct StatusUpdate
  {
    std::uint64_t order = 0; ///< revision of the order it is about
    std::optional<operators::RolloutState> told;
    bool asking = false;
    Timestamp notBefore{};
  };

  std::vector<nodes::NodeId> JudgeNodes() const;
  void JudgeRollout(const moves::Rollout& aRollout);
  void AdvanceRollout(const moves::Rollout& aRollout);
  bool HasPassedCanary(const moves::Rollout& aRollout) const;
  bool HasNewVersionServers(const moves::Rollout& aRollout) const;
  void UpdateStatus(const moves::Rollout& aRollout, bool aIsJudge);
  void WriteStatus(const moves::Rollout& aRollout,
                   operators::RolloutState aState,
                   const operators::RolloutStatus& aStatus);
  void OnStatusStored(const std::string& aService,
                      std::uint64_t aOrder,
                      operators::RolloutState aState);
  Milliseconds StatusUpdateDelay() const;
  void Advance(const std::string& aService,
               moves::RolloutStage aStage,
               bool aCondemned,
               const std::string& aReason);
  void SendProgress();

  Services mServices;
  moves::RolloutBoard mRollouts;
  std::map<std::string, moves::RolloutJudge> mJudges;    ///< by service
  std::map<std::string, std::uint64_t> mJudgedOrders;    ///< order, by service
  std::map<std::string, Timestamp> mNewVersionServersAt; ///< by service
  std::map<std::string, StatusUpdate> mStatusUpdates;    ///< by service
  Timestamp mNextProgressSendAt{};
};

} // namespace knapweedpaddle::node
