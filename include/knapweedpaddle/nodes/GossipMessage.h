#pragma once

#include "knapweedpaddle/common/TeamAllowance.h"
#include "knapweedpaddle/common/Time.h"
#include "knapweedpaddle/common/ZoneEvacuation.h"
#include "knapweedpaddle/nodes/MemberRecord.h"

#include <optional>

namespace knapweedpaddle::nodes {

/** Kind of a gossip message, with its number on the wire. */
enum class GossipKind
{
  kPing = 1,
  kAck = 2,
  kPingRequest = 3, ///< asks the receiver to ping the target
  kVersionHint = 4, ///< announces the sender's configuration version
  kProgress = 5,    ///< carries move progress
  kConfigQuery = 6, ///< asks whether the sender's configuration is the newest
  kConfigAnswer = 7,
  kAllowanceReport = 8, ///< tells a coordinator the calls of teams
  kAllowanceAnswer = 9,
};

inline constexpr std::array<EnumName<GossipKind>, 9> kGossipKindNames{ {
  { GossipKind::kPing, "ping" },
  { GossipKind::kAck, "ack" },
  { GossipKind::kPingRequest, "ping_request" },
  { GossipKind::kVersionHint, "version_hint" },
  { GossipKind::kProgress, "progress" },
  { GossipKind::kConfigQuery, "config_query" },
  { GossipKind::kConfigAnswer, "config_answer" },
  { GossipKind::kAllowanceReport, "allowance_report" },
  { GossipKind::kAllowanceAnswer, "allowance_answer" },
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
  /** In a kConfigAnswer the time since configVersion was known to be the newest
   * version; nothing if it never was. */
  std::optional<Milliseconds> configAge;
  /** Hash of the sender's member table; 0 in messages about configurations. */
  std::uint64_t tableHash = 0;
  std::vector<MemberUpdate> updates;
  std::vector<MoveProgress> moves;
  std::vector<ZoneEvacuation> evacuations;
  std::vector<TeamUsage> usages;   ///< in a kAllowanceReport
  std::uint64_t incarnation = 0;   ///< in a kAllowanceReport
  std::uint32_t allowanceSlot = 0; ///< in a kAllowanceReport
  std::vector<TeamGrant> grants;   ///< in a kAllowanceAnswer
  bool allowancesDecided = false;  ///< in a kAllowanceAnswer
};

/** A gossip message and its destination. */
struct Datagram
{
  NodeId to = kNoNode;
  GossipMessage message;
};

} // namespace knapweedpaddle::nodes
