#pragma once

#include "knapweedpaddle/moves/CusumDetector.h"

#include <optional>

namespace knapweedpaddle::moves {

/**
 * The old version's share of bad calls, as the new version is compared with:
 * the higher of a long and a short memory, so that a fault which begins in
 * both versions at once is soon allowed to both. Intervals without calls
 * change nothing, so the share is still known when all traffic has moved.
 *
 * Thread safety: one thread.
 */
class OldVersionBadRate
{
public:
  void Add(const CallCounts& aCounts);

  /** Returns the share, or nothing while too few calls were seen. */
  std::optional<double> Share() const;

private:
  struct Memory
  {
    double calls = 0;
    double bad = 0;

    void Add(const CallCounts& aCounts, double aLength);
  };

  Memory mLong;
  Memory mShort;
};

} // namespace knapweedpaddle::moves
