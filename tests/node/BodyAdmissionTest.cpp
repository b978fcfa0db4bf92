// BodyAdmission between a link's client and server: a call that the owner can't
// run must be refused before its body fills the owner's link.

#include "node/BodyAdmission.h"

#include "fakes/ScriptedServer.h"
#include "knapweedpaddle/nodes/LinkClient.h"
#include "knapweedpaddle/telemetry/Tracer.h"
#include "node/UnavailableClaims.h"

using namespace knapweedpaddle;
using namespace knapweedpaddle::node;

namespace {

constexpr std::size_t kBodyBytes = 200'000;

struct Fixture
{
  explicit Fixture(double aLinkBytesPerMs)
    : tracer("test", 0, 1)
    , dispatcher({ loop, claims, metrics, tracer, {} }, 0)
    , admission(dispatcher, metrics, "", aLinkBytesPerMs)
    , server(
        loop,
        [this](const nodes::LinkRequest& aRequest,
               const nodes::LinkResponderPtr& aResponder) {
          admission.OnEnded(aResponder.get());
          bodies.push_back(aRequest.body.Size());
        },
        [this](const nodes::LinkRequest& aRequest,
               const nodes::LinkResponderPtr& aResponder) {
          admission.OnHeaders(aRequest, aResponder);
        })
    , client(loop, {})
  {
    address =
      "127.0.0.1:" + std::to_string(server.Listen("127.0.0.1", 0).value());
  }

  void SetBackend()
  {
    dispatcher.SetBackend(
      backends::BackendServer{ "127.0.0.1:1", "svc", "v1", 4, "i-1", 1000 });
  }

  /** Sends a call; an owner's refusal is counted. */
  nodes::LinkClient::RequestId Send(std::size_t aBodyBytes)
  {
    backends::ForwardedCall call;
    call.callId = "call";
    call.service = "svc";
    call.version = "v1";
    call.route = "route";
    call.callClass = config::CallClass::kAtMostOnce;
    const Timestamp now = std::chrono::steady_clock::now();
    call.deadline = now + Milliseconds(5000);
    call.targetDeadline = now + Milliseconds(4000);
    call.body = std::string(aBodyBytes, 'b');
    return client.Send(
      address,
      nodes::EncodeCall(call, now),
      [this](std::optional<nodes::LinkResponse> aResponse,
             const nodes::LinkReason&) {
        const auto decoded =
          aResponse ? nodes::DecodeCallResult(std::move(*aResponse), "call")
                    : std::nullopt;
        refusals +=
          decoded && decoded->result.outcome == callers::CallOutcome::kNotRun
            ? 1
            : 0;
      });
  }

  void RunLoopFor(Milliseconds aTime)
  {
    loop.RunAfter(aTime, [this] { loop.Stop(); });
    loop.Run();
  }

  runtime::EventLoop loop;
  UnavailableClaims claims;
  telemetry::Metrics metrics;
  telemetry::Tracer tracer;
  backends::BackendDispatcher dispatcher;
  BodyAdmission admission;
  nodes::LinkServer server;
  nodes::LinkClient client;
  std::string address;
  int refusals = 0;
  std::vector<std::size_t> bodies; ///< sizes of the bodies that arrived
};

} // namespace

TEST_CASE("a call that the owner can't run is refused before its body is sent",
          "[owner][transfers]")
{
  Fixture it(0);
  it.Send(kBodyBytes);
  CHECK(fakes::RunUntil(it.loop, [&] { return it.refusals == 1; }));
  CHECK(it.bodies.empty());
  it.SetBackend();
  it.Send(kBodyBytes);
  CHECK(fakes::RunUntil(it.loop, [&] { return it.bodies.size() == 1; }));
  CHECK(it.bodies[0] == kBodyBytes);
  CHECK(it.refusals == 1);
}

TEST_CASE("bodies come one after the other over a slow link, and a cancelled "
          "one makes room",
          "[owner][transfers]")
{
  Fixture it(1000); // a body fills the link for 250 ms
  it.SetBackend();
  const auto first = it.Send(kBodyBytes);
  it.Send(kBodyBytes);
  it.Send(kBodyBytes);
  REQUIRE(fakes::RunUntil(it.loop, [&] { return it.bodies.size() == 3; }));
  // A body that was let through and never sent holds up the next one only until
  // it is cancelled.
  it.admission.OnTick();
  it.client.Cancel(first);
  it.client.Cancel(it.Send(kBodyBytes));
  it.Send(kBodyBytes);
  CHECK(fakes::RunUntil(it.loop, [&] { return it.bodies.size() == 4; }));
  CHECK(it.refusals == 0);
}

TEST_CASE("a short body needs no admission by the owner", "[owner][transfers]")
{
  Fixture it(1000);
  it.Send(nodes::kFreeBodyBytes);
  CHECK(fakes::RunUntil(it.loop, [&] { return it.bodies.size() == 1; }));
  CHECK(it.refusals == 0);
}
