#pragma once

#include "knapweedpaddle/common/EnumNames.h"
#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * The catalogue, which is the configuration of the mesh: its entries, their
 * encoding and validation, changes and snapshots.
 */
namespace knapweedpaddle::config {

/** How the calls of a route may be retried, hedged and queued. */
enum class CallClass
{
  kIdempotent, ///< may be executed more than once, so it can be retried
  kAtMostOnce, ///< is retried only if it has certainly not been executed
  kCheck,      ///< idempotent and urgent: served first, has reserved slots
};

inline constexpr std::array<EnumName<CallClass>, 3> kCallClassNames{ {
  { CallClass::kIdempotent, "idempotent" },
  { CallClass::kAtMostOnce, "at_most_once" },
  { CallClass::kCheck, "check" },
} };

/** Kinds of catalogue entries, in the order of the alternatives of Entry. */
enum class EntryKind
{
  kService,
  kRoute,
  kLimit,
  kMove,
  kTeam,
};

inline constexpr std::array<EnumName<EntryKind>, 5> kEntryKindNames{ {
  { EntryKind::kService, "service" },
  { EntryKind::kRoute, "route" },
  { EntryKind::kLimit, "limit" },
  { EntryKind::kMove, "move" },
  { EntryKind::kTeam, "team" },
} };

/** Whether a move still runs and how it ended. */
enum class MoveState
{
  kOpen,      ///< planned or in progress
  kDone,      ///< all traffic goes to the new version
  kTakenBack, ///< rolled back to the old version
};

inline constexpr std::array<EnumName<MoveState>, 3> kMoveStateNames{ {
  { MoveState::kOpen, "open" },
  { MoveState::kDone, "done" },
  { MoveState::kTakenBack, "taken_back" },
} };

/** Fields that entries of every kind have. */
struct EntryHeader
{
  std::string name;
  std::string owner;
  std::uint64_t revision = 0; ///< catalogue version of the entry's last change

  bool operator==(const EntryHeader&) const = default;
};

/** A service and the version of its backend servers that receives calls. */
struct ServiceEntry
{
  EntryHeader header;
  std::string version;
  std::string healthPath; ///< path of the servers' health check, or empty
  /** Calls per second that a server takes while it is cold; 0: no limit. */
  double warmupCallsPerSecond = 0;

  bool operator==(const ServiceEntry&) const = default;
};

/** A service that receives a part of a route's requests. */
struct RouteShare
{
  std::string service;
  double weight = 1; ///< relative to the sum of the route's weights

  bool operator==(const RouteShare&) const = default;
};

/** Sends requests under a path prefix to a service. */
struct RouteEntry
{
  EntryHeader header;
  std::string host; ///< host name to match, in lower case; empty for any host
  std::string pathPrefix;
  std::string service; ///< destination; empty if the route has a split
  std::vector<RouteShare> split; ///< weighted destinations instead of service
  std::string limit; ///< name of the limit entry that applies, or empty
  CallClass callClass = CallClass::kIdempotent;
  Milliseconds timeout{ 1000 };
  /** Target latency; a call that takes longer counts as slow. */
  Milliseconds slowAfter{ 100 };
  std::uint32_t priority = 0; ///< 0 is served first when slots are scarce
  std::uint32_t maxTries = 3; ///< most backend servers that a call may reach
  /** Whether callers need no key where the configuration holds teams. */
  bool isPublic = false;

  bool operator==(const RouteEntry&) const = default;
};

/** A rate limit (token bucket) that each ingress node applies by itself. */
struct LimitEntry
{
  EntryHeader header;
  double ratePerSecond = 0; ///< calls per second on each node
  double burst = 1;         ///< most calls admitted at once

  bool operator==(const LimitEntry&) const = default;
};

/** Moves a service's traffic in stages from its current version to another. */
struct MoveEntry
{
  EntryHeader header;
  std::string service;
  std::string fromVersion;
  std::string toVersion;
  WallMilliseconds startAt = 0;
  WallMilliseconds doneBy = 0; ///< deadline for the end of the move
  double canaryShare = 0.02;   ///< share of calls in the first stage, up to 0.5
  Milliseconds bake{ 0 };      ///< time at a share of 1 before the move is done
  MoveState state = MoveState::kOpen;
  std::string reason; ///< why the move ended

  bool operator==(const MoveEntry&) const = default;
};

/** Callers that share keys and an allowance of calls. */
struct TeamEntry
{
  EntryHeader header;
  std::vector<std::string> keys; ///< secrets that identify the team's callers
  /** Goes before the priority of a route; nothing: the route's applies. */
  std::optional<std::uint32_t> priority;
  /** Calls per second over all nodes together; 0: no limit. */
  double callsPerSecond = 0;
  double burst = 0; ///< calls beyond that rate that may come at once

  bool operator==(const TeamEntry&) const = default;
};

/** Limits on the size and duration of the requests that callers send. */
struct CallerLimits
{
  std::size_t headerBytes = 64UL * 1024;
  std::size_t bodyBytes = 64UL * 1024 * 1024;
  /** Longest time from a request's first byte to its last. */
  Milliseconds headerTimeout{ 5000 };
  Milliseconds idleTimeout{ 60'000 }; ///< longest pause between two requests

  bool operator==(const CallerLimits&) const = default;
};

using Entry =
  std::variant<ServiceEntry, RouteEntry, LimitEntry, MoveEntry, TeamEntry>;

/** Identifies an entry; no two entries have the same kind and name. */
struct EntryId
{
  EntryKind kind = EntryKind::kService;
  std::string name;

  auto operator<=>(const EntryId&) const = default;

  /** Returns "kind/name". */
  std::string ToString() const;

  /** Parses "kind/name"; returns nothing for an unknown kind or empty name. */
  static std::optional<EntryId> Parse(std::string_view aText);
};

/** Returns the kind and name of an entry. */
EntryId
IdOf(const Entry& aEntry);

const EntryHeader&
HeaderOf(const Entry& aEntry);

EntryHeader&
HeaderOf(Entry& aEntry);

} // namespace knapweedpaddle::config
