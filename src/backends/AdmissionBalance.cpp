#include "knapweedpaddle/backends/AdmissionBalance.h"

#include <algorithm>
#include <cmath>

namespace knapweedpaddle::backends {

namespace {

constexpr double kHalfLifeSeconds = 1.5;
constexpr double kUrgencyLead = 0.08; ///< of admitted calls, for each rank
constexpr double kGain = 8;           ///< of the wait, for the share missed
constexpr double kLeastFactor = 0.4;
constexpr double kMostFactor = 2;
constexpr double kLeastOffered = 3; ///< calls, before a route is compared

} // namespace

void
AdmissionBalance::Note(const std::string& aRoute,
                       std::uint32_t aPriority,
                       bool aAdmitted,
                       Timestamp aNow)
{
  Counts& counts = mRoutes[aRoute];
  const double decay = Decay(counts, aNow);
  counts.offered = counts.offered * decay + 1;
  counts.admitted = counts.admitted * decay + (aAdmitted ? 1 : 0);
  counts.standing = Standing(counts, aPriority);
  counts.at = aNow;
}

double
AdmissionBalance::WaitFactor(const std::string& aRoute,
                             std::uint32_t aPriority,
                             Timestamp aNow) const
{
  const auto own = mRoutes.find(aRoute);
  if (own == mRoutes.end() || own->second.offered < kLeastOffered) {
    return 1;
  }
  double offered = 0;
  double standing = 0;
  for (const auto& [route, counts] : mRoutes) {
    const double weight = counts.offered * Decay(counts, aNow);
    offered += weight;
    standing += weight * counts.standing;
  }
  if (offered <= 0) {
    return 1;
  }
  const double missed = standing / offered - Standing(own->second, aPriority);
  return std::clamp(1 + kGain * missed, kLeastFactor, kMostFactor);
}

double
AdmissionBalance::Decay(const Counts& aCounts, Timestamp aNow)
{
  const std::chrono::duration<double> age = aNow - aCounts.at;
  return std::exp2(-std::max(0.0, age.count()) / kHalfLifeSeconds);
}

double
AdmissionBalance::Standing(const Counts& aCounts, std::uint32_t aPriority)
{
  return aCounts.admitted / aCounts.offered + kUrgencyLead * aPriority;
}

} // namespace knapweedpaddle::backends
