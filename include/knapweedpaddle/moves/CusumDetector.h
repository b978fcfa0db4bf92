#pragma once

#include <array>
#include <cstdint>
#include <optional>

namespace knapweedpaddle::moves {

/** Counts of calls, and of those among them that were bad, in one interval. */
struct CallCounts
{
  std::uint64_t calls = 0;
  std::uint64_t bad = 0;
};

struct CusumOptions
{
  double alwaysAllowedShare =
    0.02; ///< share of bad calls that is never held against a version
  double oldShareFactor =
    1.5;                 ///< times the old version's share that is allowed
  double threshold = 16; ///< log likelihood ratio that condemns
  double allowedShareWithoutOldVersion =
    0.5; ///< allowed while there is nothing to compare with
};

/**
 * Sequential test of a new version's share of bad calls against the old
 * version's in the same time: a CUSUM of log likelihood ratios over a grid of
 * worse shares. It finds faults that are there at once and faults that begin
 * later. While the new version is within the allowed share, one interval
 * condemns it with a probability of at most kAlternativeCount *
 * exp(-threshold).
 *
 * Thread safety: one thread.
 */
class CusumDetector
{
public:
  explicit CusumDetector(CusumOptions aOptions);

  /**
   * Adds one interval; true once the new version is condemned.
   *
   * @param aOldShare  the old version's share of bad calls at the same time,
   * or nothing when it is not known.
   */
  bool Add(std::optional<double> aOldShare, const CallCounts& aAfter);

  /** Returns the strongest evidence as a share of the threshold, 0 to 1 and
   * above. */
  double Suspicion() const;

  /** Returns the share of bad calls allowed at present. */
  double AllowedShare() const { return mAllowed; }

  static constexpr std::size_t kAlternativeCount = 6;

private:
  CusumOptions mOptions;
  double mAllowed;
  std::array<double, kAlternativeCount> mSums{};
  bool mCondemned = false;
};

} // namespace knapweedpaddle::moves
