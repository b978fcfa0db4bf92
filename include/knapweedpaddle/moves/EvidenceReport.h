#pragma once

#include "knapweedpaddle/nodes/MemberRecord.h"

#include <optional>
#include <string>
#include <vector>

namespace knapweedpaddle::moves {

/** One version's calls on one route at one owner, since the owner started. */
struct VersionCounts
{
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;
  std::uint64_t slow = 0;

  bool operator==(const VersionCounts&) const = default;
};

/** Counts of the two versions of a move on one route. */
struct RouteEvidence
{
  std::string move;
  std::string route;
  VersionCounts before;
  VersionCounts after;
};

/** Everything that one owner node counted. A later report replaces an earlier
 * one. */
struct EvidenceReport
{
  nodes::NodeId node = nodes::kNoNode;
  std::uint64_t incarnation = 0;
  std::vector<RouteEvidence> routes;
};

/** Path of evidence reports on a link. */
inline constexpr const char* kEvidencePath = "/evidence";

std::string
EncodeEvidence(const EvidenceReport& aReport);

std::optional<EvidenceReport>
DecodeEvidence(const std::string& aBytes);

} // namespace knapweedpaddle::moves
