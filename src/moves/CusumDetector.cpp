#include "knapweedpaddle/moves/CusumDetector.h"

#include <algorithm>
#include <cmath>

namespace knapweedpaddle::moves {

namespace {

/** Position of each worse share between the allowed share (0) and 1. */
constexpr std::array<double, CusumDetector::kAlternativeCount>
  kAlternativePositions{ 0.03, 0.08, 0.2, 0.4, 0.7, 0.95 };

/** Upper limit of the allowed share. Above it a worse share could not be
 * distinguished from an allowed one. */
constexpr double kMaxAllowedShare = 0.9;

} // namespace

CusumDetector::CusumDetector(CusumOptions aOptions)
  : mOptions(aOptions)
  , mAllowedShare(aOptions.allowedShareWithoutOldVersion)
{
}

bool
CusumDetector::Add(std::optional<double> aOldShare, const CallCounts& aAfter)
{
  if (aOldShare) {
    mAllowedShare = std::min(kMaxAllowedShare,
                             mOptions.alwaysAllowedShare +
                               mOptions.oldShareFactor * *aOldShare);
  }
  const double allowed = mAllowedShare;
  const auto bad = static_cast<double>(aAfter.bad);
  const auto good =
    static_cast<double>(aAfter.calls - std::min(aAfter.bad, aAfter.calls));
  for (std::size_t n = 0; n < kAlternativeCount; ++n) {
    const double worse = allowed + (1 - allowed) * kAlternativePositions[n];
    const double ratio = bad * std::log(worse / allowed) +
                         good * std::log((1 - worse) / (1 - allowed));
    mSums[n] = std::max(0.0, mSums[n] + ratio);
    mCondemned |= mSums[n] >= mOptions.threshold;
  }
  return mCondemned;
}

double
CusumDetector::Suspicion() const
{
  return *std::ranges::max_element(mSums) / mOptions.threshold;
}

} // namespace knapweedpaddle::moves
