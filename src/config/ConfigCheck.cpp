#include "knapweedpaddle/config/ConfigCheck.h"

#include "knapweedpaddle/config/EntryCodec.h"

#include <nlohmann/json.hpp>
#include <set>

namespace knapweedpaddle::config {

namespace {

using Json = nlohmann::json;

/** Checks the entries of a snapshot that Validate() accepts or not. */
class Checker
{
public:
  explicit Checker(const Snapshot& aSnapshot)
    : mSnapshot(aSnapshot)
  {
    for (const auto& [id, entry] : aSnapshot.entries) {
      if (const auto* route = std::get_if<RouteEntry>(&entry)) {
        mUsedServices.insert(route->service);
        mUsedLimits.insert(route->limit);
        for (const auto& it : route->split) {
          mUsedServices.insert(it.service);
        }
      }
    }
  }

  std::vector<Finding> Run()
  {
    for (const auto& [id, entry] : mSnapshot.entries) {
      mEntry = id.ToString();
      std::visit([this](const auto& aItem) { Check(aItem); }, entry);
    }
    mEntry = "limits";
    const CallerLimits& limits = mSnapshot.callerLimits;
    WarnIf(limits.idleTimeout < limits.headerTimeout,
           "callers have less time between two requests than for one");
    WarnIf(limits.bodyBytes == 0, "no request may have a body");
    return std::move(mFindings);
  }

private:
  void WarnIf(bool aCondition, const std::string& aMessage)
  {
    if (aCondition) {
      mFindings.push_back({ FindingLevel::kWarning, mEntry, aMessage });
    }
  }

  void Check(const ServiceEntry& aEntry)
  {
    WarnIf(!mUsedServices.contains(aEntry.header.name),
           "no route leads to the service");
    WarnIf(aEntry.warmupCallsPerSecond > 0 && aEntry.healthPath.empty(),
           "cold servers have a limit, but without a health path a server that "
           "was away stays cold until its next report");
  }

  void Check(const RouteEntry& aEntry)
  {
    WarnIf(aEntry.slowAfter > aEntry.timeout,
           "the latency target is beyond the timeout");
    WarnIf(aEntry.host.find(':') != std::string::npos,
           "never matches: hosts are compared without their port");
    WarnIf(aEntry.pathPrefix.find('?') != std::string::npos,
           "never matches: paths are compared without their query");
    WarnIf(aEntry.callClass == CallClass::kAtMostOnce && aEntry.maxTries > 1 &&
             !aEntry.limit.empty() && aEntry.timeout <= aEntry.slowAfter,
           "calls have no time for a second try");
    for (const auto& it : aEntry.split) {
      WarnIf(it.weight == 0,
             "no call goes to service \"" + it.service +
               "\", whose weight is 0");
    }
    const bool isShadowed =
      !mRoutes.insert({ aEntry.host, aEntry.pathPrefix }).second;
    WarnIf(isShadowed,
           "never matches: another route has the same host and path prefix");
  }

  void Check(const LimitEntry& aEntry)
  {
    WarnIf(!mUsedLimits.contains(aEntry.header.name), "no route has the limit");
  }

  void Check(const MoveEntry& aEntry)
  {
    WarnIf(aEntry.state == MoveState::kOpen &&
             aEntry.doneBy - aEntry.startAt < aEntry.bake.count(),
           "the move has to end before its time at all calls is over");
  }

  void Check(const TeamEntry& aEntry)
  {
    WarnIf(aEntry.keys.empty(), "never matches: the team has no keys");
    WarnIf(aEntry.callsPerSecond == 0 && aEntry.burst > 0,
           "the burst has no effect, as the team has no rate");
    WarnIf(aEntry.callsPerSecond > 0 && aEntry.burst < 1,
           "with a burst below 1 no call is within the allowance");
    WarnIf(aEntry.callsPerSecond > 0 && aEntry.callsPerSecond < 1 &&
             aEntry.burst <= 1,
           "the team may send less than a call a second");
  }

  const Snapshot& mSnapshot;
  std::string mEntry; ///< "kind/name" of the entry being checked
  std::vector<Finding> mFindings;
  std::set<std::string> mUsedServices;
  std::set<std::string> mUsedLimits;
  std::set<std::pair<std::string, std::string>> mRoutes;
};

/** Returns an entry's fields, without what is no change by itself. */
Json
FieldsOf(const Entry& aEntry)
{
  Json json = Json::parse(EncodeEntry(aEntry));
  json.erase("revision");
  if (const auto it = json.find("keys"); it != json.end()) {
    *it = std::to_string(it->size()) + " keys";
  }
  return json;
}

std::string
DescribeFields(const Json& aFrom, const Json& aTo)
{
  std::set<std::string> names;
  for (const Json* object : { &aFrom, &aTo }) {
    for (const auto& [name, value] : object->items()) {
      names.insert(name);
    }
  }
  const auto value = [](const Json& aObject, const std::string& aName) {
    return aObject.contains(aName) ? aObject[aName].dump()
                                   : std::string("none");
  };
  std::string text;
  for (const auto& name : names) {
    const std::string from = value(aFrom, name);
    const std::string to = value(aTo, name);
    if (from != to) {
      text.append(text.empty() ? "" : ", ");
      text.append(name).append(" ").append(from).append(" -> ").append(to);
    }
  }
  return text;
}

} // namespace

std::vector<Finding>
Check(const Snapshot& aSnapshot)
{
  std::vector<Finding> findings = Checker(aSnapshot).Run();
  ConfigReason reason;
  if (!Validate(aSnapshot, reason)) {
    const auto colon = reason.message.find(": ");
    findings.insert(findings.begin(),
                    { FindingLevel::kError,
                      reason.message.substr(0, colon),
                      reason.message.substr(colon + 2) });
  }
  return findings;
}

std::vector<std::string>
DescribeChanges(const Snapshot& aInForce, const Snapshot& aNew)
{
  std::vector<std::string> lines;
  for (const auto& [id, entry] : aNew.entries) {
    const Entry* before = aInForce.Find(id);
    if (!before) {
      lines.push_back("+ " + id.ToString());
      continue;
    }
    const Json from = FieldsOf(*before);
    const Json to = FieldsOf(entry);
    if (const std::string fields = DescribeFields(from, to); !fields.empty()) {
      lines.push_back("~ " + id.ToString() + ": " + fields);
      continue;
    }
    const auto* team = std::get_if<TeamEntry>(&entry);
    if (team && team->keys != std::get<TeamEntry>(*before).keys) {
      lines.push_back("~ " + id.ToString() + ": other keys");
    }
  }
  for (const auto& [id, entry] : aInForce.entries) {
    if (!aNew.entries.contains(id)) {
      lines.push_back("- " + id.ToString());
    }
  }
  if (aInForce.callerLimits != aNew.callerLimits) {
    lines.push_back("~ limits");
  }
  return lines;
}

} // namespace knapweedpaddle::config
