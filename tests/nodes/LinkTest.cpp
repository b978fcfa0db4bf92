// Links between nodes under connection faults over real sockets. A cut response
// must not be taken for a whole one, and the error must tell whether the peer
// may have processed the call: an at-most-once call is sent again only if not.

#include "knapweedpaddle/nodes/CallCodec.h"
#include "knapweedpaddle/nodes/LinkClient.h"
#include "knapweedpaddle/nodes/LinkServer.h"
#include "knapweedpaddle/runtime/EventLoop.h"
#include "proof/ProofLog.h"

#include <arpa/inet.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace knapweedpaddle;
using namespace knapweedpaddle::nodes;

namespace {

const std::string kBody(300, 'b');

sockaddr_in
Loopback(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/** Forwards one connection. After a number of response bytes it closes the
 * connection or drops all further response bytes. */
class FaultyRelay
{
public:
  FaultyRelay(std::uint16_t aTarget,
              std::size_t aAnswerBytes,
              bool aUnresponsive)
    : mTarget(aTarget)
    , mAnswerBytes(aAnswerBytes)
    , mUnresponsive(aUnresponsive)
  {
    mListener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(0);
    REQUIRE(bind(mListener,
                 reinterpret_cast<sockaddr*>(&address),
                 sizeof(address)) == 0);
    REQUIRE(listen(mListener, 4) == 0);
    socklen_t size = sizeof(address);
    getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    mThread = std::thread([this] { Relay(); });
  }

  ~FaultyRelay()
  {
    mStop = true;
    shutdown(mListener, SHUT_RDWR);
    mThread.join();
    close(mListener);
  }

  std::uint16_t port = 0;

private:
  void Relay()
  {
    const int client = accept(mListener, nullptr, nullptr);
    if (client < 0) {
      return;
    }
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(mTarget);
    std::size_t left = mAnswerBytes;
    if (connect(server,
                reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) == 0) {
      while (!mStop && Forward(client, server, left)) {
      }
    }
    close(server);
    close(client);
  }

  /** Forwards the bytes available; returns false when the connection ended or
   * has to be closed. */
  bool Forward(int aClient, int aServer, std::size_t& aLeft)
  {
    std::array<pollfd, 2> sockets{ { { aClient, POLLIN, 0 },
                                     { aServer, POLLIN, 0 } } };
    poll(sockets.data(), sockets.size(), 20);
    std::array<char, 4096> buf{};
    if (sockets[0].revents != 0) {
      const ssize_t n = recv(aClient, buf.data(), buf.size(), 0);
      if (n <= 0) {
        return false;
      }
      send(aServer, buf.data(), static_cast<std::size_t>(n), MSG_NOSIGNAL);
    }
    if (sockets[1].revents != 0) {
      const ssize_t n = recv(aServer, buf.data(), buf.size(), 0);
      if (n <= 0) {
        return false;
      }
      const std::size_t kept = std::min(aLeft, static_cast<std::size_t>(n));
      send(aClient, buf.data(), kept, MSG_NOSIGNAL);
      aLeft -= kept;
      return aLeft > 0 || mUnresponsive;
    }
    return true;
  }

  std::uint16_t mTarget;
  std::size_t mAnswerBytes;
  bool mUnresponsive;
  int mListener = -1;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

struct Outcome
{
  bool answered = false;
  bool whole = false;
  LinkError error = LinkError::kBroken;
  Milliseconds took{ 0 };
};

/** Sends one call over a link to a port and waits for its outcome. */
Outcome
CallOver(runtime::EventLoop& aLoop,
         std::uint16_t aPort,
         config::CallClass aClass = config::CallClass::kIdempotent)
{
  LinkClientOptions options;
  options.pingInterval = Milliseconds(100);
  options.pingTimeout = Milliseconds(100);
  LinkClient client(aLoop, options);
  backends::ForwardedCall call;
  call.callId = "call-1";
  call.service = "svc";
  call.body = kBody;
  call.callClass = aClass;
  const Timestamp now = std::chrono::steady_clock::now();
  call.deadline = now + Milliseconds(1500);
  Outcome outcome;
  client.Send(
    "127.0.0.1:" + std::to_string(aPort),
    EncodeCall(call, now),
    [&](std::optional<LinkResponse> aResponse, const LinkReason& aReason) {
      outcome.error = aReason.code;
      if (aResponse) {
        const auto decoded = DecodeCallResult(std::move(*aResponse), "call-1");
        outcome.answered = decoded.has_value();
        outcome.whole = decoded && decoded->result.body == kBody;
      }
      aLoop.Stop();
    });
  aLoop.Run();
  outcome.took = std::chrono::duration_cast<Milliseconds>(
    std::chrono::steady_clock::now() - now);
  return outcome;
}

/** Sends one call through a FaultyRelay to a server that echoes its body. */
Outcome
CallThroughRelay(std::size_t aAnswerBytes,
                 bool aUnresponsive,
                 config::CallClass aClass = config::CallClass::kIdempotent)
{
  runtime::EventLoop loop;
  LinkServer server(
    loop, [](const LinkRequest& aRequest, const LinkResponderPtr& aResponder) {
      callers::CallResult result;
      result.outcome = callers::CallOutcome::kAnswered;
      result.status = 200;
      result.callId = HeaderValue(aRequest.headers, "call-id");
      result.body = aRequest.body;
      aResponder->Respond(EncodeCallResult(result, backends::ServerLoad{}));
    });
  const auto port = server.Listen("127.0.0.1", 0);
  REQUIRE(port.has_value());
  const FaultyRelay relay(*port, aAnswerBytes, aUnresponsive);
  return CallOver(loop, relay.port, aClass);
}

} // namespace

TEST_CASE("a connection closed at any byte gives a whole response or none",
          "[links]")
{
  std::uint64_t cells = 0;
  std::uint64_t bad = 0;
  bool someAnswered = false;
  for (std::size_t bytes = 1; bytes < 700; bytes += 3) {
    const Outcome outcome = CallThroughRelay(bytes, false);
    INFO("cut after " << bytes << " bytes");
    CHECK(outcome.answered == outcome.whole);
    someAnswered |= outcome.whole;
    ++cells;
    bad += outcome.answered == outcome.whole ? 0 : 1;
  }
  CHECK(someAnswered);
  proof::Note("P5", "link cut mid-body", cells, bad, "links");
}

TEST_CASE("a request on an unresponsive link fails long before its deadline",
          "[links]")
{
  std::uint64_t bad = 0;
  for (const std::size_t bytes : { 20, 60, 120 }) {
    const Outcome outcome = CallThroughRelay(bytes, true);
    INFO("unresponsive after " << bytes << " bytes");
    CHECK_FALSE(outcome.answered);
    CHECK(outcome.error == LinkError::kUnresponsive);
    CHECK(outcome.took < Milliseconds(1000));
    bad += outcome.error == LinkError::kUnresponsive ? 0 : 1;
  }
  proof::Note("P6", "link silent for good", 3, bad, "links");
  proof::Note("P5", "link silent for good", 3, bad, "links");
}

TEST_CASE(
  "an at-most-once call on an unresponsive link waits until its timeout",
  "[links]")
{
  const Outcome outcome =
    CallThroughRelay(60, true, config::CallClass::kAtMostOnce);
  CHECK_FALSE(outcome.answered);
  CHECK(outcome.error == LinkError::kTimeout);
}

TEST_CASE("a refused connection is reported as a request that was not sent",
          "[links]")
{
  runtime::EventLoop loop;
  const Outcome outcome = CallOver(loop, 1);
  CHECK(outcome.error == LinkError::kNotSent);
  proof::Note("P6",
              "link refused",
              1,
              outcome.error == LinkError::kNotSent ? 0 : 1,
              "links");
}

TEST_CASE("responses to other calls and truncated bodies are rejected",
          "[links]")
{
  callers::CallResult result;
  result.outcome = callers::CallOutcome::kAnswered;
  result.status = 200;
  result.callId = "call-1";
  result.body = "ring";
  result.leavingServer = "i-1@7";
  const backends::ServerLoad load{ 3, 2, 12, 40, 35, 5, 29'586, 12 };
  const LinkResponse response = EncodeCallResult(result, load);
  CHECK(DecodeCallResult(response, "call-1")->load == load);
  CHECK(DecodeCallResult(response, "call-1")->result.leavingServer == "i-1@7");
  CHECK_FALSE(DecodeCallResult(response, "call-2").has_value());
  LinkResponse cut = response;
  cut.body = "rin";
  CHECK_FALSE(DecodeCallResult(cut, "call-1").has_value());
}

TEST_CASE("a call of another protocol version, without its headers or with a "
          "wrong body length is rejected",
          "[links]")
{
  backends::ForwardedCall call;
  call.callId = "call-1";
  const Timestamp now = std::chrono::steady_clock::now();
  call.deadline = now + Milliseconds(100);
  call.leavingServer = "i-1@7";
  std::string reason;
  LinkRequest request = EncodeCall(call, now);
  REQUIRE(DecodeCall(request, now, reason).has_value());
  CHECK(DecodeCall(request, now, reason)->leavingServer == "i-1@7");
  request.headers[0].value = "2";
  CHECK_FALSE(DecodeCall(request, now, reason).has_value());
  CHECK(reason == "protocol version \"2\" is not supported");
  request = EncodeCall(call, now);
  request.body = "longer than the length header";
  CHECK_FALSE(DecodeCall(request, now, reason).has_value());
  CHECK_FALSE(DecodeCall(LinkRequest{}, now, reason).has_value());
}

namespace {

/** Runs a loop until a condition holds. @return false after 3 s. */
template<typename Condition>
bool
RunUntil(runtime::EventLoop& aLoop, Condition aCondition)
{
  bool satisfied = false;
  const auto until = std::chrono::steady_clock::now() + Milliseconds(3000);
  const auto timer = aLoop.RunEvery(Milliseconds(2), [&] {
    satisfied = aCondition();
    if (satisfied || std::chrono::steady_clock::now() > until) {
      aLoop.Stop();
    }
  });
  aLoop.Run();
  aLoop.Cancel(timer);
  return satisfied;
}

/** A peer that accepts connections and never reads from them. */
class DeafPeer
{
public:
  DeafPeer()
  {
    mListener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in bound = Loopback(0);
    REQUIRE(
      bind(mListener, reinterpret_cast<sockaddr*>(&bound), sizeof(bound)) == 0);
    REQUIRE(listen(mListener, 4) == 0);
    socklen_t size = sizeof(bound);
    getsockname(mListener, reinterpret_cast<sockaddr*>(&bound), &size);
    address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
  }

  ~DeafPeer() { close(mListener); }
  DeafPeer(const DeafPeer&) = delete;
  DeafPeer& operator=(const DeafPeer&) = delete;

  std::string address;

private:
  int mListener;
};

LinkRequest
RequestWith(std::size_t aBodySize, Milliseconds aTimeout)
{
  LinkRequest request;
  request.path = "/call";
  request.body = std::string(aBodySize, 'b');
  request.timeout = aTimeout;
  return request;
}

} // namespace

TEST_CASE("a response that follows a GOAWAY arrives", "[links]")
{
  runtime::EventLoop loop;
  std::vector<LinkResponderPtr> pending;
  LinkServer server(
    loop, [&](const LinkRequest&, const LinkResponderPtr& aResponder) {
      pending.push_back(aResponder);
    });
  const auto port = server.Listen("127.0.0.1", 0);
  REQUIRE(port.has_value());
  LinkClient client(loop, {});
  std::optional<LinkResponse> response;
  bool ended = false;
  client.Send("127.0.0.1:" + std::to_string(*port),
              RequestWith(0, Milliseconds(2000)),
              [&](std::optional<LinkResponse> aResponse, const LinkReason&) {
                response = std::move(aResponse);
                ended = true;
              });
  REQUIRE(RunUntil(loop, [&] { return pending.size() == 1; }));
  server.GoAway();
  const std::size_t bodySize = GENERATE(0, 5000, 2'000'000);
  pending[0]->Respond({ 200, {}, std::string(bodySize, 'b') });
  CHECK(RunUntil(loop, [&] { return ended; }));
  REQUIRE(response);
  CHECK(response->body.Size() == bodySize);
}

TEST_CASE("a request that was not sent whole is reported as not sent",
          "[links]")
{
  runtime::EventLoop loop;
  const DeafPeer peer;
  LinkClient client(loop, {});
  std::vector<LinkError> errors;
  const auto send = [&](std::size_t aBodySize) {
    client.Send(peer.address,
                RequestWith(aBodySize, Milliseconds(300)),
                [&](const std::optional<LinkResponse>&,
                    const LinkReason& aWhy) { errors.push_back(aWhy.code); });
  };
  // The peer's window for a stream is 64 KiB until its settings arrive.
  send(1000);
  CHECK(RunUntil(loop, [&] { return errors.size() == 1; }));
  send(1'000'000);
  CHECK(RunUntil(loop, [&] { return errors.size() == 2; }));
  CHECK(errors == std::vector{ LinkError::kTimeout, LinkError::kNotSent });
}

TEST_CASE("a large body is sent only once the server accepts it", "[links]")
{
  runtime::EventLoop loop;
  std::vector<LinkResponderPtr> heads;
  std::vector<std::size_t> bodies; // sizes of those that arrived
  LinkServer server(
    loop,
    [&](const LinkRequest& aRequest, const LinkResponderPtr& aResponder) {
      bodies.push_back(aRequest.body.Size());
      aResponder->Respond({ 200, {}, "whole" });
    },
    [&](const LinkRequest& aRequest, const LinkResponderPtr& aResponder) {
      CHECK(aRequest.body.IsEmpty());
      heads.push_back(aResponder);
    });
  const auto port = server.Listen("127.0.0.1", 0);
  REQUIRE(port.has_value());
  LinkClient client(loop, {});
  const std::string address = "127.0.0.1:" + std::to_string(*port);
  std::vector<std::string> responses;
  std::vector<LinkError> errors;
  const auto send = [&](std::size_t aBodySize, Milliseconds aTimeout) {
    client.Send(
      address,
      RequestWith(aBodySize, aTimeout),
      [&](std::optional<LinkResponse> aResponse, const LinkReason& aWhy) {
        if (aResponse) {
          responses.push_back(aResponse->body);
        } else {
          errors.push_back(aWhy.code);
        }
      });
  };
  for (int n = 0; n < 3; ++n) {
    send(360'000, Milliseconds(2000));
  }
  send(360'000, Milliseconds(300));
  REQUIRE(RunUntil(loop, [&] { return heads.size() == 4; }));
  CHECK(bodies.empty());
  heads[0]->AcceptBody();
  REQUIRE(RunUntil(loop, [&] { return responses.size() == 1; }));
  CHECK(bodies == std::vector<std::size_t>{ 360'000 });
  // A refusal needs no body, and ends the request.
  heads[1]->Respond({ 503, {}, "refused" });
  REQUIRE(RunUntil(loop, [&] { return responses.size() == 2; }));
  CHECK(responses[1] == "refused");
  // A connection that carries a refused request carries others as well.
  send(100, Milliseconds(2000));
  REQUIRE(RunUntil(loop, [&] { return responses.size() == 3; }));
  // Without the server's word the request has certainly not run.
  REQUIRE(RunUntil(loop, [&] { return errors.size() == 1; }));
  CHECK(errors[0] == LinkError::kNotSent);
  heads[2]->AcceptBody();
  REQUIRE(RunUntil(loop, [&] { return responses.size() == 4; }));
  CHECK(bodies == std::vector<std::size_t>{ 360'000, 100, 360'000 });
}

TEST_CASE("a short request does not wait for a large body before it", "[links]")
{
  runtime::EventLoop loop;
  std::vector<std::size_t> arrived; // body sizes
  LinkServer server(
    loop, [&](const LinkRequest& aRequest, const LinkResponderPtr& aResponder) {
      arrived.push_back(aRequest.body.Size());
      aResponder->Respond({ 200, {}, "" });
    });
  const auto port = server.Listen("127.0.0.1", 0);
  REQUIRE(port.has_value());
  LinkClient client(loop, {});
  const std::string address = "127.0.0.1:" + std::to_string(*port);
  const auto ignore = [](const std::optional<LinkResponse>&,
                         const LinkReason&) {};
  client.Send(address, RequestWith(0, Milliseconds(2000)), ignore);
  REQUIRE(RunUntil(loop, [&] { return arrived.size() == 1; }));
  client.Send(address, RequestWith(3'000'000, Milliseconds(3000)), ignore);
  client.Send(address, RequestWith(10, Milliseconds(3000)), ignore);
  CHECK(RunUntil(loop, [&] { return arrived.size() == 3; }));
  CHECK(arrived == std::vector<std::size_t>{ 0, 10, 3'000'000 });
}
