#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace knapweedpaddle::backends {

/**
 * Remembers the backend servers that said that they are leaving or gone. A
 * server is identified by its id and start time: after a restart it may come
 * back under the same id.
 *
 * Thread safety: one thread.
 */
class DepartedServers
{
public:
  /**
   * Records that a server is leaving or gone.
   *
   * @param aStartedAtMs  Unix time of the server's start; 0 if unknown.
   */
  void Record(const std::string& aId, std::uint64_t aStartedAtMs);

  /** Returns true if this server, or a later start under the same id, has left.
   */
  bool Contains(const std::string& aId, std::uint64_t aStartedAtMs) const;

private:
  /** Latest start time of each server, by id. */
  std::map<std::string, std::uint64_t> mServers;
};

} // namespace knapweedpaddle::backends
