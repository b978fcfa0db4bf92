// Guards against a node that applies a change partly, goes back to an older
// version or ends with routes to missing services. Peers may deliver changes
// out of order, several times or corrupted.

#include "knapweedpaddle/config/ConfigStore.h"
#include "knapweedpaddle/config/EntryCodec.h"
#include "proof/ProofLog.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace knapweedpaddle;
using namespace knapweedpaddle::config;

namespace {

/** Returns encoded changes to versions 1 to aLength, and the digest of each
 * version. */
std::vector<std::string>
MakeChain(std::size_t aLength, std::set<std::string>& aDigests)
{
  std::vector<std::string> chain;
  Snapshot snapshot;
  for (std::size_t n = 1; n <= aLength; ++n) {
    Change change;
    change.version = n;
    change.operationId = "operation-" + std::to_string(n);
    ServiceEntry service;
    service.header = { "service-" + std::to_string(n % 5), "owner", 0 };
    service.version = "v" + std::to_string(n);
    RouteEntry route;
    route.header = { "route-" + std::to_string(n % 5), "owner", 0 };
    route.pathPrefix = "/" + std::to_string(n % 5) + "/";
    route.service = service.header.name;
    change.upserts = { service, route };
    snapshot = ApplyChange(snapshot, change);
    change.digest = snapshot.Digest();
    aDigests.insert(change.digest);
    chain.push_back(EncodeChange(change));
  }
  return chain;
}

/** Replaces a character, truncates the text or inserts a digit. */
std::string
Corrupt(std::string aText, std::mt19937_64& aRandom)
{
  switch (aRandom() % 3) {
    case 0:
      aText[aRandom() % aText.size()] = static_cast<char>(' ' + aRandom() % 90);
      break;
    case 1:
      aText.resize(aRandom() % aText.size());
      break;
    default:
      aText.insert(aRandom() % aText.size(), "1");
      break;
  }
  return aText;
}

} // namespace

TEST_CASE(
  "reordered, repeated and corrupt changes are applied whole or not at all",
  "[config]")
{
  constexpr std::uint64_t kSeeds = 200;
  std::uint64_t olderVersions = 0;
  std::uint64_t partialApplies = 0;
  std::uint64_t unresolvedReferences = 0;
  std::set<std::string> digests;
  const auto chain = MakeChain(12, digests);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937_64 random(seed);
    ConfigStore store(8);
    for (int n = 0; n < 300; ++n) {
      const std::uint64_t before = store.Version();
      std::string text = chain[random() % chain.size()];
      if (random() % 3 == 0) {
        text = Corrupt(std::move(text), random);
      }
      ConfigReason reason;
      if (const auto change = DecodeChange(text, reason)) {
        store.Apply(*change, reason);
      }
      olderVersions += store.Version() < before ? 1 : 0;
      partialApplies +=
        store.Version() > 0 && !digests.contains(store.Current()->Digest()) ? 1
                                                                            : 0;
      unresolvedReferences += Validate(*store.Current(), reason) ? 0 : 1;
    }
  }
  CHECK(olderVersions == 0);
  CHECK(partialApplies == 0);
  CHECK(unresolvedReferences == 0);
  const char* fault = "crossed, repeated and corrupt updates";
  proof::Note("P1", fault, kSeeds, olderVersions, "config store");
  proof::Note("P2", fault, kSeeds, unresolvedReferences, "config store");
  proof::Note("P3", fault, kSeeds, partialApplies, "config store");
}

TEST_CASE("a snapshot with a route to a missing service is rejected",
          "[config]")
{
  Snapshot unresolvable;
  unresolvable.version = 9;
  RouteEntry route;
  route.header = { "fetch", "owner", 9 };
  route.pathPrefix = "/fetch/";
  route.service = "missing";
  unresolvable.entries[{ EntryKind::kRoute, "fetch" }] = route;
  ConfigStore store(8);
  ConfigReason reason;
  CHECK_FALSE(store.Replace(unresolvable, reason));
  CHECK(reason.code == ConfigError::kInvalid);
  CHECK(store.Version() == 0);
}

TEST_CASE("ChangesAfter returns changes only if the history holds all of them",
          "[config]")
{
  std::set<std::string> digests;
  ConfigStore store(4);
  ConfigReason reason;
  for (const auto& it : MakeChain(10, digests)) {
    REQUIRE(store.Apply(*DecodeChange(it, reason), reason));
  }
  CHECK(store.ChangesAfter(8)->size() == 2);
  CHECK(store.ChangesAfter(10)->empty());
  CHECK_FALSE(store.ChangesAfter(3).has_value());
}

TEST_CASE("errors of change requests name the entry and the field", "[config]")
{
  const auto messageFor = [](const std::string& aJson) {
    ConfigReason reason;
    CHECK_FALSE(DecodeChangeRequest(aJson, reason).has_value());
    return reason.message;
  };
  CHECK(messageFor("{").find("not valid JSON") == 0);
  CHECK(
    messageFor(
      R"({"operation_id":"a","entries":[{"kind":"rout","name":"x","owner":"o"}]})")
      .find("field \"kind\" must be one of service, route, limit, move") !=
    std::string::npos);
  CHECK(
    messageFor(
      R"({"operation_id":"a","entries":[{"kind":"service","name":"x","owner":"o","version":1}]})") ==
    "entry 1 service/x: field \"version\" must be a string");
  CHECK(
    messageFor(
      R"({"operation_id":"a","entries":[{"kind":"service","name":"x","owner":"o","version":"1","colour":2}]})") ==
    "entry 1 service/x: unknown field \"colour\"");
  CHECK(
    messageFor(
      R"({"operation_id":"a","entries":[{"kind":"service","name":"x","owner":"o","version":"1"},
                                            {"kind":"service","name":"x","owner":"o","version":"2"}]})") ==
    "request: entry service/x is named twice");
  CHECK(messageFor(R"({"operation_id":"a"})").find("at least one entry") !=
        std::string::npos);
}
