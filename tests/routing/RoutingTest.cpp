// Tests the choice of routes and nodes, and the retry budget.

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
ViewOf(std::size_t aLocalNodes, std::size_t aRemoteNodes)
{
  RoutingView view;
  for (std::size_t n = 0; n < aLocalNodes + aRemoteNodes; ++n) {
    Target target;
    target.node = nodes::NodeId{ n + 1 };
    target.zone = n < aLocalNodes ? "here" : "there";
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
LocalPicks(LoadBalancer& aBalancer,
           const RoutingView& aView,
           std::size_t aTries)
{
  std::size_t local = 0;
  for (std::size_t n = 0; n < aTries; ++n) {
    const Target* it = aBalancer.Pick(
      aView, { "svc", VersionSelector::Only("v1"), "here", {}, "r", {} }, kNow);
    local += it && it->zone == "here" ? 1 : 0;
  }
  return local;
}

} // namespace

TEST_CASE("calls stay in the own zone until its servers are full", "[routing]")
{
  LoadBalancer balancer(LoadBalancerOptions{}, 1);
  const RoutingView view = ViewOf(2, 4);
  CHECK(LocalPicks(balancer, view, 100) == 100);
  balancer.ReportLoad(nodes::NodeId{ 1 }, "r", FullLoad(), kNow);
  balancer.ReportLoad(nodes::NodeId{ 2 }, "r", FullLoad(), kNow);
  CHECK(LocalPicks(balancer, view, 100) < 30);
}

TEST_CASE("a failing node is ejected unless most nodes fail", "[routing]")
{
  LoadBalancer balancer(LoadBalancerOptions{}, 1);
  const RoutingView view = ViewOf(3, 0);
  const auto fail = [&balancer](std::uint64_t aNode) {
    for (int n = 0; n < 3; ++n) {
      balancer.Start(nodes::NodeId{ aNode });
      balancer.Finish(nodes::NodeId{ aNode }, false, kNow);
    }
  };
  fail(1);
  CHECK(balancer.IsEjected(nodes::NodeId{ 1 }, kNow));
  for (int n = 0; n < 50; ++n) {
    CHECK(balancer
            .Pick(view,
                  { "svc", VersionSelector::Only("v1"), "here", {}, "r", {} },
                  kNow)
            ->node != nodes::NodeId{ 1 });
  }
  fail(2);
  std::map<nodes::NodeId, int> picks;
  for (int n = 0; n < 200; ++n) {
    ++picks[balancer
              .Pick(view,
                    { "svc", VersionSelector::Only("v1"), "here", {}, "r", {} },
                    kNow)
              ->node];
  }
  CHECK(picks.size() == 3);
  CHECK_FALSE(
    balancer.IsEjected(nodes::NodeId{ 1 }, kNow + std::chrono::seconds(11)));
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

TEST_CASE("retries are at most a tenth of the calls even if every try fails",
          "[routing]")
{
  constexpr int kCalls = 10'000;
  constexpr int kHops = 11;
  // A call passes through several hops, each with its own policy. Every try of
  // the last hop fails; without the budget, retries could multiply at each hop.
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
    // The other hops get an answer from their backend server, which reports the
    // failure, and pass it on without a retry.
  }
  CHECK(sent <= kCalls * 1.1 + 20);
}

TEST_CASE("the route with the longest matching prefix is chosen", "[routing]")
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

TEST_CASE("a route of the request's host is preferred to one without a host",
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

TEST_CASE("calls go to the node that is expected to finish first", "[routing]")
{
  LoadBalancer balancer(LoadBalancerOptions{}, 1);
  const RoutingView view = ViewOf(3, 0);
  const auto report =
    [&balancer](std::uint64_t aNode, std::uint32_t aBusy, std::uint32_t aMs) {
      backends::ServerLoad load;
      load.busy = aBusy;
      load.slots = 10;
      load.serviceMs = aMs;
      load.routeMs = aMs;
      balancer.ReportLoad(nodes::NodeId{ aNode }, "r", load, kNow);
    };
  report(1, 2, 150);
  report(2, 2, 60);
  report(3, 10, 60);
  const auto pick = [&] {
    return balancer
      .Pick(
        view, { "svc", VersionSelector::Only("v1"), "here", {}, "r", {} }, kNow)
      ->node;
  };
  CHECK(pick() == nodes::NodeId{ 2 });
  for (int n = 0; n < 20; ++n) {
    balancer.Start(nodes::NodeId{ 2 });
  }
  CHECK(pick() != nodes::NodeId{ 2 });
}

TEST_CASE("a server whose calls fail is avoided", "[routing]")
{
  LoadBalancer balancer(LoadBalancerOptions{}, 1);
  const RoutingView view = ViewOf(2, 0);
  backends::ServerLoad load;
  load.slots = 10;
  load.serviceMs = 50;
  load.routeMs = 50;
  balancer.ReportLoad(nodes::NodeId{ 1 }, "r", load, kNow);
  load.failedPercent = 40;
  balancer.ReportLoad(nodes::NodeId{ 2 }, "r", load, kNow);
  for (int n = 0; n < 50; ++n) {
    CHECK(balancer
            .Pick(view,
                  { "svc", VersionSelector::Only("v1"), "here", {}, "r", {} },
                  kNow)
            ->node == nodes::NodeId{ 1 });
  }
}

TEST_CASE("retries are free after tries that reached no server", "[routing]")
{
  const Timestamp deadline = kNow + std::chrono::seconds(1);
  RetryPolicy policy({ 0, 3, 2 });
  const FailedTry notReached{
    CallClass::kIdempotent, TryOutcome::kNotRun, 1, deadline, 2, false
  };
  const FailedTry refused{
    CallClass::kIdempotent, TryOutcome::kNotRun, 1, deadline, 2, true
  };
  const FailedTry ran{
    CallClass::kIdempotent, TryOutcome::kUnknown, 1, deadline, 2, true
  };
  for (int n = 0; n < 10; ++n) {
    CHECK_FALSE(policy.CheckRetry(notReached, kNow).has_value());
  }
  CHECK_FALSE(policy.CheckRetry(ran, kNow).has_value());
  CHECK(policy.CheckRetry(ran, kNow) == RetryRefusal::kBudgetSpent);
  CHECK_FALSE(policy.CheckRetry(refused, kNow).has_value());
  CHECK(policy.CheckRetry(refused, kNow) == RetryRefusal::kBudgetSpent);
}

TEST_CASE("a short route stays in the zone although its server is slower",
          "[routing]")
{
  LoadBalancer balancer(LoadBalancerOptions{}, 1);
  const RoutingView view = ViewOf(1, 1);
  const auto report = [&balancer](std::uint64_t aNode,
                                  const std::string& aRoute,
                                  std::uint32_t aRouteMs,
                                  std::uint32_t aMs) {
    backends::ServerLoad load;
    load.slots = 10;
    load.serviceMs = aMs;
    load.routeMs = aRouteMs;
    balancer.ReportLoad(nodes::NodeId{ aNode }, aRoute, load, kNow);
  };
  report(1, "short", 44, 160);
  report(1, "long", 400, 160);
  report(2, "short", 15, 60);
  report(2, "long", 100, 60);
  const auto pick = [&](const std::string& aRoute, int aTargetMs) {
    return balancer
      .Pick(view,
            { "svc",
              VersionSelector::Only("v1"),
              "here",
              {},
              aRoute,
              Milliseconds(aTargetMs) },
            kNow)
      ->node;
  };
  CHECK(pick("short", 100) == nodes::NodeId{ 1 });
  CHECK(pick("long", 400) == nodes::NodeId{ 2 });
}

TEST_CASE("a server that has reached its rate limit is avoided until the limit "
          "allows calls again",
          "[routing]")
{
  LoadBalancer balancer(LoadBalancerOptions{}, 1);
  const RoutingView view = ViewOf(1, 1);
  backends::ServerLoad limited;
  limited.slots = 10;
  limited.serviceMs = 50;
  limited.routeMs = 50;
  limited.rateIntervalUs = 100'000;
  balancer.ReportLoad(nodes::NodeId{ 1 }, "r", limited, kNow);
  CHECK(LocalPicks(balancer, view, 50) == 50);
  // Each call sent since the report takes one interval more.
  balancer.Start(nodes::NodeId{ 1 });
  CHECK(LocalPicks(balancer, view, 50) == 0);
  balancer.Finish(nodes::NodeId{ 1 }, true, kNow);
  limited.rateWaitMs = 100;
  balancer.ReportLoad(nodes::NodeId{ 1 }, "r", limited, kNow);
  CHECK(LocalPicks(balancer, view, 50) == 0);
}

// Load: calls of a node whose zone is cut off from the others, where two thirds
// of the servers are. Each call that is sent there waits for a connection that
// is never made.
TEST_CASE("calls pass over a zone whose nodes don't answer, and find it again",
          "[routing][zones]")
{
  LoadBalancer balancer(LoadBalancerOptions{}, 1);
  RoutingView view = ViewOf(4, 8);
  bool isCut = true;
  int lost = 0;
  Timestamp now = kNow;
  const auto call = [&] {
    now += Milliseconds(10);
    // The own zone's servers are full, so that the others seem better.
    for (std::uint64_t n = 1; n <= 4; ++n) {
      backends::ServerLoad load = FullLoad();
      load.queued = 40;
      balancer.ReportLoad(nodes::NodeId{ n }, "r", load, now);
    }
    const Target* it = balancer.Pick(
      view, { "svc", VersionSelector::Only("v1"), "here", {}, "r", {} }, now);
    const bool reached = it->zone == "here" || !isCut;
    lost += reached ? 0 : 1;
    balancer.Start(it->node);
    balancer.Finish(it->node, reached, now);
    return it->zone == "there";
  };
  for (int n = 0; n < 500; ++n) {
    call();
  }
  CHECK(balancer.IsUnreachable("there"));
  // A few calls find the cut, and one each half second whether it has ended.
  CHECK(lost <= 3 + 10);
  isCut = false;
  int there = 0;
  for (int n = 0; n < 200; ++n) {
    there += call() ? 1 : 0;
  }
  CHECK_FALSE(balancer.IsUnreachable("there"));
  CHECK(there > 100);
}

// Guards against a zone that is passed over for a few bad nodes.
TEST_CASE("a zone in which other nodes answer is not passed over",
          "[routing][zones]")
{
  LoadBalancer balancer(LoadBalancerOptions{}, 1);
  const RoutingView view = ViewOf(0, 8);
  for (int n = 0; n < 400; ++n) {
    const Target* it =
      balancer.Pick(view,
                    { "svc", VersionSelector::Only("v1"), "here", {}, "r", {} },
                    kNow + Milliseconds(10) * n);
    balancer.Start(it->node);
    balancer.Finish(it->node,
                    static_cast<std::uint64_t>(it->node) > 3,
                    kNow + Milliseconds(10) * n);
    CHECK_FALSE(balancer.IsUnreachable("there"));
  }
  // The only zone left is used even if it seems unreachable.
  for (std::uint64_t n = 1; n <= 8; ++n) {
    balancer.Finish(nodes::NodeId{ n }, false, kNow + Milliseconds(4000));
  }
  CHECK(
    balancer.Pick(view,
                  { "svc", VersionSelector::Only("v1"), "here", {}, "r", {} },
                  kNow + Milliseconds(4000)));
}
