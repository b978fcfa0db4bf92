#pragma once

#include <cstdint>
#include <map>

namespace knapweedpaddle {

/** A request that was in progress at a backend server when it crashed, as one
 * node or several nodes together saw it. */
struct CrashSuspect
{
  std::uint64_t request = 0; ///< hash of the request's content
  std::uint32_t crashes = 0; ///< servers that crashed while they ran it
  bool answered = false;     ///< a server ran the request without crashing

  bool operator==(const CrashSuspect&) const = default;
};

/** Suspects by the hash of the request. */
using CrashSuspects = std::map<std::uint64_t, CrashSuspect>;

/** Adds what another node saw of a suspect. */
inline void
MergeSuspect(CrashSuspects& aSuspects, const CrashSuspect& aSuspect)
{
  CrashSuspect& it = aSuspects[aSuspect.request];
  it.request = aSuspect.request;
  it.crashes += aSuspect.crashes;
  it.answered |= aSuspect.answered;
}

} // namespace knapweedpaddle
