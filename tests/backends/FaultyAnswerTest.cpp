// BackendDispatcher with a backend server that writes faulty answers. A call
// must be reported as not run only if the server refused this very call, and
// an answer that was cut off must not look complete.

#include "knapweedpaddle/backends/BackendDispatcher.h"

#include "fakes/EndlessServer.h"
#include "fakes/ScriptedServer.h"
#include "knapweedpaddle/telemetry/Metrics.h"
#include "knapweedpaddle/telemetry/Tracer.h"
#include "node/UnavailableClaims.h"

using namespace knapweedpaddle;
using namespace knapweedpaddle::backends;
using callers::CallOutcome;
using callers::CallResult;
using config::CallClass;

namespace {

BackendDialect
Dialect()
{
  BackendDialect dialect;
  dialect.callId = "Id";
  dialect.notRun = "Not-Run";
  dialect.expectServer = "Expect";
  dialect.stamp = "Stamp";
  dialect.echoesCallId = true;
  return dialect;
}

struct Fixture
{
  Fixture()
    : tracer("test", 0, 1)
    , dispatcher({ loop, claims, metrics, tracer, Dialect() }, 0)
  {
    dispatcher.SetBackend(
      BackendServer{ server.address, "svc", "v1", 4, "i-1", 1000 });
  }

  /** Starts a call; its result is stored in `result`. */
  void Start(const std::string& aId, CallClass aClass = CallClass::kAtMostOnce)
  {
    result.reset();
    ForwardedCall call;
    call.callId = aId;
    call.service = "svc";
    call.version = "v1";
    call.route = "route";
    call.callClass = aClass;
    call.deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    call.method = "POST";
    call.path = "/";
    call.headers = { { "Id", aId } };
    dispatcher.Run(std::move(call),
                   [this](CallResult aResult) { result = std::move(aResult); });
  }

  /** Runs the loop until the server has received a request with an id. */
  void AwaitRequest(const std::string& aId)
  {
    CHECK(fakes::RunUntil(loop, [&] {
      server.Accept();
      if (server.peer) {
        server.peer->Read();
      }
      return server.peer && server.peer->received.ends_with("\r\n\r\n") &&
             server.peer->received.find("Id: " + aId) != std::string::npos;
    }));
    server.peer->received.clear();
  }

  void AwaitResult()
  {
    CHECK(fakes::RunUntil(loop, [this] { return result.has_value(); }));
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
  fakes::ScriptedServer server;
  BackendDispatcher dispatcher;
  std::optional<CallResult> result;
};

std::string
Refusal(const std::string& aIdLine)
{
  return "HTTP/1.1 503 Busy\r\n" + aIdLine +
         "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

const std::string kAnswer = "HTTP/1.1 200 OK\r\nId: two\r\nStamp: s\r\n"
                            "Content-Length: 2\r\n\r\nok";

/** When a server repeats an earlier response. */
enum class CopyTime
{
  kWhileIdle,          ///< before the next request is sent
  kAloneAfterRequest,  ///< when the next request runs, with no answer to it
  kBeforeAnswer,       ///< in one packet with the answer to the next request
  kPacketBeforeAnswer, ///< in the packet before that answer
  kAfterAnswer,        ///< in one packet after that answer
};

} // namespace

TEST_CASE("a refusal is taken for the call that it names, or for the only call "
          "of its connection",
          "[owner]")
{
  Fixture it;
  it.Start("one");
  it.AwaitRequest("one");
  it.server.peer->Write(Refusal(GENERATE("", "Id: one\r\n")));
  it.AwaitResult();
  CHECK(it.result->outcome == CallOutcome::kNotRun);
}

TEST_CASE("an earlier response that a server writes again does not end a later "
          "call as not run",
          "[owner]")
{
  const auto [first, firstIsRefusal] = GENERATE(table<std::string, bool>(
    { { "Id: one\r\n", true }, { "", true }, { "Id: one\r\n", false } }));
  const std::string copyId = GENERATE("", "Id: one\r\n");
  const auto time = GENERATE(CopyTime::kWhileIdle,
                             CopyTime::kAloneAfterRequest,
                             CopyTime::kBeforeAnswer,
                             CopyTime::kPacketBeforeAnswer,
                             CopyTime::kAfterAnswer);
  const auto callClass =
    GENERATE(CallClass::kAtMostOnce, CallClass::kIdempotent);
  CAPTURE(first, firstIsRefusal, copyId, static_cast<int>(time));
  Fixture it;
  it.Start("one");
  it.AwaitRequest("one");
  it.server.peer->Write(firstIsRefusal
                          ? Refusal(first)
                          : "HTTP/1.1 200 OK\r\n" + first +
                              "Stamp: s\r\nContent-Length: 0\r\n\r\n");
  it.AwaitResult();
  const std::string copy = Refusal(copyId);
  if (time == CopyTime::kWhileIdle) {
    it.server.peer->Write(copy);
    // The copy is in the socket, and the node has not read it.
  }
  it.Start("two", callClass);
  it.AwaitRequest("two");
  switch (time) {
    case CopyTime::kWhileIdle:
      if (!it.result) {
        it.server.peer->Write(kAnswer);
      }
      break;
    case CopyTime::kAloneAfterRequest:
      it.server.peer->Write(copy);
      it.RunLoopFor(Milliseconds(20));
      it.server.peer.reset();
      break;
    case CopyTime::kBeforeAnswer:
      it.server.peer->Write(copy + kAnswer);
      break;
    case CopyTime::kPacketBeforeAnswer:
      it.server.peer->Write(copy);
      it.RunLoopFor(Milliseconds(20));
      it.server.peer->Write(kAnswer);
      break;
    case CopyTime::kAfterAnswer:
      it.server.peer->Write(kAnswer + copy);
      break;
  }
  it.AwaitResult();
  // The server got the second call. A new connection carries no copies, so a
  // refusal there is the server's word for this call.
  const bool isNewConnection = it.server.connections == 2;
  CHECK((isNewConnection || it.result->outcome != CallOutcome::kNotRun));
  if (it.result->outcome == CallOutcome::kAnswered) {
    CHECK(it.result->status == 200);
    CHECK(it.result->body == "ok");
  }
}

TEST_CASE("an answer that is cut off at any byte does not look complete",
          "[owner]")
{
  const std::string head = "HTTP/1.1 200 OK\r\nId: two\r\nStamp: s\r\n";
  struct Framing
  {
    const char* name;
    std::string headEnd;
    std::string body;
    bool endsWithConnection;
  };
  const Framing framing =
    GENERATE(Framing{ "length", "Content-Length: 2\r\n\r\n", "ok", false },
             Framing{ "chunked",
                      "Transfer-Encoding: chunked\r\n\r\n",
                      "1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
                      false },
             Framing{ "until close", "\r\n", "ok", true });
  const bool reset = GENERATE(false, true);
  const std::string bytes = head + framing.headEnd + framing.body;
  const std::size_t headSize = bytes.size() - framing.body.size();
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    for (const auto callClass :
         { CallClass::kAtMostOnce, CallClass::kIdempotent }) {
      CAPTURE(framing.name, reset, cut, static_cast<int>(callClass));
      Fixture it;
      it.Start("two", callClass);
      it.AwaitRequest("two");
      if (cut > 0) {
        it.server.peer->Write(bytes.substr(0, cut));
      }
      if (reset) {
        it.server.peer->ResetOnClose();
        it.RunLoopFor(Milliseconds(1));
      }
      it.server.peer.reset();
      it.AwaitResult();
      // Without a length, the regular end of the connection ends the answer.
      const bool whole = framing.endsWithConnection ? !reset && cut >= headSize
                                                    : cut == bytes.size();
      CHECK(it.result->outcome ==
            (whole ? CallOutcome::kAnswered : CallOutcome::kUnknown));
    }
  }
}

// Guards against an answer whose status no HTTP answer has, such as 000, that
// reaches the caller, however the answer ends.
TEST_CASE("an answer without a valid status is no answer", "[owner]")
{
  const std::string status = GENERATE("HTTP/1.1 000 Odd",
                                      "HTTP/1.1 099 Odd",
                                      "HTTP/1.1 20 Odd",
                                      "HTTP/1.1 0200 Odd",
                                      "HTTP/1.1 101 Odd",
                                      "HTTP/1.1 600 Odd",
                                      "HTTP/1.1 999 Odd",
                                      "HTTP/2.7 200 Odd");
  const std::string end = GENERATE("Content-Length: 2\r\n\r\nok",
                                   "Transfer-Encoding: chunked\r\n\r\n"
                                   "2\r\nok\r\n0\r\n\r\n",
                                   "\r\nok",
                                   "\r\n");
  const auto callClass =
    GENERATE(CallClass::kAtMostOnce, CallClass::kIdempotent);
  CAPTURE(status, end, static_cast<int>(callClass));
  Fixture it;
  it.Start("two", callClass);
  it.AwaitRequest("two");
  it.server.peer->Write(status + "\r\nId: two\r\nStamp: s\r\n" + end);
  it.RunLoopFor(Milliseconds(1));
  it.server.peer.reset();
  it.AwaitResult();
  CHECK(it.result->outcome == CallOutcome::kUnknown);
}

// Guards against a node that runs out of memory because it keeps what a faulty
// server sends without end in answer to a health probe.
TEST_CASE("a probe whose answer has no end is given up", "[owner]")
{
  // Nothing in the body of a health answer is used.
  constexpr std::size_t kMaxBytes = 1024UL * 1024;
  constexpr std::size_t kSocketBytes = 8UL * 1024 * 1024;
  fakes::EndlessServer endless("HTTP/1.1 200 OK\r\n\r\n", "x");
  Fixture it;
  it.dispatcher.SetWarmup({ { "svc", { 10, "/health" } } });
  it.dispatcher.SetBackend(
    BackendServer{ endless.address, "svc", "v1", 4, "i-1", 1000 });
  it.dispatcher.OnPause(); // The state of the server has to be asked for.
  CHECK(fakes::RunUntil(it.loop, [&] { return endless.openConnections > 0; }));
  CHECK(fakes::RunUntil(it.loop, [&] { return endless.openConnections == 0; }));
  CHECK(endless.bytesSent <= kMaxBytes + kSocketBytes);
}
