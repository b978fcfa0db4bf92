#include "knapweedpaddle/backends/ServerRateLimit.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace knapweedpaddle::backends {

namespace {

/** Calls in progress before the first answer to a new process. Low enough that
 * with the calls of the process before it the server gets few too many. */
constexpr std::size_t kMaxCallsBeforeAnswer = 4;
/** Calls that may be sent at once after a time without any, as the number that
 * the rate allows in this time (s). */
constexpr double kBurstSeconds = 0.5;
/** Lowest rate used (calls per second). A server that names less still gets a
 * call now and then, since only its answers can lift the limit. */
constexpr double kMinRate = 0.25;

/** Returns the rate that is used for a server that names a rate. */
double
UsedRate(double aNamedRate)
{
  return std::max(aNamedRate, kMinRate);
}

} // namespace

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
  mHasAnswer = true;
  if (aRate) {
    mNamedAt = aNow;
  } else if (aSentAt <= mNamedAt) {
    return false;
  }
  if (mRate == aRate) {
    return false;
  }
  if (aRate) {
    const double rate = UsedRate(*aRate);
    if (!mRate) {
      // Starts empty: the calls in progress count against the limit, too.
      mBucket = routing::TokenBucket(rate, 0);
      mBucket.Take(aNow, 0);
    }
    mBucket.SetRate(rate);
    mBucket.SetBurst(std::max(1.0, rate * kBurstSeconds));
  }
  mRate = aRate;
  return true;
}

bool
ServerRateLimit::TakeCall(std::size_t aInProgress, Timestamp aNow)
{
  if (!mHasAnswer) {
    return aInProgress < kMaxCallsBeforeAnswer;
  }
  return !mRate || mBucket.Take(aNow);
}

Microseconds
ServerRateLimit::CallInterval() const
{
  return mRate ? std::chrono::ceil<Microseconds>(
                   std::chrono::duration<double>(1 / UsedRate(*mRate)))
               : Microseconds(0);
}

Microseconds
ServerRateLimit::WaitFor(std::size_t aCallsAhead, Timestamp aNow) const
{
  return mRate ? mBucket.TimeUntil(static_cast<double>(aCallsAhead + 1), aNow)
               : Microseconds(0);
}

} // namespace knapweedpaddle::backends
