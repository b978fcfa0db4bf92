#pragma once

#include "knapweedpaddle/nodes/MemberRecord.h"

namespace knapweedpaddle::nodes {

/** Kind of a gossip message, with its number on the wire. */
enum class GossipKind
{
  kPing = 1,
  kAck = 2,
  kPingRequest = 3, ///< asks the receiver to ping the target
  kVersionHint = 4, ///< announces the sender's configuration version
  kProgress = 5,    ///< carries move progress
};

inline constexpr std::array<EnumName<GossipKind>, 5> kGossipKindNames{ {
  { GossipKind::kPing, "ping" },
  { GossipKind::kAck, "ack" },
  { GossipKind::kPingRequest, "ping_request" },
  { GossipKind::kVersionHint, "version_hint" },
  { GossipKind::kProgress, "progress" },
} };

/** Content of one gossip datagram. */
struct GossipMessage
{
  GossipKind kind = GossipKind::kPing;
  std::uint32_t sequence = 0;
  NodeId sender = kNoNode;
  /** In a kPingRequest the node to ping; in the kAck that answers it, the node
   * that replied to the ping. */
  NodeId target = kNoNode;
  std::uint64_t configVersion = 0;
  std::uint64_t tableHash = 0; ///< hash of the sender's member table
  std::vector<MemberUpdate> updates;
  std::vector<MoveProgress> moves;
};

/** A gossip message and its destination. */
struct Datagram
{
  NodeId to = kNoNode;
  GossipMessage message;
};

} // namespace knapweedpaddle::nodes
