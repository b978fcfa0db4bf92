#include "knapweedpaddle/config/EntryCodec.h"

#include "FieldReader.h"

#include <set>

namespace knapweedpaddle::config {

namespace {

Json
ToJson(const EntryHeader& aHeader, EntryKind aKind)
{
  return Json{ { "kind", NameOf(kEntryKindNames, aKind) },
               { "name", aHeader.name },
               { "owner", aHeader.owner },
               { "revision", aHeader.revision } };
}

void
AddFields(Json& aJson, const ServiceEntry& aEntry)
{
  aJson["version"] = aEntry.version;
  if (!aEntry.healthPath.empty()) {
    aJson["health_path"] = aEntry.healthPath;
  }
  if (aEntry.warmupCallsPerSecond > 0) {
    aJson["warmup_calls_per_second"] = aEntry.warmupCallsPerSecond;
  }
}

void
AddFields(Json& aJson, const RouteEntry& aEntry)
{
  aJson["host"] = aEntry.host;
  aJson["path_prefix"] = aEntry.pathPrefix;
  aJson["service"] = aEntry.service;
  for (const auto& it : aEntry.split) {
    aJson["split"].push_back(
      Json{ { "service", it.service }, { "weight", it.weight } });
  }
  aJson["limit"] = aEntry.limit;
  aJson["class"] = NameOf(kCallClassNames, aEntry.callClass);
  aJson["timeout_ms"] = aEntry.timeout.count();
  aJson["slow_after_ms"] = aEntry.slowAfter.count();
  aJson["priority"] = aEntry.priority;
  aJson["max_tries"] = aEntry.maxTries;
  if (aEntry.isPublic) {
    aJson["public"] = true;
  }
}

void
AddFields(Json& aJson, const LimitEntry& aEntry)
{
  aJson["rate_per_second"] = aEntry.ratePerSecond;
  aJson["burst"] = aEntry.burst;
}

void
AddFields(Json& aJson, const MoveEntry& aEntry)
{
  aJson["service"] = aEntry.service;
  aJson["from_version"] = aEntry.fromVersion;
  aJson["to_version"] = aEntry.toVersion;
  aJson["start_at"] = aEntry.startAt;
  aJson["done_by"] = aEntry.doneBy;
  aJson["canary_share"] = aEntry.canaryShare;
  aJson["bake_ms"] = aEntry.bake.count();
  aJson["state"] = NameOf(kMoveStateNames, aEntry.state);
  aJson["reason"] = aEntry.reason;
}

void
AddFields(Json& aJson, const TeamEntry& aEntry)
{
  aJson["keys"] = aEntry.keys;
  if (aEntry.priority) {
    aJson["priority"] = *aEntry.priority;
  }
  aJson["calls_per_second"] = aEntry.callsPerSecond;
  aJson["burst"] = aEntry.burst;
}

Json
ToJson(const Entry& aEntry)
{
  Json json = ToJson(HeaderOf(aEntry), IdOf(aEntry).kind);
  std::visit([&json](const auto& aItem) { AddFields(json, aItem); }, aEntry);
  return json;
}

Entry
ReadService(FieldReader& aReader)
{
  ServiceEntry entry;
  entry.version = aReader.String("version");
  entry.healthPath = aReader.String("health_path", false);
  entry.warmupCallsPerSecond =
    aReader.Number("warmup_calls_per_second", entry.warmupCallsPerSecond);
  return entry;
}

Json
ToJson(const CallerLimits& aLimits)
{
  return Json{ { "header_bytes", aLimits.headerBytes },
               { "body_bytes", aLimits.bodyBytes },
               { "header_timeout_ms", aLimits.headerTimeout.count() },
               { "idle_timeout_ms", aLimits.idleTimeout.count() } };
}

CallerLimits
ReadCallerLimits(const Json& aJson)
{
  FieldReader reader(aJson, "caller_limits");
  CallerLimits limits;
  const auto size = [&reader](const char* aName, std::size_t aDefault) {
    return static_cast<std::size_t>(
      reader.Integer(aName, static_cast<std::int64_t>(aDefault)));
  };
  const auto time = [&reader](const char* aName, Milliseconds aDefault) {
    return Milliseconds(reader.Integer(aName, aDefault.count()));
  };
  limits.headerBytes = size("header_bytes", limits.headerBytes);
  limits.bodyBytes = size("body_bytes", limits.bodyBytes);
  limits.headerTimeout = time("header_timeout_ms", limits.headerTimeout);
  limits.idleTimeout = time("idle_timeout_ms", limits.idleTimeout);
  reader.RejectUnknownFields();
  return limits;
}

std::vector<RouteShare>
ReadSplit(const Json* aArray)
{
  std::vector<RouteShare> split;
  for (std::size_t n = 0; aArray && n < aArray->size(); ++n) {
    FieldReader reader((*aArray)[n], "split " + std::to_string(n + 1));
    RouteShare share;
    share.service = reader.String("service");
    share.weight = reader.Number("weight", share.weight);
    reader.RejectUnknownFields();
    split.push_back(std::move(share));
  }
  return split;
}

Entry
ReadRoute(FieldReader& aReader)
{
  RouteEntry entry;
  entry.host = aReader.String("host", false);
  entry.pathPrefix = aReader.String("path_prefix");
  entry.split = ReadSplit(aReader.Array("split"));
  entry.service = aReader.String("service", entry.split.empty());
  entry.limit = aReader.String("limit", false);
  entry.callClass =
    aReader.EnumValue("class", kCallClassNames, entry.callClass);
  entry.timeout =
    Milliseconds(aReader.Integer("timeout_ms", entry.timeout.count()));
  entry.slowAfter =
    Milliseconds(aReader.Integer("slow_after_ms", entry.slowAfter.count()));
  entry.priority =
    static_cast<std::uint32_t>(aReader.Integer("priority", entry.priority));
  entry.maxTries =
    static_cast<std::uint32_t>(aReader.Integer("max_tries", entry.maxTries));
  entry.isPublic = aReader.Bool("public", entry.isPublic);
  return entry;
}

Entry
ReadLimit(FieldReader& aReader)
{
  LimitEntry entry;
  entry.ratePerSecond = aReader.Number("rate_per_second", 0);
  entry.burst = aReader.Number("burst", entry.burst);
  return entry;
}

Entry
ReadMove(FieldReader& aReader)
{
  MoveEntry entry;
  entry.service = aReader.String("service");
  entry.fromVersion = aReader.String("from_version");
  entry.toVersion = aReader.String("to_version");
  entry.startAt = aReader.Integer("start_at", 0);
  entry.doneBy = aReader.Integer("done_by", 0);
  entry.canaryShare = aReader.Number("canary_share", entry.canaryShare);
  entry.bake = Milliseconds(aReader.Integer("bake_ms", 0));
  entry.state = aReader.EnumValue("state", kMoveStateNames, entry.state);
  entry.reason = aReader.String("reason", false);
  return entry;
}

Entry
ReadTeam(FieldReader& aReader)
{
  TeamEntry entry;
  entry.keys = aReader.Strings("keys");
  if (aReader.Has("priority")) {
    entry.priority = static_cast<std::uint32_t>(aReader.Integer("priority", 0));
  }
  entry.callsPerSecond =
    aReader.Number("calls_per_second", entry.callsPerSecond);
  entry.burst = aReader.Number("burst", entry.burst);
  return entry;
}

/** Reads the fields that only entries of one kind have. */
using EntryReader = Entry (*)(FieldReader&);
/** Indexed by EntryKind. */
constexpr std::array<EntryReader, 5> kEntryReaders{ ReadService,
                                                    ReadRoute,
                                                    ReadLimit,
                                                    ReadMove,
                                                    ReadTeam };

Entry
ReadEntry(const Json& aJson, const std::string& aContext)
{
  std::string context = aContext;
  if (aJson.is_object() && aJson.contains("kind") && aJson.contains("name") &&
      aJson["kind"].is_string() && aJson["name"].is_string()) {
    context += " " + aJson["kind"].get<std::string>() + "/" +
               aJson["name"].get<std::string>();
  }
  FieldReader reader(aJson, context);
  if (!ValueOf(kEntryKindNames, reader.String("kind"))) {
    throw FieldError{
      context + ": field \"kind\" must be one of service, route, limit, move, "
                "team"
    };
  }
  const auto kind =
    reader.EnumValue("kind", kEntryKindNames, EntryKind::kService);
  EntryHeader header;
  header.name = reader.String("name");
  header.owner = reader.String("owner");
  header.revision = static_cast<std::uint64_t>(reader.Integer("revision", 0));
  Entry entry = kEntryReaders[static_cast<std::size_t>(kind)](reader);
  reader.RejectUnknownFields();
  HeaderOf(entry) = header;
  return entry;
}

EntryId
ParseEntryId(const std::string& aText, const std::string& aContext)
{
  if (auto id = EntryId::Parse(aText)) {
    return *id;
  }
  throw FieldError{ aContext + ": \"" + aText +
                    "\" does not have the form kind/name" };
}

/** Parses JSON, runs aParser on it and turns exceptions into a reason. */
template<typename T, typename Parser>
std::optional<T>
DecodeWith(const std::string& aJson, ConfigReason& aReason, Parser aParser)
{
  try {
    return aParser(Json::parse(aJson));
  } catch (const FieldError& e) {
    aReason.Set(ConfigError::kMalformed, e.message);
  } catch (const Json::exception& e) {
    aReason.Set(ConfigError::kMalformed,
                std::string("not valid JSON: ") + e.what());
  }
  return std::nullopt;
}

std::vector<Entry>
ReadEntries(const Json* aArray)
{
  std::vector<Entry> entries;
  if (aArray) {
    for (std::size_t n = 0; n < aArray->size(); ++n) {
      entries.push_back(
        ReadEntry((*aArray)[n], "entry " + std::to_string(n + 1)));
    }
  }
  return entries;
}

Json
ToJson(const std::vector<Entry>& aEntries)
{
  Json array = Json::array();
  for (const auto& it : aEntries) {
    array.push_back(ToJson(it));
  }
  return array;
}

} // namespace

std::string
EncodeEntry(const Entry& aEntry)
{
  return ToJson(aEntry).dump();
}

std::optional<Entry>
DecodeEntry(const std::string& aJson, ConfigReason& aReason)
{
  return DecodeWith<Entry>(aJson, aReason, [](const Json& aItem) {
    return ReadEntry(aItem, "entry");
  });
}

std::string
EncodeChange(const Change& aChange)
{
  Json removals = Json::array();
  for (const auto& it : aChange.removals) {
    removals.push_back(it.ToString());
  }
  Json json{ { "version", aChange.version },
             { "operation_id", aChange.operationId },
             { "digest", aChange.digest },
             { "upserts", ToJson(aChange.upserts) },
             { "removals", removals } };
  if (aChange.baseVersion > 0) {
    json["base_version"] = aChange.baseVersion;
  }
  return json.dump();
}

std::optional<Change>
DecodeChange(const std::string& aJson, ConfigReason& aReason)
{
  return DecodeWith<Change>(aJson, aReason, [](const Json& aParsed) {
    FieldReader reader(aParsed, "change");
    Change change;
    change.version = static_cast<std::uint64_t>(reader.Integer("version", 0));
    change.baseVersion =
      static_cast<std::uint64_t>(reader.Integer("base_version", 0));
    change.operationId = reader.String("operation_id");
    change.digest = reader.String("digest");
    change.upserts = ReadEntries(reader.Array("upserts"));
    if (const Json* removals = reader.Array("removals")) {
      for (const auto& it : *removals) {
        change.removals.push_back(
          ParseEntryId(it.get<std::string>(), "change"));
      }
    }
    reader.RejectUnknownFields();
    return change;
  });
}

std::string
EncodeSnapshot(const Snapshot& aSnapshot)
{
  Json entries = Json::array();
  for (const auto& [id, entry] : aSnapshot.entries) {
    entries.push_back(ToJson(entry));
  }
  return Json{
    { "version", aSnapshot.version },
    { "digest", aSnapshot.Digest() },
    { "caller_limits", ToJson(aSnapshot.callerLimits) },
    { "entries", entries }
  }.dump();
}

std::optional<Snapshot>
DecodeSnapshot(const std::string& aJson, ConfigReason& aReason)
{
  std::string digest;
  auto snapshot =
    DecodeWith<Snapshot>(aJson, aReason, [&digest](const Json& aParsed) {
      FieldReader reader(aParsed, "snapshot");
      Snapshot result;
      result.version = static_cast<std::uint64_t>(reader.Integer("version", 0));
      digest = reader.String("digest");
      if (const Json* limits = reader.Object("caller_limits")) {
        result.callerLimits = ReadCallerLimits(*limits);
      }
      for (auto& it : ReadEntries(reader.Array("entries"))) {
        result.entries.insert_or_assign(IdOf(it), it);
      }
      reader.RejectUnknownFields();
      return result;
    });
  if (snapshot && snapshot->Digest() != digest) {
    aReason.Set(ConfigError::kDigestMismatch,
                "snapshot " + std::to_string(snapshot->version) +
                  " does not have digest " + digest);
    return std::nullopt;
  }
  return snapshot;
}

std::optional<ChangeRequest>
DecodeChangeRequest(const std::string& aJson, ConfigReason& aReason)
{
  return DecodeWith<ChangeRequest>(aJson, aReason, [](const Json& aParsed) {
    FieldReader reader(aParsed, "request");
    ChangeRequest request;
    request.operationId = reader.String("operation_id");
    request.upserts = ReadEntries(reader.Array("entries"));
    std::set<EntryId> seenIds;
    const auto requireUnique = [&seenIds](const EntryId& aId) {
      if (!seenIds.insert(aId).second) {
        throw FieldError{ "request: entry " + aId.ToString() +
                          " is named twice" };
      }
    };
    for (const auto& it : request.upserts) {
      requireUnique(IdOf(it));
    }
    if (const Json* removals = reader.Array("remove")) {
      for (const auto& it : *removals) {
        FieldReader removal(it, "removal");
        ChangeRequest::Removal item;
        item.id = ParseEntryId(removal.String("id"), "removal");
        item.revision =
          static_cast<std::uint64_t>(removal.Integer("revision", 0));
        removal.RejectUnknownFields();
        requireUnique(item.id);
        request.removals.push_back(item);
      }
    }
    reader.RejectUnknownFields();
    if (request.operationId.empty() ||
        (request.upserts.empty() && request.removals.empty())) {
      throw FieldError{
        "request: must have an operation_id and at least one entry or removal"
      };
    }
    return request;
  });
}

} // namespace knapweedpaddle::config
