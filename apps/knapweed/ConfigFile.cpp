#include "ConfigFile.h"

#include "ConfigDocument.h"
#include "knapweedpaddle/config/EntryCodec.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace knapweedpaddle::cli {

namespace {

using Json = nlohmann::json;

/** The platform's documents name no version of a service. */
constexpr const char* kAnyVersion = "any";

config::SnapshotPtr
ReadCatalogue(const Json& aEntries, std::string& aReason)
{
  auto snapshot = std::make_shared<config::Snapshot>();
  for (const auto& it : aEntries) {
    config::ConfigReason reason;
    const auto entry = config::DecodeEntry(it.dump(), reason);
    if (!entry) {
      aReason = reason.message;
      return nullptr;
    }
    if (!snapshot->entries.emplace(config::IdOf(*entry), *entry).second) {
      aReason = "entry " + config::IdOf(*entry).ToString() + " is named twice";
      return nullptr;
    }
  }
  return snapshot;
}

config::SnapshotPtr
ReadDocument(const std::string& aText, std::string& aReason)
{
  const auto decoded = platform::DecodeConfig(aText, aReason);
  if (!decoded) {
    return nullptr;
  }
  auto snapshot = std::make_shared<config::Snapshot>(*decoded);
  for (auto& [id, entry] : snapshot->entries) {
    if (auto* service = std::get_if<config::ServiceEntry>(&entry)) {
      service->version = kAnyVersion;
    }
  }
  return snapshot;
}

} // namespace

config::SnapshotPtr
ReadConfigFile(const std::string& aPath, std::string& aReason)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  const Json json = Json::parse(text.str(), nullptr, false);
  if (!file || json.is_discarded()) {
    aReason = "can't be read, or is not valid JSON";
    return nullptr;
  }
  if (json.is_object() && json.contains("routes")) {
    return ReadDocument(text.str(), aReason);
  }
  const Json entries =
    json.is_array() ? json : json.value("entries", Json::array());
  return ReadCatalogue(entries, aReason);
}

} // namespace knapweedpaddle::cli
