#pragma once

#include <cmath>
#include <cstddef>
#include <vector>

namespace knapweedpaddle::bench {

/** A value measured at one size, such as a number of nodes. */
struct Point
{
  double size = 0;
  double value = 0;
};

/** A straight line fitted to measured points. */
struct Line
{
  double slope = 0;
  double constant = 0;
  double residual = 0; ///< root mean square error, in the unit of the values

  /** Returns the value that the line predicts for a size. */
  double At(double aSize) const { return constant + slope * aSize; }
};

/**
 * Fits a line by least squares.
 *
 * @pre There are at least two points with different sizes.
 */
inline Line
FitLine(const std::vector<Point>& aPoints)
{
  const auto n = static_cast<double>(aPoints.size());
  double sumX = 0;
  double sumY = 0;
  double sumXX = 0;
  double sumXY = 0;
  for (const auto& it : aPoints) {
    sumX += it.size;
    sumY += it.value;
    sumXX += it.size * it.size;
    sumXY += it.size * it.value;
  }
  Line line;
  line.slope = (n * sumXY - sumX * sumY) / (n * sumXX - sumX * sumX);
  line.constant = (sumY - line.slope * sumX) / n;
  double squares = 0;
  for (const auto& it : aPoints) {
    squares += std::pow(it.value - line.At(it.size), 2);
  }
  line.residual = std::sqrt(squares / n);
  return line;
}

} // namespace knapweedpaddle::bench
