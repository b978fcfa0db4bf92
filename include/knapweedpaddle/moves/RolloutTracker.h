#pragma once

#include "knapweedpaddle/nodes/MemberRecord.h"
#include "knapweedpaddle/operators/OrderStore.h"
#include "knapweedpaddle/routing/RoutingView.h"

#include <functional>
#include <map>

namespace knapweedpaddle::moves {

/** Stages of a rollout, in order. */
enum class RolloutStage : std::uint32_t
{
  kCanary, ///< a small share of calls, to test the new version
  kQuarter,
  kHalf,
  kAll,      ///< all calls; the old version's last calls end
  kDecided,  ///< completed or condemned, and not yet in the status row
  kRecorded, ///< its end is written to the status row for operators
};

inline constexpr std::array<EnumName<RolloutStage>, 6> kRolloutStageNames{ {
  { RolloutStage::kCanary, "canary" },
  { RolloutStage::kQuarter, "quarter" },
  { RolloutStage::kHalf, "half" },
  { RolloutStage::kAll, "all" },
  { RolloutStage::kDecided, "decided" },
  { RolloutStage::kRecorded, "recorded" },
} };

/** Returns the name of a rollout in MoveProgress::move and in evidence. */
std::string
RolloutName(const std::string& aService, const std::string& aVersion);

/** The progress of one rollout that this node knows of. */
struct Rollout
{
  operators::RolloutOrder order;
  RolloutStage stage = RolloutStage::kCanary;
  bool condemned = false;
  std::string reason;    ///< why the rollout was condemned
  Timestamp orderSeenAt; ///< when this node first learned of the order
  Timestamp stageSeenAt; ///< when this node first learned of the stage
  /** Revision under which this node first learned of the order; order.revision
   * differs after the store was restored. */
  std::uint64_t firstRevision = 0;
  /** An earlier order named the same version. */
  bool isRepeated = false;
  /** The store was restored, and may have lost the status row. */
  bool isStatusInDoubt = false;
};

/**
 * Keeps the newest rollout of each service, and the ends of earlier ones to
 * other versions. A rollout's stage never goes back, so that the result does
 * not depend on the order of messages. An order replaces one with a lower
 * revision, but when the store was restored in between and both name the same
 * version, they are one order, whose rollout goes on.
 *
 * A version that was condemned gets no calls until it is ordered again. A
 * version whose order was replaced before its rollout was decided is untested:
 * it gets calls only while no other server is known.
 *
 * Thread safety: control thread only.
 */
class RolloutTracker
{
public:
  /** Adds an order. Returns true if it is new. */
  bool AddOrder(const operators::RolloutOrder& aOrder, Timestamp aNow);

  /** Records that a service's status row was read or written. */
  void ConfirmStatus(const std::string& aService);

  /** Merges progress that a peer reported. Returns true if anything changed. */
  bool Merge(const nodes::MoveProgress& aProgress, Timestamp aNow);

  /** Moves a rollout forward to a stage, and condemns it if aCondemned is set.
   * Returns true if anything changed. */
  bool Advance(const std::string& aService,
               RolloutStage aStage,
               bool aCondemned,
               const std::string& aReason,
               Timestamp aNow);

  /** Returns the newest rollouts by service. */
  const std::map<std::string, Rollout>& All() const { return mRollouts; }

  /** Returns the progress of all rollouts, for Merge() at peers. */
  std::vector<nodes::MoveProgress> Progress() const;

  /** Returns the part of Progress() that peers need while rollouts go on, which
   * fits into a datagram: without the earlier rollouts of services whose newest
   * one has ended. */
  std::vector<nodes::MoveProgress> OpenProgress() const;

  /** Returns how a service's calls are split between versions. */
  routing::VersionSplit SplitOf(const std::string& aService) const;

private:
  using RolloutsByVersion = std::map<std::string, Rollout>;

  /** Merges progress of an order that a newer one has replaced. */
  bool MergeEarlier(const operators::RolloutOrder& aOrder,
                    const nodes::MoveProgress& aProgress,
                    Timestamp aNow);
  /** Keeps a rollout that a newer order replaces. */
  void KeepEarlier(Rollout aRollout);
  std::vector<nodes::MoveProgress> ProgressWithEarlier(
    const std::function<bool(const Rollout&)>& aHasEarlier) const;

  std::map<std::string, Rollout> mRollouts; ///< keyed by service
  /** Earlier rollouts of a service, the newest of each version other than that
   * of the service's entry in mRollouts. */
  std::map<std::string, RolloutsByVersion> mEarlier;
};

} // namespace knapweedpaddle::moves
