#pragma once

#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace knapweedpaddle::backends {

/**
 * Keeps the shares of calls that routes get admitted close together while
 * there is not room for all, urgent routes a little ahead. Sheer order by
 * urgency would starve the others.
 *
 * Thread safety: one thread.
 */
class AdmissionFairness
{
public:
  /** Notes that a call of a route was admitted or refused. */
  void Record(const std::string& aRoute,
              std::uint32_t aPriority,
              bool aAdmitted,
              Timestamp aNow);

  /**
   * Returns the factor for the longest wait that a route's calls are admitted
   * to: above 1 for routes that were admitted less often than others.
   */
  double WaitFactor(const std::string& aRoute,
                    std::uint32_t aPriority,
                    Timestamp aNow) const;

private:
  /** Calls of a route, older ones counting less. */
  struct Counts
  {
    double offered = 0;
    double admitted = 0;
    double adjustedShare = 0; ///< admitted share, shifted by urgency
    Timestamp updatedAt{};
  };

  static double Decay(const Counts& aCounts, Timestamp aNow);
  static double AdjustedShare(const Counts& aCounts, std::uint32_t aPriority);

  std::unordered_map<std::string, Counts> mRoutes;
};

} // namespace knapweedpaddle::backends
