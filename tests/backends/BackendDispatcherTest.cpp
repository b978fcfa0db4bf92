// BackendDispatcher with an HTTP server on the same event loop as the backend
// server: call counts and the loss of the backend server.

#include "knapweedpaddle/backends/BackendDispatcher.h"

#include "fakes/FreeAddress.h"
#include "fakes/ScriptedServer.h"
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
  explicit Fixture(BackendDialect aDialect = {})
    : tracer("test", 0, 1)
    , server(loop,
             [this](const http::ExchangePtr& aExchange) {
               if (aExchange->Message().target == "/health") {
                 ++healthChecks;
                 http::Response response;
                 response.status = 200;
                 response.headers = { { "knapweed-warmup-ms", warmupMs } };
                 aExchange->Respond(std::move(response));
                 return;
               }
               arrivals.push_back(std::chrono::steady_clock::now());
               if (answersAtOnce) {
                 http::Response response;
                 response.status = answerStatus;
                 response.headers = answerHeaders;
                 aExchange->Respond(std::move(response));
                 return;
               }
               pending.push_back(aExchange);
             })
    , dispatcher({ loop, claims, metrics, tracer, std::move(aDialect) }, 0)
  {
    const std::string address = fakes::FreeAddress();
    REQUIRE(server.Listen(address));
    backend = { address, "svc", "v2", 4, "i-1", 1000 };
    dispatcher.SetBackend(backend);
  }

  void Run(const std::string& aLeavingServer = "")
  {
    ForwardedCall call;
    call.leavingServer = aLeavingServer;
    call.callId = "call";
    call.service = "svc";
    call.version = "v2";
    call.route = "route";
    call.slowAfter = kSlowAfter;
    call.deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    call.method = "GET";
    call.path = "/";
    dispatcher.Run(std::move(call), [this](const callers::CallResult& aResult) {
      ++answered;
      leavingServer = aResult.leavingServer;
    });
  }

  /** Runs a call every few milliseconds for some time. */
  void RunCallsFor(Milliseconds aTime)
  {
    const auto timer = loop.RunEvery(Milliseconds(4), [this] { Run(); });
    RunLoopFor(aTime);
    loop.Cancel(timer);
  }

  /** Returns the number of calls that arrived in the 4 s from a time on. */
  std::ptrdiff_t ArrivalsFrom(Timestamp aTime) const
  {
    return std::ranges::count_if(arrivals, [aTime](Timestamp aArrival) {
      return aArrival >= aTime && aArrival < aTime + std::chrono::seconds(4);
    });
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
  bool answersAtOnce = false;
  int answerStatus = 200;
  std::vector<http::Header> answerHeaders;
  int healthChecks = 0;
  std::string warmupMs = "0"; ///< warm-up time that health checks tell
  std::vector<Timestamp> arrivals;
  std::vector<http::ExchangePtr> pending;
  http::Server server;
  BackendDispatcher dispatcher;
  BackendServer backend;
  int answered = 0;
  std::string leavingServer; ///< of the last result
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

TEST_CASE("a backend server gets no more calls than the rate that it names "
          "allows",
          "[owner]")
{
  constexpr std::ptrdiff_t kRate = 10;
  // One and a half times the rate, and 5 calls more, in any 4 s.
  constexpr std::ptrdiff_t kMaxArrivals = kRate * 4 * 3 / 2 + 5;
  Fixture it;
  it.answersAtOnce = true;
  it.answerHeaders = { { "knapweed-rate-limit", std::to_string(kRate) } };
  it.RunCallsFor(Milliseconds(5000));
  for (const Timestamp arrival : it.arrivals) {
    CHECK(it.ArrivalsFrom(arrival) <= kMaxArrivals);
  }
  CHECK(it.arrivals.size() >= 4 * kRate);
  it.answerHeaders.clear();
  it.RunCallsFor(Milliseconds(500));
  const std::size_t before = it.arrivals.size();
  it.RunCallsFor(Milliseconds(500));
  CHECK(it.arrivals.size() - before >= 5 * kRate);
}

TEST_CASE("a backend server whose answers say that it leaves gets no further "
          "calls, also when it is registered again",
          "[owner]")
{
  Fixture it;
  it.answersAtOnce = true;
  it.answerHeaders = { { "knapweed-leaving", "1" } };
  it.Run();
  it.RunLoopFor(Milliseconds(50));
  REQUIRE(it.arrivals.size() == 1);
  it.Run();
  // A report that was under way when the answer came.
  it.dispatcher.SetBackend(it.backend);
  it.Run();
  it.RunLoopFor(Milliseconds(50));
  CHECK(it.arrivals.size() == 1);
  CHECK(it.answered == 3);
  // The same instance after a restart, and another one.
  it.answerHeaders.clear();
  it.backend.startedAtMs += 1;
  it.dispatcher.SetBackend(it.backend);
  it.Run();
  it.RunLoopFor(Milliseconds(50));
  CHECK(it.arrivals.size() == 2);
}

TEST_CASE("a restarted node sends no call to a server that another node knows "
          "to be leaving",
          "[owner]")
{
  std::string leavingServer;
  {
    Fixture before;
    before.answersAtOnce = true;
    before.answerHeaders = { { "knapweed-leaving", "1" } };
    before.Run();
    before.RunLoopFor(Milliseconds(50));
    leavingServer = before.leavingServer;
  }
  REQUIRE_FALSE(leavingServer.empty());
  Fixture it;
  it.answersAtOnce = true;
  it.Run(leavingServer);
  it.Run();
  it.RunLoopFor(Milliseconds(50));
  CHECK(it.answered == 2);
  CHECK(it.arrivals.empty());
  // A later start under the same id gets calls.
  it.backend.startedAtMs += 1;
  it.dispatcher.SetBackend(it.backend);
  it.Run(leavingServer);
  it.RunLoopFor(Milliseconds(50));
  CHECK(it.arrivals.size() == 1);
}

TEST_CASE("an answer that is not the server's own does not lift its rate limit",
          "[owner]")
{
  constexpr std::ptrdiff_t kRate = 10;
  BackendDialect dialect;
  dialect.stamp = "stamp";
  Fixture it(dialect);
  it.answersAtOnce = true;
  it.answerHeaders = { { "stamp", "1" },
                       { "knapweed-rate-limit", std::to_string(kRate) } };
  it.RunCallsFor(Milliseconds(200));
  it.answerStatus = 500;
  it.answerHeaders.clear();
  const Timestamp from = std::chrono::steady_clock::now();
  it.RunCallsFor(Milliseconds(1000));
  CHECK(it.ArrivalsFrom(from) <= 2 * kRate);
}

TEST_CASE("a stopping owner refuses calls of peers that might outlast it",
          "[owner][stop]")
{
  Fixture it;
  const Timestamp now = std::chrono::steady_clock::now();
  it.dispatcher.BeginStop(StopWindow(now, Milliseconds(5000)));
  it.Run(); // its deadline is in 5 s
  it.RunLoopFor(Milliseconds(40));
  CHECK(it.answered == 1);
  CHECK(it.pending.empty());
  it.dispatcher.BeginStop(StopWindow(now, Milliseconds(20'000)));
  it.Run();
  it.RunLoopFor(Milliseconds(40));
  CHECK(it.pending.size() == 1);
}

TEST_CASE("a request that crashes each server start is not sent to the fourth",
          "[owner]")
{
  Fixture it;
  int runs = 0;
  for (int start = 0; start < 6; ++start) {
    fakes::ScriptedServer server;
    it.backend.address = server.address;
    it.backend.startedAtMs += 1;
    it.dispatcher.SetBackend(it.backend);
    it.Run();
    fakes::RunUntil(it.loop, [&] {
      server.Accept();
      if (server.peer) {
        server.peer->Read();
      }
      return it.answered > start ||
             (server.peer && !server.peer->received.empty());
    });
    runs += server.peer ? 1 : 0;
    server.peer.reset();
    it.RunLoopFor(Milliseconds(20));
    REQUIRE(it.answered == start + 1);
  }
  CHECK(runs == 3);
}

// Guards against calls that a peer with an older view still sends to a zone
// that operators have evacuated.
TEST_CASE("the owner in an evacuated zone refuses new and queued calls",
          "[owner][evacuation]")
{
  Fixture it;
  for (int n = 0; n < 6; ++n) {
    it.Run();
  }
  it.RunLoopFor(Milliseconds(40));
  REQUIRE(it.pending.size() == 4);
  it.dispatcher.SetEvacuated(true);
  it.Run();
  it.RunLoopFor(Milliseconds(40));
  CHECK(it.answered == 3);
  // A report must not end the evacuation, and calls in progress are answered.
  it.dispatcher.SetBackend(it.backend);
  it.Run();
  for (const auto& exchange : std::exchange(it.pending, {})) {
    http::Response response;
    response.status = 200;
    exchange->Respond(std::move(response));
  }
  it.RunLoopFor(Milliseconds(40));
  CHECK(it.answered == 8);
  CHECK(it.arrivals.size() == 4);
  it.dispatcher.SetEvacuated(false);
  it.Run();
  it.RunLoopFor(Milliseconds(40));
  CHECK(it.arrivals.size() == 5);
}

// Guards against a server that is crowded as it returns from an outage, before
// its first report says that it is cold.
TEST_CASE("a server that was away is cold until its health check answers",
          "[owner][warmup]")
{
  constexpr std::size_t kCallsPerSecond = 5;
  Fixture it;
  it.answersAtOnce = true;
  it.dispatcher.SetWarmup({ { "svc", { kCallsPerSecond, "/health" } } });
  it.RunLoopFor(Milliseconds(1100)); // calls of an earlier process
  it.RunCallsFor(Milliseconds(500));
  REQUIRE(it.arrivals.size() > 2 * kCallsPerSecond);
  SECTION("it is cold")
  {
    it.warmupMs = "5000";
    it.dispatcher.OnPause();
    it.RunLoopFor(Milliseconds(1100));
    it.arrivals.clear();
    it.RunCallsFor(Milliseconds(900));
    CHECK(it.arrivals.size() <= kCallsPerSecond);
    CHECK(it.arrivals.size() >= kCallsPerSecond - 1);
  }
  SECTION("it is warm")
  {
    it.dispatcher.OnPause();
    it.RunLoopFor(Milliseconds(100));
    it.arrivals.clear();
    it.RunCallsFor(Milliseconds(500));
    CHECK(it.arrivals.size() > 2 * kCallsPerSecond);
  }
  CHECK(it.healthChecks == 1);
}

// Guards against health checks, which cost slots, where nobody asked for them.
TEST_CASE("a server without a warm-up limit is not asked for its health",
          "[owner][warmup]")
{
  Fixture it;
  it.answersAtOnce = true;
  it.dispatcher.SetWarmup({ { "other", { 5, "/health" } } });
  it.dispatcher.OnPause();
  it.RunCallsFor(Milliseconds(300));
  CHECK(it.healthChecks == 0);
  CHECK(it.arrivals.size() > 20);
}
