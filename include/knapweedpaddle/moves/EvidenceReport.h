#pragma once

#include "knapweedpaddle/nodes/MemberRecord.h"

#include <optional>
#include <string>
#include <vector>

namespace knapweedpaddle::moves {

/** Counts of one version's calls on one route, since the reporting node
 * started. */
struct VersionCounts
{
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;
  std::uint64_t slow = 0; ///< calls that exceeded the route's slow limit

  bool operator==(const VersionCounts&) const = default;
};

/** Call counts of both versions of a move or rollout on one route. */
struct RouteEvidence
{
  std::string move; ///< name of the move, or "rollout/SERVICE/VERSION"
  std::string route;
  VersionCounts before; ///< counts of the old version
  VersionCounts after;  ///< counts of the new version
};

/** Call counts of one node with a backend server. A later report of the node
 * replaces an earlier one. */
struct EvidenceReport
{
  nodes::NodeId node = nodes::kNoNode;
  std::uint64_t incarnation = 0; ///< differs after each start of the node
  std::vector<RouteEvidence> routes;
};

/** Request path of evidence reports on a link between nodes. */
inline constexpr const char* kEvidencePath = "/evidence";

/** Encodes a report as a protobuf message. */
std::string
EncodeEvidence(const EvidenceReport& aReport);

/** Decodes a report; returns nothing if it is malformed. */
std::optional<EvidenceReport>
DecodeEvidence(const std::string& aBytes);

} // namespace knapweedpaddle::moves
