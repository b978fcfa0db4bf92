#pragma once

#include "knapweedpaddle/common/EnumNames.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/** How nodes know, probe and reach each other. */
namespace knapweedpaddle::nodes {

/** A node's identity: its gossip address, IPv4 << 16 | UDP port. */
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

/** Returns "a.b.c.d:port" with the node's address and another port. */
std::string
AddressWithPort(NodeId aNode, std::uint16_t aPort);

enum class MemberState
{
  kStarting, ///< does not hold a configuration that it may serve yet
  kWarm,     ///< serves as ingress; no backend server announced
  kServing,
  kLeaving,
};

inline constexpr std::array<EnumName<MemberState>, 4> kMemberStateNames{ {
  { MemberState::kStarting, "starting" },
  { MemberState::kWarm, "warm" },
  { MemberState::kServing, "serving" },
  { MemberState::kLeaving, "leaving" },
} };

enum class Liveness
{
  kAlive,
  kSuspect,
  kDead,
};

inline constexpr std::array<EnumName<Liveness>, 3> kLivenessNames{ {
  { Liveness::kAlive, "alive" },
  { Liveness::kSuspect, "suspect" },
  { Liveness::kDead, "dead" },
} };

/** What a node says about itself. Only that node writes it. */
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
  std::uint32_t sequence = 0;    ///< counts this incarnation's records

  bool operator==(const MemberRecord&) const = default;
};

/** True when the first record replaces the second. */
bool
IsNewer(const MemberRecord& aFirst, const MemberRecord& aSecond);

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
