#pragma once

#include "knapweedpaddle/backends/ServerReport.h"

#include <map>
#include <optional>

namespace knapweedpaddle::backends {

/** What a report is worth. */
enum class ReportOutcome
{
  kAccepted,
  kOutdated, ///< a later report, or a later start of the server, is known
  kForeign,  ///< not of the server beside this node
};

inline constexpr std::array<EnumName<ReportOutcome>, 3> kReportOutcomeNames{ {
  { ReportOutcome::kAccepted, "accepted" },
  { ReportOutcome::kOutdated, "outdated" },
  { ReportOutcome::kForeign, "foreign" },
} };

/**
 * Keeps what the backend server beside this node said last, however late and
 * disordered its reports arrive. A server that said it leaves never returns
 * under the same start.
 *
 * Thread safety: one thread.
 */
class BackendServerTracker
{
public:
  /** @param aAddress  the only address that a report may name. */
  explicit BackendServerTracker(std::string aAddress);

  ReportOutcome Apply(const ServerReport& aReport, Timestamp aNow);

  /** Forgets a server that has been silent for too long. */
  bool Expire(Timestamp aNow, Milliseconds aMaxSilence);

  /** The server that takes calls, or nothing. */
  const ServerReport* Ready() const;

  /** The server that was heard last, whatever its state; may be null. */
  const ServerReport* Latest() const { return mLatest ? &*mLatest : nullptr; }

private:
  ReportOutcome ApplySignOff(const ServerReport& aReport);
  bool IsOutdated(const ServerReport& aReport) const;
  void RecordDeparture(const ServerReport& aReport);

  std::string mAddress;
  std::optional<ServerReport> mLatest;
  Timestamp mHeardAt{};
  std::map<std::string, std::uint64_t>
    mDepartedServers; ///< latest start, by id
};

} // namespace knapweedpaddle::backends
