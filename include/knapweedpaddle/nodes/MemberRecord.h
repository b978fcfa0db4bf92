#pragma once

#include "knapweedpaddle/common/CrashSuspect.h"
#include "knapweedpaddle/common/EnumNames.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/** Membership, failure detection and connections between nodes. */
namespace knapweedpaddle::nodes {

/** Identifies a node by its gossip address: IPv4 address << 16 | UDP port. */
enum class NodeId : std::uint64_t
{
};

constexpr NodeId kNoNode{ 0 };

/** Returns "a.b.c.d:port". */
std::string
ToString(NodeId aNode);

/** Parses "a.b.c.d:port". */
std::optional<NodeId>
ParseNodeId(const std::string& aText);

/** Returns "a.b.c.d:port" with the node's IP address and the given port. */
std::string
AddressWithPort(NodeId aNode, std::uint16_t aPort);

/** Lifecycle state of a node, part of its MemberRecord. */
enum class MemberState
{
  kStarting, ///< has no configuration yet that it may serve
  kWarm,     ///< accepts calls from callers; no backend server is announced
  kServing,  ///< passes calls to its announced backend server
  kLeaving,  ///< is shutting down
};

inline constexpr std::array<EnumName<MemberState>, 4> kMemberStateNames{ {
  { MemberState::kStarting, "starting" },
  { MemberState::kWarm, "warm" },
  { MemberState::kServing, "serving" },
  { MemberState::kLeaving, "leaving" },
} };

/** Liveness of a member as SWIM knows it; a higher value is worse. */
enum class Liveness
{
  kAlive,
  kSuspect, ///< failed a probe and has not refuted it yet
  kDead,    ///< did not refute the suspicion in time
};

inline constexpr std::array<EnumName<Liveness>, 3> kLivenessNames{ {
  { Liveness::kAlive, "alive" },
  { Liveness::kSuspect, "suspect" },
  { Liveness::kDead, "dead" },
} };

/** A node's description of itself. Only that node writes it. */
struct MemberRecord
{
  NodeId node = kNoNode;
  std::uint16_t linkPort = 0;
  std::uint16_t callerPort = 0;
  std::string zone;
  std::string service;
  std::string version;
  std::uint32_t slots = 0;
  MemberState state = MemberState::kStarting;
  std::uint64_t incarnation = 0; ///< process start, ms since the epoch
  std::uint32_t sequence = 0;    ///< revision of the record in its incarnation
  /** Requests that may have crashed the node's backend server. */
  std::vector<CrashSuspect> suspects{};

  bool operator==(const MemberRecord&) const = default;
};

/** Returns whether the first record has the higher (incarnation, sequence).
 */
bool
IsNewer(const MemberRecord& aFirst, const MemberRecord& aSecond);

/** A member's record with the liveness that the sender assumes. */
struct MemberUpdate
{
  MemberRecord record;
  Liveness liveness = Liveness::kAlive;
};

/** Progress of one move in one zone; see moves::MoveTracker. */
struct MoveProgress
{
  std::string move;
  std::uint64_t revision = 0;
  std::string zone;
  std::uint32_t stage = 0;
  bool condemned = false;
  std::string reason;

  bool operator==(const MoveProgress&) const = default;
};

} // namespace knapweedpaddle::nodes
