#pragma once

#include <chrono>
#include <cstdint>

/** Time types shared by all packages. */
namespace knapweedpaddle {

/** Monotonic time; the only clock that timeouts, leases and deadlines use. */
using Timestamp = std::chrono::steady_clock::time_point;

/** Wall clock time in milliseconds since the Unix epoch; used by move
 * schedules. */
using WallMilliseconds = std::int64_t;

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/** Reads the wall clock. Thread safety: any thread. */
inline WallMilliseconds
WallNow()
{
  return std::chrono::duration_cast<Milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/** Microseconds since the Unix epoch, as spans carry. Thread safety: any
 * thread. */
inline std::int64_t
WallMicroseconds()
{
  return std::chrono::duration_cast<Microseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace knapweedpaddle
