#include "knapweedpaddle/backends/ServerRateLimit.h"

#include <charconv>
#include <cmath>

namespace knapweedpaddle::backends {

std::optional<double>
ServerRateLimit::Parse(const std::string& aText)
{
  double rate = 0;
  const char* last = aText.data() + aText.size();
  const auto [end, ec] = std::from_chars(aText.data(), last, rate);
  if (ec != std::errc() || end != last || !std::isfinite(rate) || rate < 0) {
    return std::nullopt;
  }
  return rate;
}

bool
ServerRateLimit::OnAnswer(std::optional<double> aRate,
                          Timestamp aSentAt,
                          Timestamp aNow)
{
  if (aRate) {
    mNamedAt = aNow;
  } else if (aSentAt <= mNamedAt) {
    return false;
  }
  const bool changed = mRate != aRate;
  mRate = aRate;
  return changed;
}

} // namespace knapweedpaddle::backends
