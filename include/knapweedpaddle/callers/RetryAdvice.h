#pragma once

#include "knapweedpaddle/backends/ServerLoad.h"
#include "knapweedpaddle/common/Time.h"

#include <optional>

namespace knapweedpaddle::callers {

/**
 * Advises the caller of a refused call when to try again: when the first of the
 * servers that refused it is expected to have room.
 *
 * Thread safety: one thread.
 */
class RetryAdvice
{
public:
  /** Adds the load that a server reported when it refused the call. */
  void AddRefusal(const backends::ServerLoad& aLoad);

  /** Returns the time after which the caller may try again. */
  Milliseconds RetryAfter() const;

private:
  std::optional<Milliseconds> mShortestWait; ///< of the servers added so far
};

} // namespace knapweedpaddle::callers
