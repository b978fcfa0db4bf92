#pragma once

#include "knapweedpaddle/nodes/MemberRecord.h"

namespace knapweedpaddle::nodes {

enum class GossipKind
{
  kPing = 1,
  kAck = 2,
  kPingRequest = 3, ///< asks the receiver to ping the target
  kVersionHint = 4, ///< only carries the sender's configuration version
  kProgress = 5,    ///< only carries move progress
};

inline constexpr std::array<EnumName<GossipKind>, 5> kGossipKindNames{ {
  { GossipKind::kPing, "ping" },
  { GossipKind::kAck, "ack" },
  { GossipKind::kPingRequest, "ping_request" },
  { GossipKind::kVersionHint, "version_hint" },
  { GossipKind::kProgress, "progress" },
} };

/** One datagram between nodes. */
struct GossipMessage
{
  GossipKind kind = GossipKind::kPing;
  std::uint32_t sequence = 0;
  NodeId sender = kNoNode;
  NodeId target =
    kNoNode; ///< whom a kPingRequest concerns, or who answered a relayed ping
  std::uint64_t configVersion = 0;
  std::uint64_t tableHash = 0; ///< of the sender's member table
  std::vector<MemberUpdate> updates;
  std::vector<MoveProgress> moves;
};

/** A message and whom it goes to. */
struct Datagram
{
  NodeId to = kNoNode;
  GossipMessage message;
};

} // namespace knapweedpaddle::nodes
