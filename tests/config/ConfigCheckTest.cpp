// What operators are told of a configuration before it is put in force.

#include "knapweedpaddle/config/ConfigCheck.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using namespace knapweedpaddle::config;

namespace {

template<typename T>
T
Named(const std::string& aName)
{
  T entry;
  entry.header.name = aName;
  entry.header.owner = "o";
  return entry;
}

void
Add(Snapshot& aSnapshot, const Entry& aEntry)
{
  aSnapshot.entries[IdOf(aEntry)] = aEntry;
}

/** A configuration without any fault. */
Snapshot
Sound()
{
  Snapshot snapshot;
  snapshot.version = 7;
  auto service = Named<ServiceEntry>("s");
  service.version = "v1";
  Add(snapshot, service);
  auto route = Named<RouteEntry>("r");
  route.pathPrefix = "/a/";
  route.service = "s";
  Add(snapshot, route);
  auto team = Named<TeamEntry>("t");
  team.keys = { "secret" };
  team.callsPerSecond = 10;
  team.burst = 10;
  Add(snapshot, team);
  return snapshot;
}

template<typename T>
T&
EntryOf(Snapshot& aSnapshot, EntryKind aKind, const std::string& aName)
{
  return std::get<T>(aSnapshot.entries.at({ aKind, aName }));
}

bool
Has(const std::vector<Finding>& aFindings,
    FindingLevel aLevel,
    const std::string& aEntry)
{
  return std::ranges::any_of(aFindings, [&](const Finding& aItem) {
    return aItem.level == aLevel && aItem.entry == aEntry;
  });
}

} // namespace

TEST_CASE("a sound configuration has no findings", "[check]")
{
  CHECK(Check(Sound()).empty());
}

TEST_CASE("entries without effect and contradictions are found", "[check]")
{
  struct Case
  {
    std::string entry;
    std::function<void(Snapshot&)> spoil;
  };
  const std::vector<Case> cases{
    { "service/unused",
      [](Snapshot& aIt) {
        auto service = Named<ServiceEntry>("unused");
        service.version = "v1";
        Add(aIt, service);
      } },
    { "route/r",
      [](Snapshot& aIt) {
        EntryOf<RouteEntry>(aIt, EntryKind::kRoute, "r").host = "a.example:80";
      } },
    { "route/r",
      [](Snapshot& aIt) {
        auto& route = EntryOf<RouteEntry>(aIt, EntryKind::kRoute, "r");
        route.slowAfter = route.timeout * 2;
      } },
    { "limit/l",
      [](Snapshot& aIt) {
        auto limit = Named<LimitEntry>("l");
        limit.ratePerSecond = 1;
        Add(aIt, limit);
      } },
    { "team/t",
      [](Snapshot& aIt) {
        EntryOf<TeamEntry>(aIt, EntryKind::kTeam, "t").keys.clear();
      } },
    { "team/t",
      [](Snapshot& aIt) {
        EntryOf<TeamEntry>(aIt, EntryKind::kTeam, "t").burst = 0;
      } },
    { "limits",
      [](Snapshot& aIt) { aIt.callerLimits.idleTimeout = Milliseconds(100); } },
  };
  for (const auto& it : cases) {
    INFO(it.entry);
    Snapshot snapshot = Sound();
    it.spoil(snapshot);
    CHECK(Has(Check(snapshot), FindingLevel::kWarning, it.entry));
  }
}

TEST_CASE("an error is found by the nodes' own validation", "[check]")
{
  Snapshot snapshot = Sound();
  EntryOf<RouteEntry>(snapshot, EntryKind::kRoute, "r").service = "missing";
  CHECK(Has(Check(snapshot), FindingLevel::kError, "route/r"));
}

// Guards against keys of callers in what operators paste into tickets.
TEST_CASE("changes name fields, and no key", "[check]")
{
  Snapshot changed = Sound();
  EntryOf<RouteEntry>(changed, EntryKind::kRoute, "r").timeout =
    Milliseconds(2000);
  EntryOf<TeamEntry>(changed, EntryKind::kTeam, "t").keys = { "hidden" };
  auto service = Named<ServiceEntry>("new");
  service.version = "v1";
  Add(changed, service);
  changed.entries.erase({ EntryKind::kService, "s" });
  CHECK(DescribeChanges(Sound(), changed) ==
        std::vector<std::string>{ "+ service/new",
                                  "~ route/r: timeout_ms 1000 -> 2000",
                                  "~ team/t: other keys",
                                  "- service/s" });
  CHECK(DescribeChanges(Sound(), Sound()).empty());
}
