#pragma once

#include "knapweedpaddle/nodes/Membership.h"
#include "knapweedpaddle/runtime/Scheduler.h"

#include <functional>
#include <map>
#include <optional>

namespace knapweedpaddle::node {

/**
 * Tracks when this node's configuration was last known to be the newest one.
 * The store confirms it to the nodes that read it, and these to their peers,
 * which ask them regularly.
 *
 * An answer confirms the state at the time when its query was sent. A delay of
 * the answer, or a pause of this process or its VM, therefore never makes a
 * confirmation look newer than it is. All times are boot times, which include
 * the time during which the VM was suspended.
 *
 * Thread safety: control thread only.
 */
class ConfigFreshness
{
public:
  struct Services
  {
    runtime::Scheduler& scheduler;
    const nodes::Membership& members;
    /** Sends a gossip datagram. */
    std::function<void(const nodes::Datagram&)> send;
    /** Returns the version of this node's configuration, or 0. */
    std::function<std::uint64_t()> version;
    /** Receives each confirmation that is later than the one before: the boot
     * time at which no newer version existed. */
    std::function<void(Microseconds)> onConfirmed;
  };

  explicit ConfigFreshness(Services aServices);

  /** Asks a peer when this is due; call every 100 ms. */
  void Tick();

  /** Asks a peer at the next tick, such as after a pause of the process. */
  void QueryAtNextTick() { mNextQueryAt = {}; }

  /** Records that the store held no newer version at a boot time. */
  void Confirm(Microseconds aAsOf);

  /** Answers a query of a peer, or takes its answer to one of this node;
   * ignores other messages. */
  void Receive(const nodes::GossipMessage& aMessage);

  /** Returns the time since the last confirmation; nothing without one. */
  std::optional<Milliseconds> Age() const;

private:
  struct Query
  {
    nodes::NodeId peer = nodes::kNoNode;
    Microseconds sentAt{};
  };

  void SendQuery();
  void Answer(const nodes::GossipMessage& aQuery) const;
  void TakeAnswer(const nodes::GossipMessage& aAnswer);

  Services mServices;
  std::optional<Microseconds> mConfirmedAt;
  std::map<std::uint32_t, Query> mQueries; ///< not answered, by sequence
  std::uint32_t mSequence = 0;
  std::size_t mUnanswered = 0; ///< queries sent since the last answer
  Timestamp mNextQueryAt{};
};

} // namespace knapweedpaddle::node
