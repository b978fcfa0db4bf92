// CallForwarder with one backend server, on this node: calls that arrive before
// the configuration or the server is known.

#include "knapweedpaddle/callers/CallForwarder.h"

#include "fakes/FreeAddress.h"
#include "knapweedpaddle/http/Server.h"
#include "node/UnavailableClaims.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using namespace knapweedpaddle::callers;

namespace {

const nodes::NodeId kSelf = *nodes::ParseNodeId("10.0.0.1:7100");

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
  static routing::RoutingViewPtr View(bool aHasServer)
  {
    auto snapshot = std::make_shared<config::Snapshot>();
    config::RouteEntry route;
    route.header.name = "r";
    route.host = "svc.example";
    route.pathPrefix = "/a/";
    route.service = "svc";
    route.timeout = Milliseconds(5000);
    route.slowAfter = Milliseconds(500);
    snapshot->entries[{ config::EntryKind::kRoute, "r" }] = route;
    auto view = std::make_shared<routing::RoutingView>(
      std::make_shared<const config::Snapshot>(*snapshot));
    view->open = true;
    view->splits["svc"] = {};
    if (aHasServer) {
      view->targets["svc"] = { { kSelf, "", "a", "v1", 4, false } };
    }
    return view;
  }

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
  backends::BackendDispatcher dispatcher;
  CallForwarder forwarder;
  std::vector<CallResult> results;
  bool isSilent = false; ///< the backend server answers no call
  std::vector<http::ExchangePtr> unanswered;
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
