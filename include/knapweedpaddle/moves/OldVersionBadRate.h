#pragma once

#include "knapweedpaddle/moves/CusumDetector.h"

#include <optional>

namespace knapweedpaddle::moves {

/**
 * Estimates the old version's share of bad calls, with which the new version is
 * compared. The estimate is the higher of a long-term and a short-term average,
 * so that a fault which begins in both versions at once is soon allowed for the
 * new version too. Intervals without calls change nothing, so the estimate
 * stays known after all calls have moved to the new version.
 *
 * Thread safety: one thread.
 */
class OldVersionBadRate
{
public:
  /** Adds the old version's calls of one interval. */
  void Add(const CallCounts& aCounts);

  /** Returns the share, or nothing while too few calls were counted. */
  std::optional<double> Share() const;

private:
  /** Counts that decay exponentially with the number of calls. */
  struct DecayingCounts
  {
    double calls = 0;
    double bad = 0;

    void Add(const CallCounts& aCounts, double aDecayCalls);
  };

  DecayingCounts mLongTerm;
  DecayingCounts mShortTerm;
};

} // namespace knapweedpaddle::moves
