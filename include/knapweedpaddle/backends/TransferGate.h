#pragma once

#include "knapweedpaddle/common/EnumNames.h"
#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace knapweedpaddle::backends {

/** Why the body of a call is not taken. */
enum class TransferRefusal
{
  kDeadlineTooNear, ///< it would arrive too late for the call's deadline
  kWaitTooLong,     ///< it would arrive too late for the latency target
};

inline constexpr std::array<EnumName<TransferRefusal>, 2> kTransferRefusalNames{
  { { TransferRefusal::kDeadlineTooNear, "transfer_past_deadline" },
    { TransferRefusal::kWaitTooLong, "transfer_too_slow" } }
};

/** A large body that a peer wants to send to this node. */
struct Transfer
{
  std::uint64_t id = 0; ///< unique among the transfers at the gate
  std::size_t bytes = 0;
  Timestamp deadline;
  Timestamp targetDeadline; ///< when the call's latency target ends
  double serviceMs = 0;     ///< expected time of the call once the body is here
};

/**
 * Decides which large bodies peers may send to this node, and when. Without it,
 * the peers together fill the node's link with bodies, behind which all short
 * calls and responses have to wait, and bodies arrive for calls that are then
 * refused.
 *
 * Only as many bodies are on their way as keep the link busy; the others wait,
 * the earliest target deadline first. A body that would arrive too late is
 * refused before any byte of it is sent.
 *
 * Thread safety: the traffic thread only.
 */
class TransferGate
{
public:
  /** @param aBytesPerMs  rate of the node's link; 0 if it is not known, and
   * then no body has to wait. */
  explicit TransferGate(double aBytesPerMs);

  /** Adds a transfer that waits for its grant, unless it is refused. */
  std::optional<TransferRefusal> Add(const Transfer& aTransfer, Timestamp aNow);

  /** Removes a transfer: its body has arrived, or its call has ended. */
  void Remove(std::uint64_t aId);

  /** Returns the waiting transfers that may begin now, and counts them as
   * begun. */
  std::vector<std::uint64_t> Grant(Timestamp aNow);

  /** Removes and returns the waiting transfers that have become too late. */
  std::vector<std::uint64_t> TakeExpired(Timestamp aNow);

  /** Returns the expected time until a body arrives if its call came now. */
  Milliseconds ArrivalTime(const Transfer& aTransfer, Timestamp aNow) const;

private:
  struct State
  {
    Transfer transfer;
    Timestamp addedAt;
    std::optional<Timestamp> grantedAt;
  };

  double TransferMs(std::size_t aBytes) const;
  /** Returns when a call would end if its body was let through now. */
  Timestamp EarliestEnd(const Transfer& aTransfer, Timestamp aNow) const;
  /** Returns true if a granted transfer is still expected to use the link. */
  bool IsOnLink(const State& aState, Timestamp aNow) const;
  std::size_t BytesOnLink(Timestamp aNow) const;
  std::optional<TransferRefusal> RefusalFor(const Transfer& aTransfer,
                                            Milliseconds aArrival,
                                            Timestamp aNow) const;

  double mBytesPerMs;
  std::unordered_map<std::uint64_t, State> mTransfers;
};

} // namespace knapweedpaddle::backends
