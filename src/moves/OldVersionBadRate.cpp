#include "knapweedpaddle/moves/OldVersionBadRate.h"

#include <algorithm>
#include <cmath>

namespace knapweedpaddle::moves {

namespace {

/** Calls after which a count has decayed to 1/e, in each average. */
constexpr double kLongTermDecayCalls = 2000;
constexpr double kShortTermDecayCalls = 40;

/** Calls needed before the share is considered known. */
constexpr double kMinCalls = 20;

} // namespace

void
OldVersionBadRate::DecayingCounts::Add(const CallCounts& aCounts,
                                       double aDecayCalls)
{
  const auto added = static_cast<double>(aCounts.calls);
  const double kept = std::exp(-added / aDecayCalls);
  calls = calls * kept + added;
  bad = bad * kept + static_cast<double>(aCounts.bad);
}

void
OldVersionBadRate::Add(const CallCounts& aCounts)
{
  mLongTerm.Add(aCounts, kLongTermDecayCalls);
  mShortTerm.Add(aCounts, kShortTermDecayCalls);
}

std::optional<double>
OldVersionBadRate::Share() const
{
  if (mLongTerm.calls < kMinCalls) {
    return std::nullopt;
  }
  return std::max((mLongTerm.bad + 0.5) / (mLongTerm.calls + 1),
                  mShortTerm.bad / mShortTerm.calls);
}

} // namespace knapweedpaddle::moves
