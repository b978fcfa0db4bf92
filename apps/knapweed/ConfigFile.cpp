#include "ConfigFile.h"

#include "ConfigDocument.h"
#include "knapweedpaddle/config/EntryCodec.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace knapweedpaddle::cli {

namespace {

using Json = nlohmann::json;

/** The platform's documents name no version of a service. */
constexpr const char* kAnyVersion = "any";

std::optional<Json>
ReadJson(const std::string& aPath, std::string& aReason)
{
  std::ifstream file(aPath);
  if (!file) {
    aReason = "can't be read";
    return std::nullopt;
  }
  try {
    return Json::parse(file);
  } catch (const Json::exception& e) {
    aReason = e.what();
    return std::nullopt;
  }
}

/** Returns the entries of a catalogue file: a bare array, or the field
 * "entries". */
std::optional<Json>
EntriesOf(const Json& aJson, std::string& aReason)
{
  try {
    return aJson.is_array() ? aJson : aJson.at("entries");
  } catch (const Json::exception& e) {
    aReason = e.what();
    return std::nullopt;
  }
}

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

std::optional<Json>
ReadEntries(const std::string& aPath, std::string& aReason)
{
  const auto json = ReadJson(aPath, aReason);
  return json ? EntriesOf(*json, aReason) : std::nullopt;
}

config::SnapshotPtr
ReadConfigFile(const std::string& aPath, std::string& aReason)
{
  const auto json = ReadJson(aPath, aReason);
  if (!json) {
    return nullptr;
  }
  if (json->is_object() &&
      (json->contains("routes") || json->contains("services"))) {
    return ReadDocument(json->dump(), aReason);
  }
  const auto entries = EntriesOf(*json, aReason);
  return entries ? ReadCatalogue(*entries, aReason) : nullptr;
}

} // namespace knapweedpaddle::cli
