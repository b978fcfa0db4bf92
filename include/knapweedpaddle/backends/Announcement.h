#pragma once

#include "knapweedpaddle/backends/BackendDispatcher.h"

namespace knapweedpaddle::backends {

/** What a backend server says to the node on its VM, at least every second. */
struct Announcement
{
  BackendServer server;
  bool draining = false; ///< takes no new work
};

/** How long an announcement holds without being repeated. */
inline constexpr Milliseconds kAnnouncementLifetime{ 3000 };

/**
 * Parses {"address": "IP:port", "service", "version", "slots", "draining"}.
 *
 * @return nothing, with the field named in aReason, on bad input.
 */
std::optional<Announcement>
DecodeAnnouncement(const std::string& aJson, std::string& aReason);

} // namespace knapweedpaddle::backends
