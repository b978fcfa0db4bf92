#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

/** Types and functions shared by all packages. */
namespace knapweedpaddle {

/** Monotonic time; all timeouts, leases and deadlines use it. */
using Timestamp = std::chrono::steady_clock::time_point;

/** Wall clock time in milliseconds since the Unix epoch, for example for the
 * start time of a move. */
using WallMilliseconds = std::int64_t;

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/** Returns the time since the VM was started, which unlike a Timestamp includes
 * the time during which it was suspended. Thread safety: any thread. */
inline Microseconds
BootTime()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<Microseconds>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

/** Returns the current wall clock time. Thread safety: any thread. */
inline WallMilliseconds
WallNow()
{
  return std::chrono::duration_cast<Milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/** Returns the current wall clock time in microseconds since the Unix epoch,
 * the unit of trace spans. Thread safety: any thread. */
inline std::int64_t
WallMicroseconds()
{
  return std::chrono::duration_cast<Microseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace knapweedpaddle
