#include "knapweedpaddle/moves/OldVersionBadRate.h"

#include <algorithm>
#include <cmath>

namespace knapweedpaddle::moves {

namespace {

/** Lengths of the two memories, in calls. */
constexpr double kLongCalls = 2000;
constexpr double kShortCalls = 40;

/** Calls needed before a share is known. */
constexpr double kLeastCalls = 20;

} // namespace

void
OldVersionBadRate::Memory::Add(const CallCounts& aCounts, double aLength)
{
  const auto added = static_cast<double>(aCounts.calls);
  const double kept = std::exp(-added / aLength);
  calls = calls * kept + added;
  bad = bad * kept + static_cast<double>(aCounts.bad);
}

void
OldVersionBadRate::Add(const CallCounts& aCounts)
{
  mLong.Add(aCounts, kLongCalls);
  mShort.Add(aCounts, kShortCalls);
}

std::optional<double>
OldVersionBadRate::Share() const
{
  if (mLong.calls < kLeastCalls) {
    return std::nullopt;
  }
  return std::max((mLong.bad + 0.5) / (mLong.calls + 1),
                  mShort.bad / mShort.calls);
}

} // namespace knapweedpaddle::moves
