#include "knapweedpaddle/backends/DepartedServers.h"

#include <algorithm>

namespace knapweedpaddle::backends {

namespace {

constexpr std::size_t kMaxServers = 64; ///< limits the memory used

} // namespace

void
DepartedServers::Record(const std::string& aId, std::uint64_t aStartedAtMs)
{
  if (mServers.size() >= kMaxServers) {
    mServers.erase(mServers.begin());
  }
  std::uint64_t& latest = mServers[aId];
  latest = std::max(latest, aStartedAtMs);
}

bool
DepartedServers::Contains(const std::string& aId,
                          std::uint64_t aStartedAtMs) const
{
  const auto it = mServers.find(aId);
  return it != mServers.end() && aStartedAtMs <= it->second;
}

} // namespace knapweedpaddle::backends
