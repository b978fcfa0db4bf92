// CallForwarder with one backend server, on this node: calls that arrive before
// the configuration or the server is known.

#include "knapweedpaddle/callers/CallForwarder.h"

#include "fakes/FreeAddress.h"
#include "knapweedpaddle/http/Server.h"
#include "knapweedpaddle/nodes/LinkServer.h"
#include "node/UnavailableClaims.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using namespace knapweedpaddle::callers;

namespace {

const nodes::NodeId kSelf = *nodes::ParseNodeId("10.0.0.1:7100");
const nodes::NodeId kPeer = *nodes::ParseNodeId("10.0.0.2:7100");
constexpr Milliseconds kLatencyTarget{ 500 };
/** The platform's limit until a configuration is in force. */
constexpr Milliseconds kMaxConfigAge{ 2000 };

struct Fixture
{
  Fixture()
    : tracer("test", 0, 1)
    , journal(10)
    , links(loop, {})
    , server(loop,
             [this](const http::ExchangePtr& aExchange) {
               if (isSilent) {
                 unanswered.push_back(aExchange);
                 return;
               }
               http::Response response;
               response.status = 200;
               aExchange->Respond(response);
             })
    , peer(loop,
           [this](const nodes::LinkRequest&,
                  const nodes::LinkResponderPtr& aResponder) {
             peerCalls.push_back(aResponder);
           })
    , peerPort(peer.Listen("127.0.0.1", 0).value_or(0))
    , dispatcher({ loop, claims, metrics, tracer, {} }, 0)
    , forwarder({ loop, links, dispatcher, metrics, tracer, journal },
                { kSelf, "a" },
                1)
  {
    const std::string address = fakes::FreeAddress();
    REQUIRE(server.Listen(address));
    dispatcher.SetBackend(
      backends::BackendServer{ address, "svc", "v1", 4, "i" });
  }

  CallForwarder::CancelTask Call(Milliseconds aTimeout)
  {
    CallRequest request;
    request.method = "GET";
    request.host = "svc.example";
    request.path = "/a/b";
    request.timeout = aTimeout;
    return forwarder.Forward(request, [this](const CallResult& aResult) {
      results.push_back(aResult);
    });
  }

  /** Returns a view with a route to the service, with or without this node's
   * backend server. */
  static routing::RoutingViewPtr View(
    bool aHasServer,
    config::CallClass aClass = config::CallClass::kIdempotent)
  {
    auto snapshot = std::make_shared<config::Snapshot>();
    config::RouteEntry route;
    route.header.name = "r";
    route.host = "svc.example";
    route.pathPrefix = "/a/";
    route.service = "svc";
    route.timeout = Milliseconds(5000);
    route.slowAfter = kLatencyTarget;
    route.callClass = aClass;
    snapshot->entries[{ config::EntryKind::kRoute, "r" }] = route;
    auto view = std::make_shared<routing::RoutingView>(
      std::make_shared<const config::Snapshot>(*snapshot));
    view->open = true;
    view->splits["svc"] = {};
    view->retries.retriesPerCall = 2;
    if (aHasServer) {
      view->targets["svc"] = { { kSelf, "", "a", "v1", 4, false } };
    }
    return view;
  }

  /** Returns a view with this node's server and one on a node whose server
   * answers no call. */
  routing::RoutingViewPtr ViewWithPeer(
    config::CallClass aClass = config::CallClass::kIdempotent) const
  {
    auto view = std::make_shared<routing::RoutingView>(*View(true, aClass));
    view->targets["svc"].push_back(
      { kPeer, "127.0.0.1:" + std::to_string(peerPort), "a", "v1", 4, false });
    return view;
  }

  /** Confirms that the configuration was the newest one some time ago. */
  void Confirm(Milliseconds aAge = Milliseconds(0))
  {
    forwarder.ConfirmConfig(BootTime() - aAge);
  }

  /** Returns how many servers have received calls without answering them. */
  std::size_t CountRuns() const { return unanswered.size() + peerCalls.size(); }

  void RunLoopFor(Milliseconds aTime)
  {
    loop.RunAfter(aTime, [this] { loop.Stop(); });
    loop.Run();
  }

  runtime::EventLoop loop;
  node::UnavailableClaims claims;
  telemetry::Metrics metrics;
  telemetry::Tracer tracer;
  CallJournal journal;
  nodes::LinkClient links;
  http::Server server;
  nodes::LinkServer peer;
  std::uint16_t peerPort;
  backends::BackendDispatcher dispatcher;
  CallForwarder forwarder;
  std::vector<CallResult> results;
  bool isSilent = false; ///< the backend server answers no call
  std::vector<http::ExchangePtr> unanswered;
  std::vector<nodes::LinkResponderPtr> peerCalls; ///< not answered either
};

} // namespace

TEST_CASE("a call that arrives before the configuration is held until then",
          "[calls]")
{
  Fixture it;
  it.Call(Milliseconds(3000));
  it.RunLoopFor(Milliseconds(50));
  CHECK(it.results.empty());
  it.forwarder.SetView(Fixture::View(true));
  it.RunLoopFor(Milliseconds(200));
  REQUIRE(it.results.size() == 1);
  CHECK(it.results[0].outcome == CallOutcome::kAnswered);
  CHECK(it.forwarder.InFlight() == 0);
}

TEST_CASE("a call is held until a backend server of its service is known",
          "[calls]")
{
  Fixture it;
  it.forwarder.SetView(Fixture::View(false));
  it.Call(Milliseconds(3000));
  it.RunLoopFor(Milliseconds(50));
  CHECK(it.results.empty());
  it.forwarder.SetView(Fixture::View(true));
  it.RunLoopFor(Milliseconds(200));
  REQUIRE(it.results.size() == 1);
  CHECK(it.results[0].outcome == CallOutcome::kAnswered);
}

TEST_CASE("a held call is refused after a third of its timeout, or on draining",
          "[calls]")
{
  Fixture it;
  it.Call(Milliseconds(300));
  it.Call(Milliseconds(3000));
  it.RunLoopFor(Milliseconds(200));
  REQUIRE(it.results.size() == 1);
  CHECK(it.results[0].outcome == CallOutcome::kNotRun);
  CHECK(it.results[0].retryAfter.has_value());
  it.forwarder.Drain();
  REQUIRE(it.results.size() == 2);
  CHECK(it.results[1].outcome == CallOutcome::kNotRun);
  CHECK(it.forwarder.InFlight() == 0);
}

TEST_CASE("a held call can be cancelled", "[calls]")
{
  Fixture it;
  const auto cancel = it.Call(Milliseconds(3000));
  REQUIRE(cancel);
  cancel();
  CHECK(it.forwarder.InFlight() == 0);
  it.forwarder.SetView(Fixture::View(true));
  it.RunLoopFor(Milliseconds(50));
  CHECK(it.results.empty());
}

TEST_CASE("a stopping node refuses calls that might outlast it, and answers "
          "those in progress before it exits",
          "[calls][stop]")
{
  Fixture it;
  it.isSilent = true;
  it.forwarder.SetView(Fixture::View(true));
  it.Call(Milliseconds(5000));
  it.RunLoopFor(Milliseconds(50));
  REQUIRE(it.unanswered.size() == 1);
  it.forwarder.BeginStop(
    StopWindow(std::chrono::steady_clock::now(), Milliseconds(3000)));
  it.Call(Milliseconds(4000));
  it.Call(Milliseconds(1000));
  it.RunLoopFor(Milliseconds(50));
  CHECK(it.unanswered.size() == 2);
  REQUIRE(it.results.size() == 1);
  CHECK(it.results[0].outcome == CallOutcome::kNotRun);
  CHECK(it.results[0].retryAfter.has_value());
  it.forwarder.EndAll("the node stops");
  REQUIRE(it.results.size() == 3);
  CHECK(it.results[1].outcome == CallOutcome::kUnknown);
  CHECK(it.results[2].outcome == CallOutcome::kUnknown);
  CHECK(it.forwarder.InFlight() == 0);
}

// Guards against calls that waited in sockets during a pause and are routed,
// and repeated, by the configuration from before it.
TEST_CASE("after a pause calls are held until the configuration is confirmed",
          "[calls][pause]")
{
  Fixture it;
  it.forwarder.SetView(Fixture::View(true));
  it.Confirm();
  it.forwarder.Close();
  it.Call(Milliseconds(3000));
  // Neither a view nor a confirmation from before the pause says that the
  // configuration is still the newest one.
  it.forwarder.SetView(Fixture::View(true));
  it.Confirm(Milliseconds(100));
  it.RunLoopFor(Milliseconds(100));
  CHECK(it.results.empty());
  it.Confirm();
  it.RunLoopFor(Milliseconds(100));
  REQUIRE(it.results.size() == 1);
  CHECK(it.results[0].outcome == CallOutcome::kAnswered);
}

// Guards against a node that refuses all calls for as long as it reaches
// neither the store nor a peer after a pause.
TEST_CASE("calls are held only for a limited time after a pause",
          "[calls][pause]")
{
  constexpr Milliseconds kMaxHold{ 1000 };
  Fixture it;
  it.forwarder.SetView(Fixture::View(true));
  it.forwarder.Close();
  it.RunLoopFor(kMaxHold + Milliseconds(100));
  it.Call(Milliseconds(3000));
  it.RunLoopFor(Milliseconds(100));
  REQUIRE(it.results.size() == 1);
  CHECK(it.results[0].outcome == CallOutcome::kAnswered);
}

// Guards against calls that run twice since an outdated configuration takes
// them for idempotent ones.
TEST_CASE("a call is hedged only by a configuration that was confirmed lately",
          "[calls][hedge]")
{
  Fixture it;
  it.isSilent = true;
  it.forwarder.SetView(it.ViewWithPeer());
  SECTION("never confirmed")
  {
    it.Call(Milliseconds(5000));
    it.RunLoopFor(kLatencyTarget);
    CHECK(it.CountRuns() == 1);
  }
  SECTION("confirmed too long ago")
  {
    it.Confirm(kMaxConfigAge + Milliseconds(1));
    it.Call(Milliseconds(5000));
    it.RunLoopFor(kLatencyTarget);
    CHECK(it.CountRuns() == 1);
  }
  SECTION("confirmed while the call runs")
  {
    it.Call(Milliseconds(5000));
    it.RunLoopFor(kLatencyTarget / 4);
    it.Confirm(kMaxConfigAge / 2);
    it.RunLoopFor(kLatencyTarget);
    CHECK(it.CountRuns() == 2);
  }
  SECTION("confirmed, and a newer version forbids that the call runs twice")
  {
    it.Confirm();
    it.Call(Milliseconds(5000));
    it.RunLoopFor(kLatencyTarget / 4);
    it.forwarder.SetView(it.ViewWithPeer(config::CallClass::kAtMostOnce));
    it.Confirm();
    it.RunLoopFor(kLatencyTarget);
    CHECK(it.CountRuns() == 1);
  }
}

// Guards against callers that wait for a server which operators have closed to
// them.
TEST_CASE("a call is refused at once if all servers are in evacuated zones",
          "[calls][evacuation]")
{
  Fixture it;
  const auto view = std::make_shared<routing::RoutingView>(*it.ViewWithPeer());
  view->targets["svc"][0].evacuated = true;
  it.forwarder.SetView(view);
  it.Call(Milliseconds(3000));
  it.RunLoopFor(Milliseconds(50));
  CHECK(it.peerCalls.size() == 1);
  const auto closed = std::make_shared<routing::RoutingView>(*view);
  closed->targets["svc"][1].evacuated = true;
  it.forwarder.SetView(closed);
  it.Call(Milliseconds(3000));
  REQUIRE(it.results.size() == 1);
  CHECK(it.results[0].outcome == CallOutcome::kNotRun);
}
