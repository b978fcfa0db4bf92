#pragma once

#include "knapweedpaddle/backends/BackendDispatcher.h"
#include "knapweedpaddle/moves/RolloutEvaluator.h"
#include "knapweedpaddle/moves/RolloutTracker.h"
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
    operators::OrderStore& desk;
    nodes::PeerClient& peers;
    std::function<void(const std::vector<nodes::Datagram>&)> send;
    std::function<void()> onSharesChanged;
    std::function<void(const moves::Rollout&)> onNews; ///< for logs
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

  /** Judges, advances and tells; call every kTick. */
  void OnTick();

  /** How often OnTick() runs. */
  static constexpr Milliseconds kTick{ 100 };

  const moves::RolloutTracker& Board() const { return mBoard; }

private:
  /** What telling operators of one rollout has come to. */
  struct Telling
  {
    std::uint64_t order = 0; ///< revision of the order it is about
    std::optional<operators::RolloutState> told;
    bool asking = false;
    Timestamp notBefore{};
  };

  std::vector<nodes::NodeId> Judges() const;
  void JudgeRollout(const moves::Rollout& aRollout);
  void AdvanceRollout(const moves::Rollout& aRollout);
  bool IsProved(const moves::Rollout& aRollout) const;
  bool HasNewServers(const moves::Rollout& aRollout) const;
  void Tell(const moves::Rollout& aRollout, bool aIsJudge);
  void Write(const moves::Rollout& aRollout,
             operators::RolloutState aState,
             const operators::RolloutStatus& aStatus);
  void OnTold(const std::string& aService,
              std::uint64_t aOrder,
              operators::RolloutState aState);
  Milliseconds TellingDelay() const;
  void Advance(const std::string& aService,
               moves::RolloutStage aStage,
               bool aCondemned,
               const std::string& aReason);
  void Spread();

  Services mServices;
  moves::RolloutTracker mBoard;
  std::map<std::string, moves::RolloutEvaluator> mJudges; ///< by service
  std::map<std::string, std::uint64_t> mJudged;           ///< order, by service
  std::map<std::string, Timestamp> mNewServersAt;         ///< by service
  std::map<std::string, Telling> mTellings;               ///< by service
  Timestamp mNextSpread{};
};

} // namespace knapweedpaddle::node
