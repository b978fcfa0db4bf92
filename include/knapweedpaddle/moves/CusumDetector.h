#pragma once

#include <array>
#include <cstdint>
#include <optional>

namespace knapweedpaddle::moves {

/** Counts of calls in one interval. */
struct CallCounts
{
  std::uint64_t calls = 0;
  std::uint64_t bad = 0; ///< calls that failed, or that were slow
};

struct CusumOptions
{
  /** Share of bad calls that is always allowed. */
  double alwaysAllowedShare = 0.02;
  /** Multiple of the old version's share that is allowed in addition. */
  double oldShareFactor = 1.5;
  /** Log likelihood ratio at which the new version is condemned. */
  double threshold = 16;
  /** Share of bad calls that is allowed while the old version's is unknown. */
  double allowedShareWithoutOldVersion = 0.5;
};

/**
 * Tests whether a new version's share of bad calls is worse than the old
 * version's at the same time. The test is a CUSUM (cumulative sum) of log
 * likelihood ratios, one for each of several worse shares. It detects faults
 * that are there from the start and faults that begin later. While the new
 * version is within the allowed share, one interval condemns it with a
 * probability of at most kAlternativeCount * exp(-threshold).
 *
 * Thread safety: one thread.
 */
class CusumDetector
{
public:
  explicit CusumDetector(CusumOptions aOptions);

  /**
   * Adds one interval. Returns true once the new version is condemned.
   *
   * @param aOldShare  the old version's share of bad calls at the same time,
   * or nothing if it is not known.
   * @param aAfter  the new version's calls in the interval.
   */
  bool Add(std::optional<double> aOldShare, const CallCounts& aAfter);

  /** Returns the largest sum divided by the threshold; 1 and more condemns. */
  double Suspicion() const;

  /** Returns the share of bad calls that is allowed at present. */
  double AllowedShare() const { return mAllowedShare; }

  /** Number of worse shares that are tested. */
  static constexpr std::size_t kAlternativeCount = 6;

private:
  CusumOptions mOptions;
  double mAllowedShare;
  std::array<double, kAlternativeCount> mSums{}; ///< one for each worse share
  bool mCondemned = false;
};

} // namespace knapweedpaddle::moves
