#include "knapweedpaddle/backends/ServerLedger.h"

namespace knapweedpaddle::backends {

namespace {

constexpr std::size_t kLeaversRemembered = 64;

} // namespace

ServerLedger::ServerLedger(std::string aAddress)
  : mAddress(std::move(aAddress))
{
}

ReportVerdict
ServerLedger::Apply(const ServerReport& aReport, Timestamp aNow)
{
  if (aReport.state == ReportedState::kGone) {
    return ApplyGone(aReport);
  }
  if (aReport.address != mAddress || aReport.id.empty() || aReport.slots == 0 ||
      aReport.startedAtMs == 0) {
    return ReportVerdict::kForeign;
  }
  if (IsOutdated(aReport)) {
    return ReportVerdict::kOutdated;
  }
  if (aReport.state == ReportedState::kDraining) {
    RememberLeaver(aReport);
  }
  mLatest = aReport;
  mHeardAt = aNow;
  return ReportVerdict::kAccepted;
}

ReportVerdict
ServerLedger::ApplyGone(const ServerReport& aReport)
{
  const bool isLatest = mLatest && mLatest->id == aReport.id;
  // It may name nothing but the id.
  if (isLatest && aReport.startedAtMs != 0 &&
      aReport.startedAtMs < mLatest->startedAtMs) {
    return ReportVerdict::kOutdated;
  }
  RememberLeaver(aReport);
  if (isLatest) {
    mLatest->state = ReportedState::kGone;
  }
  return ReportVerdict::kAccepted;
}

bool
ServerLedger::Expire(Timestamp aNow, Milliseconds aSilence)
{
  if (!mLatest || aNow - mHeardAt <= aSilence) {
    return false;
  }
  mLatest.reset();
  return true;
}

const ServerReport*
ServerLedger::Ready() const
{
  return mLatest && mLatest->state == ReportedState::kReady ? &*mLatest
                                                            : nullptr;
}

bool
ServerLedger::IsOutdated(const ServerReport& aReport) const
{
  if (const auto it = mLeavers.find(aReport.id);
      it != mLeavers.end() && aReport.state == ReportedState::kReady &&
      aReport.startedAtMs <= it->second) {
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

void
ServerLedger::RememberLeaver(const ServerReport& aReport)
{
  std::uint64_t startedAt = aReport.startedAtMs;
  if (startedAt == 0 && mLatest && mLatest->id == aReport.id) {
    startedAt = mLatest->startedAtMs;
  }
  if (mLeavers.size() >= kLeaversRemembered) {
    mLeavers.erase(mLeavers.begin());
  }
  std::uint64_t& latest = mLeavers[aReport.id];
  latest = std::max(latest, startedAt);
}

} // namespace knapweedpaddle::backends
