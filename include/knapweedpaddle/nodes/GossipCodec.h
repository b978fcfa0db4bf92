#pragma once

#include "knapweedpaddle/nodes/GossipMessage.h"

namespace knapweedpaddle::nodes {

/** Version of the protocol between nodes; messages with another one are
 * rejected. */
inline constexpr std::uint32_t kProtocolVersion = 1;

/** Encodes a datagram. The mesh name in it lets nodes reject datagrams of other
 * meshes. */
std::string
EncodeGossip(const GossipMessage& aMessage, const std::string& aMesh);

/**
 * Decodes a datagram.
 *
 * @return nothing if it is malformed or of another protocol version or mesh.
 */
std::optional<GossipMessage>
DecodeGossip(const std::string& aBytes, const std::string& aMesh);

/** Response to a join request: the answering node's state. */
struct JoinAnswer
{
  std::vector<MemberUpdate> members;
  std::uint64_t configVersion = 0;
  /** Highest configuration version that the answering node received from the
   * requesting node's address, also before that node restarted. */
  std::uint64_t rememberedVersion = 0;
  std::vector<MoveProgress> moves;
  std::vector<ZoneEvacuation> evacuations;
};

std::string
EncodeJoinRequest(const MemberUpdate& aSelf);
std::optional<MemberUpdate>
DecodeJoinRequest(const std::string& aBytes);

std::string
EncodeJoinAnswer(const JoinAnswer& aAnswer);
std::optional<JoinAnswer>
DecodeJoinAnswer(const std::string& aBytes);

/** Response to a pull request: configuration changes or a whole snapshot. */
struct PullAnswer
{
  std::uint64_t configVersion = 0;
  std::vector<std::string> changes; ///< encoded changes, oldest first
  /** Encoded snapshot, if the history doesn't reach back to the requested
   * version; empty otherwise. */
  std::string snapshot;
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
