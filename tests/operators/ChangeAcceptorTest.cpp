// Tests concurrent changes of the same entries by several operators while
// requests to the platform fail: a change must be accepted at most once, and
// every answer must agree with the changes that were accepted.

#include "knapweedpaddle/operators/ChangeAcceptor.h"
#include "fakes/FakePlatform.h"
#include "knapweedpaddle/config/EntryCodec.h"
#include "knapweedpaddle/store/CatalogueRows.h"
#include "proof/ProofLog.h"

#include <catch2/catch.hpp>
#include <set>

using namespace knapweedpaddle;
using namespace knapweedpaddle::fakes;
using config::ServiceEntry;
using operators::AcceptOutcome;
using operators::AcceptResult;

namespace {

constexpr std::uint64_t kSeeds = 60;

/** A node that accepts changes into its own store. */
struct AcceptingNode
{
  AcceptingNode(FakeClock& aClock, SharedPlatform& aShared, std::uint64_t aSeed)
    : platform(aClock, aShared, aSeed)
    , store(64)
    , reader(platform, store, [] {})
    , acceptor(platform, store, reader, [] {})
  {
  }

  FakePlatform platform;
  config::ConfigStore store;
  store::CatalogueReader reader;
  operators::ChangeAcceptor acceptor;
};

/** A request and its answer. */
struct Request
{
  std::string operation;
  std::string entry;
  std::uint64_t revision = 0; ///< the entry's revision in the request
  std::optional<AcceptResult> result;
};

/** Reads the accepted changes from the platform's table, oldest first. */
std::vector<config::Change>
AcceptedChanges(const SharedPlatform& aShared)
{
  std::vector<config::Change> changes;
  config::ConfigReason reason;
  for (const auto& it :
       aShared.table.ReadRange(store::kChangePrefix, "", 10'000)) {
    changes.push_back(*config::DecodeChange(it.value, reason));
  }
  return changes;
}

/** Returns how the answers contradict the accepted changes, or "" if they do
 * not. */
std::string
CheckHistory(const std::vector<Request>& aRequests,
             const std::vector<config::Change>& aChanges)
{
  std::map<std::string, std::uint64_t> versionOf;
  std::map<std::string, std::uint64_t> revisions;
  std::uint64_t expected = 1;
  for (const auto& change : aChanges) {
    if (change.version != expected++) {
      return "a version is missing before version " +
             std::to_string(change.version);
    }
    if (!versionOf.emplace(change.operationId, change.version).second) {
      return "operation " + change.operationId + " was accepted twice";
    }
    const std::string entry = config::HeaderOf(change.upserts.front()).name;
    for (const auto& request : aRequests) {
      if (request.operation == change.operationId &&
          request.revision != revisions[entry]) {
        return "operation " + request.operation +
               " overwrote a revision that its request did not name";
      }
    }
    revisions[entry] = change.version;
  }
  for (const auto& it : aRequests) {
    const bool isRecorded = versionOf.contains(it.operation);
    if (!it.result) {
      return "operation " + it.operation + " got no answer";
    }
    if (it.result->outcome == AcceptOutcome::kAccepted &&
        (!isRecorded || versionOf[it.operation] != it.result->version)) {
      return "operation " + it.operation +
             " was reported as accepted but its change is missing";
    }
    const bool wasRefused = it.result->outcome != AcceptOutcome::kAccepted &&
                            it.result->outcome != AcceptOutcome::kUnknown;
    if (wasRefused && isRecorded) {
      return "operation " + it.operation +
             " was reported as not accepted but its change exists";
    }
  }
  return {};
}

std::string
RunRace(PlatformFault aFault, std::uint64_t aSeed)
{
  FakeClock clock;
  SharedPlatform shared;
  std::mt19937_64 random(aSeed);
  std::vector<std::unique_ptr<AcceptingNode>> nodes;
  for (std::uint64_t n = 0; n < 4; ++n) {
    nodes.push_back(
      std::make_unique<AcceptingNode>(clock, shared, aSeed * 10 + n));
    nodes.back()->platform.SetFaultPlan([&random, aFault](bool) {
      return random() % 4 == 0 ? aFault : PlatformFault::kNone;
    });
  }
  std::vector<Request> requests(24);
  for (std::size_t n = 0; n < requests.size(); ++n) {
    const auto when = Milliseconds(static_cast<std::int64_t>(random() % 6000));
    clock.ScheduleAt(clock.Now() + when, [&, n] {
      AcceptingNode& it = *nodes[random() % nodes.size()];
      Request& request = requests[n];
      request.operation = "operation-" + std::to_string(n);
      request.entry = "service-" + std::to_string(random() % 3);
      ServiceEntry entry;
      entry.header = { request.entry, "owner", 0 };
      entry.version = request.operation;
      if (const auto* known = it.store.Current()->Get<ServiceEntry>(
            config::EntryKind::kService, request.entry)) {
        entry.header.revision = known->header.revision;
      }
      request.revision = entry.header.revision;
      config::ChangeRequest change{ request.operation, { entry }, {} };
      it.acceptor.Accept(
        change, "owner", [&request](const AcceptResult& aResult) {
          request.result = aResult;
        });
    });
  }
  clock.RunFor(Milliseconds(120'000));
  return CheckHistory(requests, AcceptedChanges(shared));
}

} // namespace

TEST_CASE("answers to concurrent requests match the accepted changes",
          "[operators]")
{
  for (const auto& fault : kPlatformFaultNames) {
    std::uint64_t failedSeeds = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const std::string contradiction = RunRace(fault.value, seed);
      INFO(fault.name << " seed " << seed << ": " << contradiction);
      CHECK(contradiction.empty());
      failedSeeds += contradiction.empty() ? 0 : 1;
    }
    const std::string name =
      "operators race; platform: " + std::string(fault.name);
    proof::Note("P3", name, kSeeds, failedSeeds, "acceptor race");
    proof::Note("P10", name, kSeeds, failedSeeds, "acceptor race");
  }
}

TEST_CASE("refused requests change nothing", "[operators]")
{
  FakeClock clock;
  SharedPlatform shared;
  AcceptingNode it(clock, shared, 1);
  const auto accept = [&](std::vector<config::Entry> aEntries,
                          const std::string& aOwner) {
    AcceptResult result;
    static int operation = 0;
    it.acceptor.Accept(
      { "op-" + std::to_string(++operation), std::move(aEntries), {} },
      aOwner,
      [&result](const AcceptResult& aResult) { result = aResult; });
    clock.RunFor(Milliseconds(5000));
    return result;
  };
  ServiceEntry service;
  service.header = { "tonehouse", "coulee", 0 };
  service.version = "v1";
  REQUIRE(accept({ service }, "coulee").outcome == AcceptOutcome::kAccepted);

  SECTION("an entry of another owner")
  {
    service.header.revision = 1;
    const auto result = accept({ service }, "swan");
    CHECK(result.outcome == AcceptOutcome::kForbidden);
    CHECK(
      result.message.find("service/tonehouse belongs to owner \"coulee\"") !=
      std::string::npos);
  }
  SECTION("an entry that changed since the request was made")
  {
    const auto result = accept({ service }, "coulee");
    CHECK(result.outcome == AcceptOutcome::kConflict);
  }
  SECTION("a route to a service that does not exist")
  {
    config::RouteEntry route;
    route.header = { "fetch", "coulee", 0 };
    route.pathPrefix = "/fetch/";
    route.service = "missing";
    const auto result = accept({ route }, "coulee");
    CHECK(result.outcome == AcceptOutcome::kRefused);
    CHECK(result.message == "route/fetch: refers to service \"missing\", which "
                            "does not exist (version 2)");
  }
  CHECK(it.store.Version() == 1);
  CHECK(AcceptedChanges(shared).size() == 1);
}
