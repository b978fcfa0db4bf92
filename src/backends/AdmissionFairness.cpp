#include "knapweedpaddle/backends/AdmissionFairness.h"

#include <algorithm>
#include <cmath>

namespace knapweedpaddle::backends {

namespace {

constexpr double kCountHalfLifeSeconds = 1.5;
/** How much the admission ratio of a route may be lower than that of routes of
 * the next higher priority. */
constexpr double kSharePerPriority = 0.08;
/** Increase of the wait factor per unit by which the admission ratio of a route
 * is below the average. */
constexpr double kWaitGain = 8;
constexpr double kMinWaitFactor = 0.4;
constexpr double kMaxWaitFactor = 2;
/** Routes with fewer calls are not compared, because their ratio is noise. */
constexpr double kMinOfferedCalls = 3;

} // namespace

void
AdmissionFairness::Record(const std::string& aRoute,
                          std::uint32_t aPriority,
                          bool aAdmitted,
                          Timestamp aNow)
{
  Counts& counts = mRoutes[aRoute];
  const double decay = Decay(counts, aNow);
  counts.offered = counts.offered * decay + 1;
  counts.admitted = counts.admitted * decay + (aAdmitted ? 1 : 0);
  counts.adjustedShare = AdjustedShare(counts, aPriority);
  counts.updatedAt = aNow;
}

double
AdmissionFairness::WaitFactor(const std::string& aRoute,
                              std::uint32_t aPriority,
                              Timestamp aNow) const
{
  const auto own = mRoutes.find(aRoute);
  if (own == mRoutes.end() || own->second.offered < kMinOfferedCalls) {
    return 1;
  }
  double offered = 0;
  double adjustedShare = 0;
  for (const auto& [route, counts] : mRoutes) {
    const double weight = counts.offered * Decay(counts, aNow);
    offered += weight;
    adjustedShare += weight * counts.adjustedShare;
  }
  if (offered <= 0) {
    return 1;
  }
  const double deficit =
    adjustedShare / offered - AdjustedShare(own->second, aPriority);
  return std::clamp(1 + kWaitGain * deficit, kMinWaitFactor, kMaxWaitFactor);
}

double
AdmissionFairness::Decay(const Counts& aCounts, Timestamp aNow)
{
  const std::chrono::duration<double> age = aNow - aCounts.updatedAt;
  return std::exp2(-std::max(0.0, age.count()) / kCountHalfLifeSeconds);
}

double
AdmissionFairness::AdjustedShare(const Counts& aCounts, std::uint32_t aPriority)
{
  return aCounts.admitted / aCounts.offered + kSharePerPriority * aPriority;
}

} // namespace knapweedpaddle::backends
