#include "knapweedpaddle/backends/Announcement.h"

#include "knapweedpaddle/nodes/MemberRecord.h"

#include <nlohmann/json.hpp>

namespace knapweedpaddle::backends {

namespace {

constexpr std::uint32_t kMaxSlots = 10'000;

} // namespace

std::optional<Announcement>
DecodeAnnouncement(const std::string& aJson, std::string& aReason)
{
  Announcement announcement;
  try {
    const auto json = nlohmann::json::parse(aJson);
    announcement.server.address = json.at("address");
    announcement.server.service = json.at("service");
    announcement.server.version = json.at("version");
    announcement.server.slots = json.at("slots");
    announcement.draining = json.value("draining", false);
  } catch (const nlohmann::json::exception& e) {
    aReason = std::string("announcement: ") + e.what();
    return std::nullopt;
  }
  const BackendServer& server = announcement.server;
  if (!nodes::ParseNodeId(server.address)) {
    aReason = "announcement: address \"" + server.address + "\" is not IP:port";
    return std::nullopt;
  }
  if (server.service.empty() || server.version.empty()) {
    aReason = "announcement: service and version must not be empty";
    return std::nullopt;
  }
  if (server.slots < 1 || server.slots > kMaxSlots) {
    aReason = "announcement: slots must be 1 to 10000";
    return std::nullopt;
  }
  return announcement;
}

} // namespace knapweedpaddle::backends
