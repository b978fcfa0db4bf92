#pragma once

#include "knapweedpaddle/backends/ServerReport.h"

#include <map>
#include <optional>

namespace knapweedpaddle::backends {

/** What a report is worth. */
enum class ReportVerdict
{
  kAccepted,
  kOutdated, ///< a later report, or a later start of the server, is known
  kForeign,  ///< not of the server beside this node
};

inline constexpr std::array<EnumName<ReportVerdict>, 3> kReportVerdictNames{ {
  { ReportVerdict::kAccepted, "accepted" },
  { ReportVerdict::kOutdated, "outdated" },
  { ReportVerdict::kForeign, "foreign" },
} };

/**
 * Keeps what the backend server beside this node said last, however late and
 * disordered its reports arrive. A server that said it leaves never returns
 * under the same start.
 *
 * Thread safety: one thread.
 */
class ServerLedger
{
public:
  /** @param aAddress  the only address that a report may name. */
  explicit ServerLedger(std::string aAddress);

  ReportVerdict Apply(const ServerReport& aReport, Timestamp aNow);

  /** Forgets a server that has been silent for too long. */
  bool Expire(Timestamp aNow, Milliseconds aSilence);

  /** The server that takes calls, or nothing. */
  const ServerReport* Ready() const;

  /** The server that was heard last, whatever its state; may be null. */
  const ServerReport* Latest() const { return mLatest ? &*mLatest : nullptr; }

private:
  ReportVerdict ApplyGone(const ServerReport& aReport);
  bool IsOutdated(const ServerReport& aReport) const;
  void RememberLeaver(const ServerReport& aReport);

  std::string mAddress;
  std::optional<ServerReport> mLatest;
  Timestamp mHeardAt{};
  std::map<std::string, std::uint64_t> mLeavers; ///< latest start, by id
};

} // namespace knapweedpaddle::backends
