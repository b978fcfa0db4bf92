#include "knapweedpaddle/moves/CusumDetector.h"

#include <algorithm>
#include <cmath>

namespace knapweedpaddle::moves {

namespace {

/** How far each alternative lies between the allowed share and 1. */
constexpr std::array<double, CusumDetector::kAlternativeCount> kSteps{
  0.03, 0.08, 0.2, 0.4, 0.7, 0.95
};

/** Above this the old version is as bad as can be told apart. */
constexpr double kMostAllowed = 0.9;

} // namespace

CusumDetector::CusumDetector(CusumOptions aOptions)
  : mOptions(aOptions)
  , mAllowed(aOptions.allowedShareWithoutOldVersion)
{
}

bool
CusumDetector::Add(std::optional<double> aOldShare, const CallCounts& aAfter)
{
  if (aOldShare) {
    mAllowed = std::min(kMostAllowed,
                        mOptions.alwaysAllowedShare +
                          mOptions.oldShareFactor * *aOldShare);
  }
  const double allowed = mAllowed;
  const auto bad = static_cast<double>(aAfter.bad);
  const auto good =
    static_cast<double>(aAfter.calls - std::min(aAfter.bad, aAfter.calls));
  for (std::size_t n = 0; n < kAlternativeCount; ++n) {
    const double worse = allowed + (1 - allowed) * kSteps[n];
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
