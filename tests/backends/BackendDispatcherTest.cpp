// BackendDispatcher with an HTTP server on the same event loop as the backend
// server: call counts and the loss of the backend server.

#include "knapweedpaddle/backends/BackendDispatcher.h"

#include "fakes/FreeAddress.h"
#include "knapweedpaddle/http/Server.h"
#include "knapweedpaddle/telemetry/Metrics.h"
#include "knapweedpaddle/telemetry/Tracer.h"
#include "node/UnavailableClaims.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using namespace knapweedpaddle::backends;

namespace {

constexpr Milliseconds kSlowAfter{ 40 };

struct Fixture
{
  Fixture()
    : tracer("test", 0, 1)
    , server(loop,
             [this](const http::ExchangePtr& aExchange) {
               pending.push_back(aExchange);
             })
    , dispatcher({ loop, claims, metrics, tracer, {} }, 0)
  {
    const std::string address = fakes::FreeAddress();
    REQUIRE(server.Listen(address));
    dispatcher.SetBackend(BackendServer{ address, "svc", "v2", 4, "i-1" });
  }

  void Run()
  {
    ForwardedCall call;
    call.callId = "call";
    call.service = "svc";
    call.version = "v2";
    call.route = "route";
    call.slowAfter = kSlowAfter;
    call.deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    call.method = "GET";
    call.path = "/";
    dispatcher.Run(std::move(call),
                   [this](const callers::CallResult&) { ++answered; });
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
  std::vector<http::ExchangePtr> pending;
  http::Server server;
  BackendDispatcher dispatcher;
  int answered = 0;
};

} // namespace

TEST_CASE("a slow call counts as evidence before it ends, and only once",
          "[owner]")
{
  Fixture it;
  it.Run();
  it.RunLoopFor(kSlowAfter + Milliseconds(40));
  REQUIRE(it.pending.size() == 1);
  it.dispatcher.CountSlowInFlight();
  it.dispatcher.CountSlowInFlight();
  const EvidenceSums early = it.dispatcher.Evidence().at({ "v2", "route" });
  CHECK(early.calls == 1);
  CHECK(early.slow == 1);
  http::Response response;
  response.status = 500;
  it.pending.front()->Respond(response);
  it.RunLoopFor(Milliseconds(40));
  CHECK(it.answered == 1);
  const EvidenceSums after = it.dispatcher.Evidence().at({ "v2", "route" });
  CHECK(after.calls == 1);
  CHECK(after.slow == 1);
  CHECK(after.failures == 1);
}

TEST_CASE("queued calls are refused when the backend server is removed",
          "[owner]")
{
  Fixture it;
  for (int n = 0; n < 6; ++n) {
    it.Run();
  }
  it.RunLoopFor(Milliseconds(40));
  REQUIRE(it.pending.size() == 4);
  it.dispatcher.SetBackend(std::nullopt);
  it.RunLoopFor(Milliseconds(20));
  CHECK(it.answered == 2);
  http::Response response;
  response.status = 200;
  for (const auto& exchange : std::exchange(it.pending, {})) {
    exchange->Respond(response);
  }
  it.RunLoopFor(Milliseconds(40));
  CHECK(it.answered == 6);
  CHECK(it.pending.empty());
}
