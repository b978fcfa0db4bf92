#pragma once

#include "knapweedpaddle/common/ZoneEvacuation.h"
#include "knapweedpaddle/config/Snapshot.h"
#include "knapweedpaddle/store/StoreClient.h"

namespace knapweedpaddle::operators {

/** An operator's order to roll out a version of a service. */
struct RolloutOrder
{
  std::string service;
  std::string toVersion;
  Milliseconds duration{ 0 }; ///< time that the rollout should take
  std::uint64_t revision = 0; ///< a higher revision replaces a lower one

  bool operator==(const RolloutOrder&) const = default;
};

/** State of a rollout that operators read. */
enum class RolloutState
{
  kActive,
  kCompleted,
  kRolledBack,
};

inline constexpr std::array<EnumName<RolloutState>, 3> kRolloutStateNames{ {
  { RolloutState::kActive, "active" },
  { RolloutState::kCompleted, "completed" },
  { RolloutState::kRolledBack, "rolled_back" },
} };

/** How the newest rollout to a version ended. */
struct RolloutResult
{
  std::string version;
  std::uint64_t orderRevision = 0; ///< revision of the rollout's order
  RolloutState state = RolloutState::kCompleted; ///< never kActive
};

/** The status row of a service's rollouts, which operators read, and the row
 * that keeps the results of its rollouts for nodes that start later. */
struct RolloutStatus
{
  std::string toVersion;
  std::optional<RolloutState> state;  ///< nothing if no state was written
  std::uint64_t revision = 0;         ///< of the status row, 0 without a row
  std::vector<RolloutResult> results; ///< of several versions, oldest first
  std::uint64_t resultsRevision = 0;  ///< of the results row, 0 without a row
};

/** Orders in force, or those that changed after a revision. */
struct OrderUpdate
{
  std::optional<std::string> configText; ///< configuration, not yet decoded
  std::vector<RolloutOrder> rollouts;
  std::vector<ZoneEvacuation> evacuations;
  bool isComplete = false; ///< holds all orders in force, not only changed ones
  bool hasChanges = false; ///< whether any row is new, also an unreadable one
  std::uint64_t revision = 0; ///< to pass to OrderStore::Follow()
};

/**
 * The store in which operators write orders and read the status of rollouts.
 *
 * Thread safety: control thread only. Each callback runs once on that thread,
 * after the method that it was passed to has returned.
 */
class OrderStore
{
public:
  using UpdateCallback =
    std::function<void(std::optional<OrderUpdate>, const store::StoreReason&)>;
  using StatusCallback = std::function<void(std::optional<RolloutStatus>,
                                            const store::StoreReason&)>;
  using DoneCallback = std::function<void(bool, const store::StoreReason&)>;

  virtual ~OrderStore() = default;

  /** Reads all orders in force. */
  virtual void ReadAll(UpdateCallback aCallback) = 0;

  /** Waits for orders after a revision, for a limited time. */
  virtual void Follow(std::uint64_t aAfter,
                      Milliseconds aWait,
                      UpdateCallback aCallback) = 0;

  /** Decodes a configuration. Returns null, with the fault in aReason, if it is
   * not valid. */
  virtual config::SnapshotPtr Decode(const std::string& aText,
                                     std::string& aReason) const = 0;

  /** Reads the status and the results of a service's rollouts. */
  virtual void ReadStatus(const std::string& aService,
                          StatusCallback aCallback) = 0;

  /**
   * Writes a rollout's state and, if it is final, its result, unless the rows
   * changed since they were read.
   *
   * @param aRead  the rows as ReadStatus() returned them.
   */
  virtual void WriteStatus(const RolloutOrder& aOrder,
                           RolloutState aState,
                           const RolloutStatus& aRead,
                           DoneCallback aCallback) = 0;
};

} // namespace knapweedpaddle::operators
