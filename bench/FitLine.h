#pragma once

#include <cmath>
#include <cstddef>
#include <vector>

namespace knapweedpaddle::bench {

/** One measured point. */
struct Point
{
  double size = 0;
  double value = 0;
};

/** A straight line through measured points, by least squares. */
struct Line
{
  double slope = 0;
  double constant = 0;
  double residual = 0; ///< root mean square, in the unit of the values

  double At(double aSize) const { return constant + slope * aSize; }
};

/** @pre There are at least two points with different sizes. */
inline Line
FitLine(const std::vector<Point>& aPoints)
{
  const auto n = static_cast<double>(aPoints.size());
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;
  for (const auto& it : aPoints) {
    x += it.size;
    y += it.value;
    xx += it.size * it.size;
    xy += it.size * it.value;
  }
  Line line;
  line.slope = (n * xy - x * y) / (n * xx - x * x);
  line.constant = (y - line.slope * x) / n;
  double squares = 0;
  for (const auto& it : aPoints) {
    squares += std::pow(it.value - line.At(it.size), 2);
  }
  line.residual = std::sqrt(squares / n);
  return line;
}

} // namespace knapweedpaddle::bench
