#pragma once

#include "knapweedpaddle/backends/DepartedServers.h"
#include "knapweedpaddle/backends/ServerReport.h"

#include <optional>

namespace knapweedpaddle::backends {

/** Result of applying a report. */
enum class ReportOutcome
{
  kAccepted,
  kOutdated, ///< a newer report or a newer server start is known
  kForeign,  ///< the report is not about the backend server of this node
};

inline constexpr std::array<EnumName<ReportOutcome>, 3> kReportOutcomeNames{ {
  { ReportOutcome::kAccepted, "accepted" },
  { ReportOutcome::kOutdated, "outdated" },
  { ReportOutcome::kForeign, "foreign" },
} };

/**
 * Tracks the state of this node's backend server from its reports, which may
 * arrive late, twice or out of order. A server that reported that it is
 * draining or gone is not accepted as ready again until it restarts.
 *
 * Thread safety: one thread.
 */
class BackendServerTracker
{
public:
  /** @param aAddress  address of the backend server; reports with another
   * address are rejected. */
  explicit BackendServerTracker(std::string aAddress);

  /** Applies a report; only an accepted report changes the state.
   *
   * @param aWallNow  a sign-off that does not tell the server's start covers
   * all starts before this time.
   */
  ReportOutcome Apply(const ServerReport& aReport,
                      Timestamp aNow,
                      WallMilliseconds aWallNow);

  /**
   * Drops the server when its last report is older than aMaxReportAge.
   *
   * @return true when the server was dropped.
   */
  bool Expire(Timestamp aNow, Milliseconds aMaxReportAge);

  /**
   * Records that a server said in its answers that it is leaving; a server that
   * is registered here accepts no more calls.
   *
   * @return true when it was the registered server and accepted calls so far.
   */
  bool OnLeaving(const std::string& aId, std::uint64_t aStartedAtMs);

  /** Returns the server if it accepts calls, otherwise null. */
  const ServerReport* Ready() const;

  /** Returns the last report in whatever state; null without a server. */
  const ServerReport* Latest() const { return mLatest ? &*mLatest : nullptr; }

private:
  ReportOutcome ApplySignOff(const ServerReport& aReport,
                             WallMilliseconds aWallNow);
  /** Returns true if a newer report or server start is known. */
  bool IsOutdated(const ServerReport& aReport) const;
  std::string mAddress;
  std::optional<ServerReport> mLatest;
  Timestamp mLastReportAt{};
  DepartedServers mDepartedServers;
};

} // namespace knapweedpaddle::backends
