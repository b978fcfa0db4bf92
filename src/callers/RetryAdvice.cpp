#include "knapweedpaddle/callers/RetryAdvice.h"

#include <algorithm>

namespace knapweedpaddle::callers {

namespace {

/** Advice without a server that tells its load. */
constexpr Milliseconds kDefaultRetryAfter{ 200 };
/** Shorter times would bring the caller back before the load has changed. */
constexpr Milliseconds kMinRetryAfter{ 50 };
/** Callers with short timeouts do not wait for longer. */
constexpr Milliseconds kMaxRetryAfter{ 1000 };

} // namespace

void
RetryAdvice::AddRefusal(const backends::ServerLoad& aLoad)
{
  if (aLoad.slots == 0) {
    return; // not accepting calls; the load says nothing about the wait
  }
  const Milliseconds slotWait(std::uint64_t{ aLoad.serviceMs } *
                              (aLoad.queued + 1) / aLoad.slots);
  const Milliseconds wait = std::max(slotWait, Milliseconds(aLoad.rateWaitMs));
  mShortestWait = std::min(mShortestWait.value_or(wait), wait);
}

Milliseconds
RetryAdvice::RetryAfter() const
{
  return std::clamp(
    mShortestWait.value_or(kDefaultRetryAfter), kMinRetryAfter, kMaxRetryAfter);
}

} // namespace knapweedpaddle::callers
