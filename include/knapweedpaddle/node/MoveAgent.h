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
 * A node's part in moves: reports evidence of its own backend server, judges
 * its zone's moves when it holds that duty, spreads progress and records ends.
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
    std::function<void()> onSharesChanged;
    std::function<void(const nodes::MoveProgress&)> onNews;
    std::function<void(operators::AcceptOutcome)> onRecorded;
  };

  explicit MoveAgent(Services aServices);

  const moves::MoveTracker& Board() const { return mBoard; }

  /** Judges, records and spreads; call once a second. */
  void OnSecond();

  /** Merges progress heard from others; news goes on to random members. */
  void Merge(const std::vector<nodes::MoveProgress>& aProgress);

  /** Reports the counts of the own backend server's calls to the zone's judges.
   */
  void TakeEvidence(const std::string& aService,
                    const backends::EvidenceTable& aEvidence);

  /** Takes another owner's report over. */
  void OnReport(const moves::EvidenceReport& aReport)
  {
    mJudge.Report(aReport);
  }

  /** Forgets what a newer configuration ended. */
  void OnConfigChanged();

  /** Returns a move's progress and evidence as JSON, or "" for no such move. */
  std::string Explain(const std::string& aMove) const;

private:
  void JudgeMoves();
  void RecordMoves();
  void Record(const config::MoveEntry& aMove,
              config::MoveState aState,
              std::string aReason);
  std::set<std::string> ZonesOf(const std::string& aService) const;

  Services mServices;
  moves::MoveTracker mBoard;
  moves::ZoneMoveEvaluator mJudge;
  std::set<std::string> mRecording; ///< moves whose end is being recorded
  std::uint32_t mSeconds = 0;
};

} // namespace knapweedpaddle::node
