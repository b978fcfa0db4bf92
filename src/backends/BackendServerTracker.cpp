#include "knapweedpaddle/backends/BackendServerTracker.h"

namespace knapweedpaddle::backends {

BackendServerTracker::BackendServerTracker(std::string aAddress)
  : mAddress(std::move(aAddress))
{
}

ReportOutcome
BackendServerTracker::Apply(const ServerReport& aReport,
                            Timestamp aNow,
                            WallMilliseconds aWallNow)
{
  if (aReport.state == ReportedState::kGone) {
    return ApplySignOff(aReport, aWallNow);
  }
  if (aReport.address != mAddress || aReport.id.empty() || aReport.slots == 0 ||
      aReport.startedAtMs == 0) {
    return ReportOutcome::kForeign;
  }
  if (IsOutdated(aReport)) {
    return ReportOutcome::kOutdated;
  }
  if (aReport.state == ReportedState::kDraining) {
    mDepartedServers.Record(aReport.id, aReport.startedAtMs);
  }
  mLatest = aReport;
  mLastReportAt = aNow;
  return ReportOutcome::kAccepted;
}

ReportOutcome
BackendServerTracker::ApplySignOff(const ServerReport& aReport,
                                   WallMilliseconds aWallNow)
{
  const bool isLatest = mLatest && mLatest->id == aReport.id;
  // A sign-off may contain only the id, without the start time.
  if (isLatest && aReport.startedAtMs != 0 &&
      aReport.startedAtMs < mLatest->startedAtMs) {
    return ReportOutcome::kOutdated;
  }
  std::uint64_t startedAt = aReport.startedAtMs;
  if (startedAt == 0) {
    startedAt =
      isLatest ? mLatest->startedAtMs : static_cast<std::uint64_t>(aWallNow);
  }
  mDepartedServers.Record(aReport.id, startedAt);
  if (isLatest) {
    mLatest->state = ReportedState::kGone;
  }
  return ReportOutcome::kAccepted;
}

bool
BackendServerTracker::Expire(Timestamp aNow, Milliseconds aMaxReportAge)
{
  if (!mLatest || aNow - mLastReportAt <= aMaxReportAge) {
    return false;
  }
  mLatest.reset();
  return true;
}

bool
BackendServerTracker::OnLeaving(const std::string& aId,
                                std::uint64_t aStartedAtMs)
{
  mDepartedServers.Record(aId, aStartedAtMs);
  if (!Ready() ||
      !mDepartedServers.Contains(mLatest->id, mLatest->startedAtMs)) {
    return false;
  }
  mLatest->state = ReportedState::kDraining;
  return true;
}

const ServerReport*
BackendServerTracker::Ready() const
{
  return mLatest && mLatest->state == ReportedState::kReady ? &*mLatest
                                                            : nullptr;
}

bool
BackendServerTracker::IsOutdated(const ServerReport& aReport) const
{
  if (aReport.state == ReportedState::kReady &&
      mDepartedServers.Contains(aReport.id, aReport.startedAtMs)) {
    return true;
  }
  if (!mLatest) {
    return false;
  }
  if (aReport.startedAtMs != mLatest->startedAtMs) {
    return aReport.startedAtMs < mLatest->startedAtMs;
  }
  return aReport.id == mLatest->id && aReport.sequence <= mLatest->sequence;
}

} // namespace knapweedpaddle::backends
