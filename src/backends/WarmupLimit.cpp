#include "knapweedpaddle/backends/WarmupLimit.h"

#include <algorithm>
#include <cmath>

namespace knapweedpaddle::backends {

namespace {

/** Longer than the second of the limit, as calls may arrive closer together
 * than they were sent. */
constexpr Milliseconds kWindow{ 1050 };

} // namespace

WarmupLimit::WarmupLimit(Timestamp aStart)
  : mStart(aStart)
{
}

void
WarmupLimit::SetCallsPerSecond(double aCalls)
{
  mMaxCalls =
    aCalls > 0
      ? std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(aCalls)))
      : 0;
  if (mMaxCalls == 0) {
    mSent.clear();
  }
}

void
WarmupLimit::SetWarmupLeft(Milliseconds aLeft, Timestamp aNow)
{
  mIsKnown = true;
  mColdUntil = aNow + aLeft;
}

bool
WarmupLimit::IsCold(Timestamp aNow) const
{
  return IsEnabled() && (!mIsKnown || aNow < mColdUntil);
}

bool
WarmupLimit::HasRoom(Timestamp aNow)
{
  ForgetOldCalls(aNow);
  return !IsCold(aNow) ||
         (aNow >= mStart + kWindow && mSent.size() < mMaxCalls);
}

void
WarmupLimit::CountCall(Timestamp aNow)
{
  if (IsEnabled()) {
    mSent.push_back(aNow);
  }
}

Microseconds
WarmupLimit::WaitFor(std::size_t aCallsAhead, Timestamp aNow) const
{
  if (!IsCold(aNow)) {
    return Microseconds(0);
  }
  const auto until = [aNow](Timestamp aTime) {
    return std::max(Microseconds(0),
                    std::chrono::ceil<Microseconds>(aTime - aNow));
  };
  // Each window sends as many calls as the one before it, at the same times.
  const auto recent = std::ranges::lower_bound(mSent, aNow - kWindow);
  const auto inWindow = static_cast<std::size_t>(mSent.end() - recent);
  const std::size_t position = inWindow + aCallsAhead;
  Timestamp sendAt = mStart + kWindow;
  if (position >= mMaxCalls) {
    const std::size_t excess = position - mMaxCalls;
    const std::size_t n = excess % mMaxCalls;
    const Timestamp sameCallBefore =
      n < inWindow ? *(recent + static_cast<std::ptrdiff_t>(n)) : aNow;
    const auto windows = static_cast<std::int64_t>(1 + excess / mMaxCalls);
    sendAt = std::max(sendAt, sameCallBefore + kWindow * windows);
  }
  return until(mIsKnown ? std::min(sendAt, mColdUntil) : sendAt);
}

Microseconds
WarmupLimit::CallInterval(Timestamp aNow) const
{
  return IsCold(aNow) ? std::chrono::duration_cast<Microseconds>(kWindow) /
                          static_cast<std::int64_t>(mMaxCalls)
                      : Microseconds(0);
}

void
WarmupLimit::ForgetOldCalls(Timestamp aNow)
{
  while (!mSent.empty() && mSent.front() <= aNow - kWindow) {
    mSent.pop_front();
  }
}

} // namespace knapweedpaddle::backends
