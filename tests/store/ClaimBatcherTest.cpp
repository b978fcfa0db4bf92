// Callers repeat idempotency keys at several nodes while the platform fails.

#include "knapweedpaddle/store/ClaimBatcher.h"
#include "fakes/FakePlatform.h"
#include "knapweedpaddle/store/CatalogueRows.h"
#include "proof/ProofLog.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using namespace knapweedpaddle::fakes;
using backends::ClaimOutcome;

namespace {

constexpr std::uint64_t kSeeds = 60;

struct Node
{
  Node(FakeClock& aClock, SharedPlatform& aShared, std::uint64_t aSeed)
    : platform(aClock, aShared, aSeed)
    , claims(platform, 20)
  {
  }

  FakePlatform platform;
  store::ClaimBatcher claims;
};

struct RaceResult
{
  std::uint64_t doubles = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t granted = 0;
};

RaceResult
RunRace(PlatformFault aFault, std::uint64_t aSeed)
{
  FakeClock clock;
  SharedPlatform shared;
  std::mt19937_64 random(aSeed);
  std::vector<std::unique_ptr<Node>> nodes;
  for (std::uint64_t n = 0; n < 3; ++n) {
    nodes.push_back(std::make_unique<Node>(clock, shared, aSeed * 10 + n));
    nodes.back()->platform.SetPlan([&random, aFault](bool) {
      return random() % 3 == 0 ? aFault : PlatformFault::kNone;
    });
  }
  RaceResult result;
  std::map<std::string, std::uint64_t> grants;
  std::uint64_t answered = 0;
  constexpr std::uint64_t kClaims = 60;
  for (std::uint64_t n = 0; n < kClaims; ++n) {
    const auto when = Milliseconds(static_cast<std::int64_t>(random() % 4000));
    clock.At(clock.Now() + when, [&, n] {
      const std::string key = "key-" + std::to_string(random() % 20);
      nodes[random() % nodes.size()]->claims.Claim(
        key, "call-" + std::to_string(n), [&, key](ClaimOutcome aOutcome) {
          ++answered;
          grants[key] += aOutcome == ClaimOutcome::kGranted ? 1 : 0;
        });
    });
  }
  for (int tick = 0; tick < 3000; ++tick) {
    clock.RunFor(Milliseconds(10));
    for (auto& it : nodes) {
      it->claims.Tick(clock.Now());
    }
  }
  for (const auto& [key, count] : grants) {
    result.doubles += count > 1 ? 1 : 0;
    result.granted += count;
  }
  result.unanswered = kClaims - answered;
  return result;
}

} // namespace

TEST_CASE("a key is granted at most once", "[claims]")
{
  for (const auto& fault : kPlatformFaultNames) {
    std::uint64_t bad = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const RaceResult result = RunRace(fault.value, seed);
      INFO(fault.name << " seed " << seed);
      CHECK(result.doubles == 0);
      CHECK(result.unanswered == 0);
      CHECK(result.granted > 0);
      bad += result.doubles > 0 ? 1 : 0;
    }
    proof::Note("P7",
                "keys repeated at several nodes; platform: " +
                  std::string(fault.name),
                kSeeds,
                bad,
                "claims");
  }
}

TEST_CASE("many claims share one write", "[claims]")
{
  FakeClock clock;
  SharedPlatform shared;
  Node node(clock, shared, 1);
  int granted = 0;
  for (int n = 0; n < 100; ++n) {
    node.claims.Claim(
      "key-" + std::to_string(n), "call", [&granted](ClaimOutcome aOutcome) {
        granted += aOutcome == ClaimOutcome::kGranted ? 1 : 0;
      });
  }
  node.claims.Tick(clock.Now());
  clock.RunFor(Milliseconds(100));
  CHECK(granted == 100);
  CHECK(shared.writes == 1);
}
