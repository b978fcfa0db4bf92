#pragma once

#include "knapweedpaddle/common/EnumNames.h"
#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/** The catalogue: its entries, snapshots, validation and changes. */
namespace knapweedpaddle::config {

/** How a request may be treated. */
enum class CallClass
{
  kIdempotent,
  kAtMostOnce,
  kCheck,
};

inline constexpr std::array<EnumName<CallClass>, 3> kCallClassNames{ {
  { CallClass::kIdempotent, "idempotent" },
  { CallClass::kAtMostOnce, "at_most_once" },
  { CallClass::kCheck, "check" },
} };

enum class EntryKind
{
  kService,
  kRoute,
  kLimit,
  kMove,
};

inline constexpr std::array<EnumName<EntryKind>, 4> kEntryKindNames{ {
  { EntryKind::kService, "service" },
  { EntryKind::kRoute, "route" },
  { EntryKind::kLimit, "limit" },
  { EntryKind::kMove, "move" },
} };

enum class MoveState
{
  kOpen,
  kDone,
  kTakenBack,
};

inline constexpr std::array<EnumName<MoveState>, 3> kMoveStateNames{ {
  { MoveState::kOpen, "open" },
  { MoveState::kDone, "done" },
  { MoveState::kTakenBack, "taken_back" },
} };

/** What every entry has. */
struct EntryHeader
{
  std::string name;
  std::string owner;
  std::uint64_t revision = 0; ///< catalogue version that last wrote the entry

  bool operator==(const EntryHeader&) const = default;
};

/** A service and the version of its backend servers that callers reach. */
struct ServiceEntry
{
  EntryHeader header;
  std::string version;

  bool operator==(const ServiceEntry&) const = default;
};

/** One of the services among which a route's requests are divided. */
struct RouteShare
{
  std::string service;
  double weight = 1; ///< in proportion to the route's other weights

  bool operator==(const RouteShare&) const = default;
};

/** Sends requests under a path prefix to a service. */
struct RouteEntry
{
  EntryHeader header;
  std::string host; ///< of the request, in lower case; empty for any
  std::string pathPrefix;
  std::string service; ///< empty when the route has a split
  std::vector<RouteShare> split;
  std::string limit; ///< name of a limit entry, or empty
  CallClass callClass = CallClass::kIdempotent;
  Milliseconds timeout{ 1000 };
  Milliseconds slowAfter{
    100
  }; ///< a call slower than this counts as slow evidence
  std::uint32_t priority = 0; ///< 0 is served first where slots are short
  std::uint32_t maxTries = 3; ///< backend servers that one call may reach

  bool operator==(const RouteEntry&) const = default;
};

/** Bounds the calls that each ingress node admits. */
struct LimitEntry
{
  EntryHeader header;
  double ratePerSecond = 0; ///< calls per second and node
  double burst = 1;         ///< calls

  bool operator==(const LimitEntry&) const = default;
};

/** Moves a service's traffic from its present version to another. */
struct MoveEntry
{
  EntryHeader header;
  std::string service;
  std::string fromVersion;
  std::string toVersion;
  WallMilliseconds startAt = 0;
  WallMilliseconds doneBy = 0;
  double canaryShare = 0.02; ///< share of calls, 0 to 0.5
  Milliseconds bake{ 0 };    ///< time at a share of 1 before the move is done
  MoveState state = MoveState::kOpen;
  std::string reason; ///< why it ended

  bool operator==(const MoveEntry&) const = default;
};

/** What callers may send to a node, and how long they may take. */
struct CallerLimits
{
  std::size_t headerBytes = 64UL * 1024;
  std::size_t bodyBytes = 64UL * 1024 * 1024;
  Milliseconds headerTimeout{ 5000 }; ///< for a whole request once begun
  Milliseconds idleTimeout{ 60'000 }; ///< between requests

  bool operator==(const CallerLimits&) const = default;
};

using Entry = std::variant<ServiceEntry, RouteEntry, LimitEntry, MoveEntry>;

/** Names an entry: kind and name are unique together. */
struct EntryId
{
  EntryKind kind = EntryKind::kService;
  std::string name;

  auto operator<=>(const EntryId&) const = default;

  /** Returns "kind/name". */
  std::string ToString() const;

  /** Parses "kind/name"; nothing when the kind is not known. */
  static std::optional<EntryId> Parse(std::string_view aText);
};

EntryId
IdOf(const Entry& aEntry);

const EntryHeader&
HeaderOf(const Entry& aEntry);

EntryHeader&
HeaderOf(Entry& aEntry);

} // namespace knapweedpaddle::config
