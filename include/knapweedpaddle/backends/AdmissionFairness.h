#pragma once

#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace knapweedpaddle::backends {

/**
 * Keeps the admission ratios of the routes close to each other in overload,
 * with slightly higher ratios for routes of higher priority. Strict priority
 * order would starve the routes of lower priority.
 *
 * Thread safety: one thread.
 */
class AdmissionFairness
{
public:
  /** Records that a call of a route was admitted or refused. */
  void Record(const std::string& aRoute,
              std::uint32_t aPriority,
              bool aAdmitted,
              Timestamp aNow);

  /**
   * Returns the factor by which to scale the maximum queueing time of a route's
   * calls: above 1 for routes whose calls were admitted less often than those
   * of other routes.
   */
  double WaitFactor(const std::string& aRoute,
                    std::uint32_t aPriority,
                    Timestamp aNow) const;

private:
  /** Exponentially decaying counts of a route's calls. */
  struct Counts
  {
    double offered = 0;
    double admitted = 0;
    double adjustedShare = 0; ///< admission ratio plus priority offset
    Timestamp updatedAt{};
  };

  /** Returns the factor by which counts have decayed since their update. */
  static double Decay(const Counts& aCounts, Timestamp aNow);
  /** Returns the admission ratio plus an offset that grows with a lower
   * priority, which makes the ratios of all routes comparable. */
  static double AdjustedShare(const Counts& aCounts, std::uint32_t aPriority);

  std::unordered_map<std::string, Counts> mRoutes;
};

} // namespace knapweedpaddle::backends
