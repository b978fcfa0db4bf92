// Calls are admitted by the key of their caller, which must not reach anybody.

#include "callers/TeamAdmission.h"

#include "knapweedpaddle/http/Message.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using namespace knapweedpaddle::callers;

namespace {

constexpr Milliseconds kMaxKeyAge{ 5000 };

struct Fixture
{
  Fixture()
    : admission({ "Credential", "Tenant", kMaxKeyAge, 0 }, metrics)
  {
    SetTeams({ { "red", { "r1", "r2" } }, { "blue", { "b1" } } });
    Confirm(Milliseconds(0));
  }

  void SetTeams(const std::map<std::string, std::vector<std::string>>& aTeams)
  {
    auto snapshot = std::make_shared<config::Snapshot>();
    for (const auto& [name, keys] : aTeams) {
      config::TeamEntry team;
      team.header.name = name;
      team.keys = keys;
      team.priority = 3;
      team.callsPerSecond = name == "blue" ? 1 : 0;
      team.burst = 2;
      snapshot->entries[{ config::EntryKind::kTeam, name }] = team;
    }
    view = routing::RoutingView(snapshot);
  }

  void Confirm(Milliseconds aAge) { admission.Confirm(BootTime() - aAge); }

  TeamAdmission::Result Admit(const std::string& aKey)
  {
    request = {};
    request.headers = { { "credential", aKey },
                        { "Other", "x" },
                        { "TENANT", "forged" } };
    return admission.Admit(request, route, view, BootTime());
  }

  telemetry::Metrics metrics;
  config::RouteEntry route;
  routing::RoutingView view;
  TeamAdmission admission;
  CallRequest request;
};

} // namespace

TEST_CASE("a caller's key names its team and is removed", "[teams]")
{
  Fixture it;
  const auto result = it.Admit("r2");
  CHECK(result.reason.empty());
  CHECK(result.team == "red");
  CHECK(result.priority == 3);
  REQUIRE(it.request.headers.size() == 1);
  CHECK(it.request.headers[0].name == "Other");
}

TEST_CASE("an unknown key is refused and not named", "[teams]")
{
  Fixture it;
  for (const std::string key : { "r3", "", "r1 ", "R1" }) {
    const auto result = it.Admit(key);
    CHECK(result.cause == RefusalCause::kUnknownKey);
    REQUIRE_FALSE(result.reason.empty());
    CHECK(it.request.headers.size() == 1);
  }
  CHECK(it.Admit("secret").reason.find("secret") == std::string::npos);
}

TEST_CASE("a call on a public route needs no key, and its key is removed",
          "[teams]")
{
  Fixture it;
  it.route.isPublic = true;
  it.Confirm(kMaxKeyAge * 2);
  const auto result = it.Admit("unknown");
  CHECK(result.reason.empty());
  CHECK(result.team.empty());
  CHECK(it.request.headers.size() == 1);
}

TEST_CASE("without teams headers stay as the caller sent them", "[teams]")
{
  Fixture it;
  it.SetTeams({});
  CHECK(it.Admit("r1").reason.empty());
  CHECK(it.request.headers.size() == 3);
}

TEST_CASE("a key that moves to another team names that one", "[teams]")
{
  Fixture it;
  CHECK(it.Admit("b1").team == "blue");
  it.SetTeams({ { "red", { "r1", "b1" } }, { "blue", {} } });
  CHECK(it.Admit("b1").team == "red");
  CHECK(it.Admit("r2").cause == RefusalCause::kUnknownKey);
}

// Guards against calls with a withdrawn key at a node that can't hear of it.
TEST_CASE("keys are refused once the configuration may be too old", "[teams]")
{
  Fixture it;
  it.Confirm(kMaxKeyAge - Milliseconds(200));
  CHECK(it.Admit("r1").reason.empty());
  it.Confirm(kMaxKeyAge);
  const auto result = it.Admit("r1");
  CHECK(result.cause == RefusalCause::kUnavailable);
  CHECK_FALSE(result.reason.empty());
  CHECK(result.retryAfter.has_value());
}

TEST_CASE("keys wait for the first confirmation", "[teams]")
{
  Fixture it;
  TeamAdmission fresh({ "Credential", "Tenant", kMaxKeyAge, 0 }, it.metrics);
  CHECK(fresh.AwaitsConfirmation(it.view));
  fresh.Confirm(BootTime());
  CHECK_FALSE(fresh.AwaitsConfirmation(it.view));
  TeamAdmission lax({ "Credential", "Tenant", Milliseconds(0), 0 }, it.metrics);
  CHECK_FALSE(lax.AwaitsConfirmation(it.view));
}

TEST_CASE("a team beyond its allowance is told when to come back", "[teams]")
{
  Fixture it;
  CHECK(it.Admit("b1").reason.empty());
  CHECK(it.Admit("b1").reason.empty());
  const auto result = it.Admit("b1");
  CHECK(result.cause == RefusalCause::kAllowanceSpent);
  CHECK(result.retryAfter > Milliseconds(500));
  // A call that did not run is given back.
  it.admission.Allowances().Refund("blue");
  CHECK(it.Admit("b1").reason.empty());
}
