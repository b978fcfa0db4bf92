#pragma once

#include "knapweedpaddle/nodes/GossipMessage.h"

namespace knapweedpaddle::nodes {

/** Version of the protocol between nodes; others are refused. */
inline constexpr std::uint32_t kProtocolVersion = 1;

/** Encodes a datagram. The mesh name keeps separate meshes from mixing. */
std::string
EncodeGossip(const GossipMessage& aMessage, const std::string& aMesh);

/** Decodes a datagram; nothing for garbage, another protocol or another mesh.
 */
std::optional<GossipMessage>
DecodeGossip(const std::string& aBytes, const std::string& aMesh);

struct JoinAnswer
{
  std::vector<MemberUpdate> members;
  std::uint64_t configVersion = 0;
  std::uint64_t rememberedVersion =
    0; ///< highest version heard from the asker's address
  std::vector<MoveProgress> moves;
};

std::string
EncodeJoinRequest(const MemberUpdate& aSelf);
std::optional<MemberUpdate>
DecodeJoinRequest(const std::string& aBytes);

std::string
EncodeJoinAnswer(const JoinAnswer& aAnswer);
std::optional<JoinAnswer>
DecodeJoinAnswer(const std::string& aBytes);

struct PullAnswer
{
  std::uint64_t configVersion = 0;
  std::vector<std::string> changes; ///< encoded changes, oldest first
  std::string snapshot; ///< encoded snapshot, when the history is too short
};

std::string
EncodePullRequest(std::uint64_t aFromVersion);
std::optional<std::uint64_t>
DecodePullRequest(const std::string& aBytes);

std::string
EncodePullAnswer(const PullAnswer& aAnswer);
std::optional<PullAnswer>
DecodePullAnswer(const std::string& aBytes);

} // namespace knapweedpaddle::nodes
