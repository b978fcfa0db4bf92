#include "knapweedpaddle/routing/LoadBalancer.h"
#include "knapweedpaddle/routing/RetryPolicy.h"

#include <catch2/catch.hpp>
#include <map>

using namespace knapweedpaddle;
using namespace knapweedpaddle::routing;
using config::CallClass;

namespace {

const Timestamp kNow{ std::chrono::hours(1) };

RoutingView
ViewOf(std::size_t aLocal, std::size_t aRemote)
{
  RoutingView view;
  for (std::size_t n = 0; n < aLocal + aRemote; ++n) {
    Target target;
    target.node = nodes::NodeId{ n + 1 };
    target.zone = n < aLocal ? "here" : "there";
    target.version = "v1";
    target.slots = 10;
    view.targets["svc"].push_back(target);
  }
  return view;
}

backends::ServerLoad
FullLoad()
{
  backends::ServerLoad load;
  load.busy = 10;
  load.slots = 10;
  load.serviceMs = 50;
  load.routeMs = 50;
  return load;
}

std::size_t
LocalPicks(LoadBalancer& aPicker, const RoutingView& aView, std::size_t aTries)
{
  std::size_t local = 0;
  for (std::size_t n = 0; n < aTries; ++n) {
    const Target* it =
      aPicker.Pick(aView, { "svc", "v1", "here", {}, "r", {} }, kNow);
    local += it && it->zone == "here" ? 1 : 0;
  }
  return local;
}

} // namespace

TEST_CASE("calls stay in the zone until it is busy", "[routing]")
{
  LoadBalancer picker(LoadBalancerOptions{}, 1);
  const RoutingView view = ViewOf(2, 4);
  CHECK(LocalPicks(picker, view, 100) == 100);
  picker.ReportLoad(nodes::NodeId{ 1 }, "r", FullLoad(), kNow);
  picker.ReportLoad(nodes::NodeId{ 2 }, "r", FullLoad(), kNow);
  CHECK(LocalPicks(picker, view, 100) < 30);
}

TEST_CASE("a failing node is ejected, but never most of them", "[routing]")
{
  LoadBalancer picker(LoadBalancerOptions{}, 1);
  const RoutingView view = ViewOf(3, 0);
  const auto fail = [&picker](std::uint64_t aNode) {
    for (int n = 0; n < 3; ++n) {
      picker.Start(nodes::NodeId{ aNode });
      picker.Finish(nodes::NodeId{ aNode }, false, kNow);
    }
  };
  fail(1);
  CHECK(picker.IsEjected(nodes::NodeId{ 1 }, kNow));
  for (int n = 0; n < 50; ++n) {
    CHECK(picker.Pick(view, { "svc", "v1", "here", {}, "r", {} }, kNow)->node !=
          nodes::NodeId{ 1 });
  }
  fail(2);
  std::map<nodes::NodeId, int> picks;
  for (int n = 0; n < 200; ++n) {
    ++picks[picker.Pick(view, { "svc", "v1", "here", {}, "r", {} }, kNow)
              ->node];
  }
  CHECK(picks.size() == 3);
  CHECK_FALSE(
    picker.IsEjected(nodes::NodeId{ 1 }, kNow + std::chrono::seconds(11)));
}

TEST_CASE("an at most once call that may have run is never sent again",
          "[routing]")
{
  RetryPolicy policy;
  const Timestamp deadline = kNow + std::chrono::seconds(1);
  CHECK(policy.CheckRetry(
          { CallClass::kAtMostOnce, TryOutcome::kUnknown, 1, deadline },
          kNow) == RetryRefusal::kMayHaveRun);
  CHECK_FALSE(
    policy
      .CheckRetry({ CallClass::kAtMostOnce, TryOutcome::kNotRun, 1, deadline },
                  kNow)
      .has_value());
  CHECK(
    policy.CheckRetry({ CallClass::kIdempotent, TryOutcome::kUnknown, 1, kNow },
                      kNow) == RetryRefusal::kNoTimeLeft);
  CHECK(policy.CheckRetry(
          { CallClass::kIdempotent, TryOutcome::kUnknown, 3, deadline },
          kNow) == RetryRefusal::kTooManyTries);
}

TEST_CASE("retries are a tenth of calls, so eleven hops can't multiply",
          "[routing]")
{
  constexpr int kCalls = 10'000;
  constexpr int kHops = 11;
  // Every try of the last hop fails; each hop is one node's policy.
  std::vector<RetryPolicy> hops(kHops);
  int sent = 0;
  for (int n = 0; n < kCalls; ++n) {
    hops[kHops - 1].CountCall();
    std::uint32_t tries = 1;
    ++sent;
    const Timestamp deadline = kNow + std::chrono::seconds(1);
    while (!hops[kHops - 1].CheckRetry(
      { CallClass::kIdempotent, TryOutcome::kUnknown, tries, deadline },
      kNow)) {
      ++tries;
      ++sent;
    }
    // The hops above get an answer of their backend server and pass it on.
  }
  CHECK(sent <= kCalls * 1.1 + 20);
}

TEST_CASE("the route with the longest prefix takes a path", "[routing]")
{
  auto snapshot = std::make_shared<config::Snapshot>();
  for (const char* prefix : { "/a/", "/a/long/", "/b/" }) {
    config::RouteEntry route;
    route.header.name = prefix;
    route.pathPrefix = prefix;
    snapshot->entries[{ config::EntryKind::kRoute, prefix }] = route;
  }
  const RoutingView view(snapshot);
  CHECK(view.FindRoute("", "/a/long/x")->pathPrefix == "/a/long/");
  CHECK(view.FindRoute("", "/a/x")->pathPrefix == "/a/");
  CHECK(view.FindRoute("", "/c/x") == nullptr);
}

TEST_CASE("a route of the request's host goes before one of any host",
          "[routing]")
{
  auto snapshot = std::make_shared<config::Snapshot>();
  for (const auto& [host, prefix] :
       std::vector<std::pair<std::string, std::string>>{
         { "a.example", "/x/" }, { "b.example", "/x/long/" }, { "", "/x/" } }) {
    config::RouteEntry route;
    route.header.name = host + prefix;
    route.host = host;
    route.pathPrefix = prefix;
    snapshot->entries[{ config::EntryKind::kRoute, route.header.name }] = route;
  }
  const RoutingView view(snapshot);
  CHECK(view.FindRoute("a.example", "/x/long/1")->host == "a.example");
  CHECK(view.FindRoute("b.example", "/x/long/1")->host == "b.example");
  CHECK(view.FindRoute("b.example", "/x/1")->host.empty());
  CHECK(view.FindRoute("a.example", "/y/") == nullptr);
}

TEST_CASE("calls go where they are expected to be done first", "[routing]")
{
  LoadBalancer picker(LoadBalancerOptions{}, 1);
  const RoutingView view = ViewOf(3, 0);
  const auto report =
    [&picker](std::uint64_t aNode, std::uint32_t aBusy, std::uint32_t aMs) {
      backends::ServerLoad load;
      load.busy = aBusy;
      load.slots = 10;
      load.serviceMs = aMs;
      load.routeMs = aMs;
      picker.ReportLoad(nodes::NodeId{ aNode }, "r", load, kNow);
    };
  report(1, 2, 150);
  report(2, 2, 60);
  report(3, 10, 60);
  const auto pick = [&] {
    return picker.Pick(view, { "svc", "v1", "here", {}, "r", {} }, kNow)->node;
  };
  CHECK(pick() == nodes::NodeId{ 2 });
  for (int n = 0; n < 20; ++n) {
    picker.Start(nodes::NodeId{ 2 });
  }
  CHECK(pick() != nodes::NodeId{ 2 });
}

TEST_CASE("a server whose calls fail is picked last", "[routing]")
{
  LoadBalancer picker(LoadBalancerOptions{}, 1);
  const RoutingView view = ViewOf(2, 0);
  backends::ServerLoad load;
  load.slots = 10;
  load.serviceMs = 50;
  load.routeMs = 50;
  picker.ReportLoad(nodes::NodeId{ 1 }, "r", load, kNow);
  load.failedPercent = 40;
  picker.ReportLoad(nodes::NodeId{ 2 }, "r", load, kNow);
  for (int n = 0; n < 50; ++n) {
    CHECK(picker.Pick(view, { "svc", "v1", "here", {}, "r", {} }, kNow)->node ==
          nodes::NodeId{ 1 });
  }
}

TEST_CASE("tries that no server saw are free, those that ran cost more",
          "[routing]")
{
  const Timestamp deadline = kNow + std::chrono::seconds(1);
  RetryPolicy policy({ 0, 3, 2 });
  const FailedTry unseen{
    CallClass::kIdempotent, TryOutcome::kNotRun, 1, deadline, 2, false
  };
  const FailedTry refused{
    CallClass::kIdempotent, TryOutcome::kNotRun, 1, deadline, 2, true
  };
  const FailedTry ran{
    CallClass::kIdempotent, TryOutcome::kUnknown, 1, deadline, 2, true
  };
  for (int n = 0; n < 10; ++n) {
    CHECK_FALSE(policy.CheckRetry(unseen, kNow).has_value());
  }
  CHECK_FALSE(policy.CheckRetry(ran, kNow).has_value());
  CHECK(policy.CheckRetry(ran, kNow) == RetryRefusal::kBudgetSpent);
  CHECK_FALSE(policy.CheckRetry(refused, kNow).has_value());
  CHECK(policy.CheckRetry(refused, kNow) == RetryRefusal::kBudgetSpent);
}

TEST_CASE("a slow server nearby is good enough for a short route", "[routing]")
{
  LoadBalancer picker(LoadBalancerOptions{}, 1);
  const RoutingView view = ViewOf(1, 1);
  const auto report = [&picker](std::uint64_t aNode,
                                const std::string& aRoute,
                                std::uint32_t aRouteMs,
                                std::uint32_t aMs) {
    backends::ServerLoad load;
    load.slots = 10;
    load.serviceMs = aMs;
    load.routeMs = aRouteMs;
    picker.ReportLoad(nodes::NodeId{ aNode }, aRoute, load, kNow);
  };
  report(1, "short", 44, 160);
  report(1, "long", 400, 160);
  report(2, "short", 15, 60);
  report(2, "long", 100, 60);
  const auto pick = [&](const std::string& aRoute, int aTargetMs) {
    return picker
      .Pick(view,
            { "svc", "v1", "here", {}, aRoute, Milliseconds(aTargetMs) },
            kNow)
      ->node;
  };
  CHECK(pick("short", 100) == nodes::NodeId{ 1 });
  CHECK(pick("long", 400) == nodes::NodeId{ 2 });
}
