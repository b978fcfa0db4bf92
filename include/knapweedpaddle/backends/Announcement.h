#pragma once

#include "knapweedpaddle/backends/BackendDispatcher.h"

namespace knapweedpaddle::backends {

/**
 * The registration that a backend server repeats to the node on its VM, at
 * least every second.
 */
struct Announcement
{
  BackendServer server;
  bool draining = false; ///< the server accepts no new calls
};

/** How long an announcement stays valid unless it is repeated. */
inline constexpr Milliseconds kAnnouncementLifetime{ 3000 };

/**
 * Parses {"address": "IP:port", "service", "version", "slots", "draining"}.
 *
 * @return nothing on invalid input; aReason then names the invalid field.
 */
std::optional<Announcement>
DecodeAnnouncement(const std::string& aJson, std::string& aReason);

} // namespace knapweedpaddle::backends
