#pragma once

#include "knapweedpaddle/nodes/MemberRecord.h"
#include "knapweedpaddle/operators/OrderStore.h"
#include "knapweedpaddle/routing/RoutingView.h"

#include <map>

namespace knapweedpaddle::moves {

/** How far a rollout has come. */
enum class RolloutStage : std::uint32_t
{
  kCanary, ///< a small share, until the new version has proved itself
  kQuarter,
  kHalf,
  kAll,      ///< every call; the old version's last ones end
  kDecided,  ///< completed or condemned, operators to be told
  kRecorded, ///< operators have been told
};

inline constexpr std::array<EnumName<RolloutStage>, 6> kRolloutStageNames{ {
  { RolloutStage::kCanary, "canary" },
  { RolloutStage::kQuarter, "quarter" },
  { RolloutStage::kHalf, "half" },
  { RolloutStage::kAll, "all" },
  { RolloutStage::kDecided, "decided" },
  { RolloutStage::kRecorded, "recorded" },
} };

/** One rollout as this node knows it. */
struct Rollout
{
  operators::RolloutOrder order;
  RolloutStage stage = RolloutStage::kCanary;
  bool condemned = false;
  std::string reason;
  Timestamp orderSeenAt; ///< when this node learned of the order
  Timestamp stageSeenAt; ///< when it learned of the stage
};

/**
 * The newest rollout of each service. Progress only grows, so that any order
 * of messages gives the same result; an order replaces one with a lower
 * revision.
 *
 * Thread safety: control thread only.
 */
class RolloutTracker
{
public:
  /** Notes an order; true when it is new. */
  bool AddOrder(const operators::RolloutOrder& aOrder, Timestamp aNow);

  /** Merges a peer's progress; true when it is news. */
  bool Merge(const nodes::MoveProgress& aProgress, Timestamp aNow);

  /** Moves a rollout on; does nothing to one that is there already. */
  bool Advance(const std::string& aService,
               RolloutStage aStage,
               bool aCondemned,
               const std::string& aReason,
               Timestamp aNow);

  const std::map<std::string, Rollout>& All() const { return mRollouts; }

  /** Returns the progress of all rollouts in the form that peers merge. */
  std::vector<nodes::MoveProgress> Progress() const;

  /** Returns the split of a service's calls between versions. */
  routing::VersionSplit SplitOf(const std::string& aService) const;

private:
  std::map<std::string, Rollout> mRollouts; ///< by service
};

} // namespace knapweedpaddle::moves
