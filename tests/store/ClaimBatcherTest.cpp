// Guards against an idempotency key that is granted twice. Callers send the
// same key to several nodes while requests to the platform or their answers are
// lost or take effect late.

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
  std::uint64_t keysGrantedTwice = 0;
  std::uint64_t unansweredClaims = 0;
  std::uint64_t grantedClaims = 0;
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
    nodes.back()->platform.SetFaultPlan([&random, aFault](bool) {
      return random() % 3 == 0 ? aFault : PlatformFault::kNone;
    });
  }
  RaceResult result;
  std::map<std::string, std::uint64_t> grants;
  std::uint64_t answered = 0;
  constexpr std::uint64_t kClaimCount = 60;
  for (std::uint64_t n = 0; n < kClaimCount; ++n) {
    const auto when = Milliseconds(static_cast<std::int64_t>(random() % 4000));
    clock.ScheduleAt(clock.Now() + when, [&, n] {
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
    result.keysGrantedTwice += count > 1 ? 1 : 0;
    result.grantedClaims += count;
  }
  result.unansweredClaims = kClaimCount - answered;
  return result;
}

} // namespace

TEST_CASE("an idempotency key is granted at most once under platform faults",
          "[claims]")
{
  for (const auto& fault : kPlatformFaultNames) {
    std::uint64_t failedSeeds = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const RaceResult result = RunRace(fault.value, seed);
      INFO(fault.name << " seed " << seed);
      CHECK(result.keysGrantedTwice == 0);
      CHECK(result.unansweredClaims == 0);
      CHECK(result.grantedClaims > 0);
      failedSeeds += result.keysGrantedTwice > 0 ? 1 : 0;
    }
    proof::Note("P7",
                "keys repeated at several nodes; platform: " +
                  std::string(fault.name),
                kSeeds,
                failedSeeds,
                "claims");
  }
}

TEST_CASE("claims that wait together are written in one transaction",
          "[claims]")
{
  FakeClock clock;
  SharedPlatform shared;
  Node node(clock, shared, 1);
  int grantedClaims = 0;
  for (int n = 0; n < 100; ++n) {
    node.claims.Claim("key-" + std::to_string(n),
                      "call",
                      [&grantedClaims](ClaimOutcome aOutcome) {
                        grantedClaims +=
                          aOutcome == ClaimOutcome::kGranted ? 1 : 0;
                      });
  }
  node.claims.Tick(clock.Now());
  clock.RunFor(Milliseconds(100));
  CHECK(grantedClaims == 100);
  CHECK(shared.writes == 1);
}
