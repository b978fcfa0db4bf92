#pragma once

#include "knapweedpaddle/backends/CallOwner.h"
#include "knapweedpaddle/moves/MoveBoard.h"
#include "knapweedpaddle/moves/ZoneJudge.h"
#include "knapweedpaddle/nodes/Membership.h"
#include "knapweedpaddle/nodes/PeerClient.h"
#include "knapweedpaddle/operators/Acceptor.h"
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
    operators::Acceptor& acceptor;
    std::function<void(const std::vector<nodes::Datagram>&)> send;
    std::function<void()> onSharesChanged;
    std::function<void(const nodes::MoveProgress&)> onProgress;
    std::function<void(operators::AcceptOutcome)> onRecorded;
  };

  explicit MoveAgent(Services aServices);

  const moves::MoveBoard& Progress() const { return mProgress; }

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
  void RecordMoveEnds();
  void RecordEnd(const config::MoveEntry& aMove,
                 config::MoveState aState,
                 std::string aReason);
  std::set<std::string> ServingZonesOf(const std::string& aService) const;

  Services mServices;
  moves::MoveBoard mProgress;
  moves::ZoneJudge mJudge;
  std::set<std::string>
    mEndsBeingRecorded; ///< moves whose end is being recorded
  std::uint32_t mSeconds = 0;
};

} // namespace knapweedpaddle::node
