#pragma once

#include "knapweedpaddle/backends/BackendDispatcher.h"
#include "knapweedpaddle/moves/MoveTracker.h"
#include "knapweedpaddle/moves/ZoneMoveEvaluator.h"
#include "knapweedpaddle/nodes/Membership.h"
#include "knapweedpaddle/nodes/PeerClient.h"
#include "knapweedpaddle/operators/ChangeAcceptor.h"
#include "knapweedpaddle/runtime/Scheduler.h"

#include <functional>
#include <set>
#include <string>

namespace knapweedpaddle::node {

/**
 * Does a node's share of the work on moves: reports the call counts of its own
 * backend server to the judges of its zone, sends progress to peers and records
 * the end of moves in the catalogue. A judge is a node that holds the duty
 * "move-judge": it evaluates the reports of its zone, and advances each move
 * there to its next stage or condemns it.
 *
 * Thread safety: control thread only.
 */
class MoveAgent
{
public:
  struct Services
  {
    runtime::Scheduler& scheduler;
    nodes::Membership& members;
    config::ConfigStore& store;
    nodes::PeerClient& peers;
    operators::ChangeAcceptor& acceptor;
    std::function<void(const std::vector<nodes::Datagram>&)> send;
    /** Called when the split of calls between versions may have changed. */
    std::function<void()> onSharesChanged;
    /** Called for each move whose progress changed, for logs. */
    std::function<void(const nodes::MoveProgress&)> onProgress;
    /** Called with the result of recording the end of a move. */
    std::function<void(operators::AcceptOutcome)> onRecorded;
  };

  explicit MoveAgent(Services aServices);

  const moves::MoveTracker& Progress() const { return mProgress; }

  /** Evaluates moves as a judge, records their ends and sends progress; call
   * once a second. */
  void OnSecond();

  /** Merges progress that peers sent; what is new goes on to some members. */
  void Merge(const std::vector<nodes::MoveProgress>& aProgress);

  /** Reports the call counts of this node's backend server to the judges of
   * its zone. */
  void TakeEvidence(const std::string& aService,
                    const backends::EvidenceTable& aEvidence);

  /** Handles a report that some node sent to this node as a judge. */
  void OnReport(const moves::EvidenceReport& aReport)
  {
    mEvaluator.Report(aReport);
  }

  /** Drops the progress of moves that a newer configuration ended. */
  void OnConfigChanged();

  /** Returns a move's progress and evidence as JSON, or "" if it is unknown. */
  std::string Explain(const std::string& aMove) const;

private:
  void EvaluateMoves();
  void RecordMoveEnds();
  /** Writes a move's end, and the version it moved to, to the catalogue. */
  void RecordEnd(const config::MoveEntry& aMove,
                 config::MoveState aState,
                 std::string aReason);
  /** Returns the zones in which a node serves the service. */
  std::set<std::string> ServingZonesOf(const std::string& aService) const;

  Services mServices;
  moves::MoveTracker mProgress;
  moves::ZoneMoveEvaluator mEvaluator;
  std::set<std::string> mEndsBeingRecorded; ///< names of moves
  std::uint32_t mSeconds = 0;               ///< calls of OnSecond() so far
};

} // namespace knapweedpaddle::node
