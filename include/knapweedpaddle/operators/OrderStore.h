#pragma once

#include "knapweedpaddle/config/Snapshot.h"
#include "knapweedpaddle/store/StoreClient.h"

namespace knapweedpaddle::operators {

/** Operators want a service's calls to move to another version. */
struct RolloutOrder
{
  std::string service;
  std::string toVersion;
  Milliseconds duration{ 0 };
  std::uint64_t revision = 0; ///< of the order; a later one replaces it

  bool operator==(const RolloutOrder&) const = default;
};

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

/** What operators were last told of a service's rollouts. */
struct RolloutStatus
{
  std::string toVersion;
  std::optional<RolloutState> state; ///< nothing while none was told
  std::uint64_t revision = 0;        ///< of the row, 0 while there is none
};

/** Orders that are new since a revision. */
struct OrderUpdate
{
  std::optional<std::string> configText; ///< as written
  std::vector<RolloutOrder> rollouts;
  std::uint64_t revision = 0; ///< to follow from
};

/**
 * What operators leave for the system and are told by it.
 *
 * Thread safety: control thread only. Callbacks run there, once each, and
 * never from inside the call that started them.
 */
class OrderStore
{
public:
  using NewsCallback =
    std::function<void(std::optional<OrderUpdate>, const store::StoreReason&)>;
  using StatusCallback = std::function<void(std::optional<RolloutStatus>,
                                            const store::StoreReason&)>;
  using DoneCallback = std::function<void(bool, const store::StoreReason&)>;

  virtual ~OrderStore() = default;

  /** Reads all orders in force. */
  virtual void ReadAll(NewsCallback aCallback) = 0;

  /** Waits for orders after a revision. */
  virtual void Follow(std::uint64_t aAfter,
                      Milliseconds aWait,
                      NewsCallback aCallback) = 0;

  /** Decodes a configuration; null, with the fault in aReason, if it can't be
   * read. */
  virtual config::SnapshotPtr Decode(const std::string& aText,
                                     std::string& aReason) const = 0;

  virtual void ReadStatus(const std::string& aService,
                          StatusCallback aCallback) = 0;

  /** Tells operators a state, if the row's revision is still the one given. */
  virtual void WriteStatus(const std::string& aService,
                           const std::string& aToVersion,
                           RolloutState aState,
                           std::uint64_t aRevision,
                           DoneCallback aCallback) = 0;
};

} // namespace knapweedpaddle::operators
