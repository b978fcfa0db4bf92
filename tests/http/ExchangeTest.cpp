// The server and the client over loopback: what either side does to the other.

#include "fakes/FreeAddress.h"
#include "knapweedpaddle/http/Client.h"
#include "knapweedpaddle/http/Server.h"
#include "knapweedpaddle/runtime/EventLoop.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace knapweedpaddle;
using namespace knapweedpaddle::http;
using fakes::FreeAddress;
using runtime::EventLoop;

namespace {

constexpr Milliseconds kGiveUp{ 3000 };

/** A plain socket, for what no proper peer does. */
class RawPeer
{
public:
  explicit RawPeer(int aSocket)
    : mSocket(aSocket)
  {
    fcntl(mSocket, F_SETFL, O_NONBLOCK);
  }

  static std::unique_ptr<RawPeer> ConnectTo(const std::string& aAddress)
  {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(
      std::stoi(aAddress.substr(aAddress.find(':') + 1))));
    REQUIRE(
      connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    return std::make_unique<RawPeer>(fd);
  }

  ~RawPeer() { close(mSocket); }
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;

  void Write(const std::string& aBytes) const
  {
    REQUIRE(send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(aBytes.size()));
  }

  /** Reads what is there; notes the end. */
  void Read()
  {
    std::string buf(4096, '\0');
    ssize_t n = 0;
    while ((n = recv(mSocket, buf.data(), buf.size(), 0)) > 0) {
      received.append(buf.data(), static_cast<std::size_t>(n));
    }
    ended |= n == 0;
  }

  void Reset() const
  {
    const linger now{ 1, 0 };
    setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }

  std::string received;
  bool ended = false;

private:
  int mSocket;
};

/** Runs a loop until a condition holds; false after a while. */
template<typename Condition>
bool
RunUntil(EventLoop& aLoop, Condition aCondition)
{
  bool held = false;
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  const auto timer = aLoop.RunEvery(Milliseconds(2), [&] {
    held = aCondition();
    if (held || std::chrono::steady_clock::now() > until) {
      aLoop.Stop();
    }
  });
  aLoop.Run();
  aLoop.Cancel(timer);
  return held;
}

std::size_t
CountOf(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

/** A server of one connection at a time that answers with given bytes. */
class ScriptedServer
{
public:
  ScriptedServer()
  {
    mListener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(
      bind(mListener, reinterpret_cast<sockaddr*>(&bound), sizeof(bound)) == 0);
    listen(mListener, 8);
    socklen_t size = sizeof(bound);
    getsockname(mListener, reinterpret_cast<sockaddr*>(&bound), &size);
    address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
    fcntl(mListener, F_SETFL, O_NONBLOCK);
  }

  ~ScriptedServer() { close(mListener); }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  /** Takes a new connection over, if there is one. */
  void Accept()
  {
    if (const int fd = accept(mListener, nullptr, nullptr); fd >= 0) {
      ++connections;
      peer = std::make_unique<RawPeer>(fd);
    }
  }

  std::string address;
  int connections = 0;
  std::unique_ptr<RawPeer> peer;

private:
  int mListener;
};

struct Outcome
{
  std::optional<Response> response;
  ClientReason reason;
  bool ended = false;
};

/** Sends a request; the script says what the server does once it arrived. */
template<typename Script>
Outcome
AskScripted(EventLoop& aLoop,
            Client& aClient,
            ScriptedServer& aServer,
            Script aScript)
{
  Outcome outcome;
  Request request;
  request.method = "GET";
  request.target = "/x";
  request.headers = { { "Call-Id", "one" } };
  aClient.Send(
    request,
    Milliseconds(1000),
    [&](std::optional<Response> aResponse, const ClientReason& aReason) {
      outcome = { std::move(aResponse), aReason, true };
    });
  bool scripted = false;
  RunUntil(aLoop, [&] {
    aServer.Accept();
    if (aServer.peer) {
      aServer.peer->Read();
      if (!scripted && aServer.peer->received.ends_with("\r\n\r\n")) {
        scripted = true;
        aScript();
        if (aServer.peer) {
          aServer.peer->received.clear();
        }
      }
    }
    return outcome.ended;
  });
  return outcome;
}

ClientOptions
EchoOptions()
{
  ClientOptions options;
  options.correlationHeader = "Call-Id";
  return options;
}

} // namespace

TEST_CASE("pipelined requests are answered in order", "[http]")
{
  EventLoop loop;
  Server server(loop, [&loop](const ExchangePtr& aExchange) {
    Response response;
    response.status = 200;
    response.body = aExchange->Message().target;
    loop.RunAfter(Milliseconds(5),
                  [aExchange, response] { aExchange->Respond(response); });
  });
  const std::string address = FreeAddress();
  REQUIRE(server.Listen(address));
  const auto peer = RawPeer::ConnectTo(address);
  peer->Write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"
              "POST /3 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
              "1;e=1\r\nx\r\n0\r\n\r\n");
  REQUIRE(RunUntil(loop, [&] {
    peer->Read();
    return CountOf(peer->received, "HTTP/1.1 200") == 3;
  }));
  CHECK(peer->received.find("/1") < peer->received.find("/2"));
  CHECK(peer->received.find("/2") < peer->received.find("/3"));
}

TEST_CASE("a client that leaves is noticed while its request runs", "[http]")
{
  EventLoop loop;
  bool gone = false;
  ExchangePtr kept;
  Server server(loop, [&](const ExchangePtr& aExchange) {
    kept = aExchange;
    aExchange->OnClientDisconnect([&gone] { gone = true; });
  });
  const std::string address = FreeAddress();
  REQUIRE(server.Listen(address));
  auto peer = RawPeer::ConnectTo(address);
  peer->Write("GET / HTTP/1.1\r\n\r\n");
  REQUIRE(RunUntil(loop, [&] { return kept != nullptr; }));
  CHECK(server.InFlight() == 1);
  peer.reset();
  CHECK(RunUntil(loop, [&] { return gone; }));
  CHECK(server.InFlight() == 0);
  kept->Respond({}); // Too late, and without harm.
}

TEST_CASE("bad and slow requests get their status and the end", "[http]")
{
  const std::vector<std::pair<std::string, std::string>> cases{
    { "nonsense\r\n\r\n", "HTTP/1.1 400" },
    { "POST / HTTP/1.1\r\nContent-Length: 999\r\n\r\n", "HTTP/1.1 413" },
    { "GET / HTTP/1.1\r\nX: " + std::string(500, 'x') + "\r\n\r\n",
      "HTTP/1.1 431" },
    { "GET / HT", "HTTP/1.1 408" },
  };
  for (const auto& [bytes, status] : cases) {
    EventLoop loop;
    bool handled = false;
    Server server(loop, [&](const ExchangePtr&) { handled = true; });
    server.SetLimits({ 256, 100, Milliseconds(50), Milliseconds(5000) });
    const std::string address = FreeAddress();
    REQUIRE(server.Listen(address));
    const auto peer = RawPeer::ConnectTo(address);
    peer->Write(bytes);
    INFO(status);
    CHECK(RunUntil(loop, [&] {
      peer->Read();
      return peer->ended;
    }));
    CHECK(peer->received.starts_with(status));
    CHECK(peer->received.find("Connection: close") != std::string::npos);
    CHECK_FALSE(handled);
  }
}

TEST_CASE("a draining server ends each connection with its next answer",
          "[http]")
{
  EventLoop loop;
  Server server(loop, [](const ExchangePtr& aExchange) {
    Response response;
    response.status = 200;
    aExchange->Respond(std::move(response));
  });
  const std::string address = FreeAddress();
  REQUIRE(server.Listen(address));
  const auto peer = RawPeer::ConnectTo(address);
  peer->Write("GET / HTTP/1.1\r\n\r\n");
  REQUIRE(RunUntil(loop, [&] {
    peer->Read();
    return !peer->received.empty();
  }));
  CHECK(peer->received.find("close") == std::string::npos);
  server.Drain();
  peer->Write("GET / HTTP/1.1\r\n\r\n");
  REQUIRE(RunUntil(loop, [&] {
    peer->Read();
    return peer->ended;
  }));
  CHECK(CountOf(peer->received, "HTTP/1.1 200") == 2);
  CHECK(peer->received.find("Connection: close") != std::string::npos);
}

TEST_CASE("a connection is kept, and not used after anything odd", "[http]")
{
  const std::string whole =
    "HTTP/1.1 200 OK\r\nCall-Id: one\r\nContent-Length: 2\r\n\r\nok";
  struct Case
  {
    std::string name;
    std::string bytes;
    int connections; ///< that two requests take
  };
  const std::vector<Case> cases{
    { "a whole answer", whole, 1 },
    { "bytes beyond the answer", whole + "HTTP/1.1 200 OK\r\n", 2 },
    { "the server closes",
      "HTTP/1.1 200 OK\r\nCall-Id: one\r\nConnection: close\r\n"
      "Content-Length: 2\r\n\r\nok",
      2 },
    { "an answer to another call first",
      "HTTP/1.1 200 OK\r\nCall-Id: two\r\nContent-Length: 3\r\n\r\nbad" + whole,
      2 },
    { "an interim answer first", "HTTP/1.1 100 Continue\r\n\r\n" + whole, 1 },
    { "a connection that is not kept for long",
      "HTTP/1.1 200 OK\r\nCall-Id: one\r\nKeep-Alive: timeout=0\r\n"
      "Content-Length: 2\r\n\r\nok",
      2 },
  };
  for (const auto& it : cases) {
    INFO(it.name);
    EventLoop loop;
    ScriptedServer server;
    Client client(loop, EchoOptions());
    client.SetAddress(server.address);
    for (int n = 0; n < 2; ++n) {
      const Outcome outcome = AskScripted(
        loop, client, server, [&] { server.peer->Write(it.bytes); });
      REQUIRE(outcome.response.has_value());
      CHECK(outcome.response->body == "ok");
    }
    CHECK(server.connections == it.connections);
  }
}

TEST_CASE("a failed exchange tells whether the request had left", "[http]")
{
  EventLoop loop;
  ScriptedServer server;
  Client client(loop, EchoOptions());
  client.SetAddress(server.address);
  const Outcome cut = AskScripted(loop, client, server, [&] {
    server.peer->Write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal");
    server.peer.reset();
  });
  CHECK_FALSE(cut.response.has_value());
  CHECK(cut.reason.code == ClientError::kBroken);

  const Outcome reset = AskScripted(loop, client, server, [&] {
    server.peer->Write("HTTP/1.1 200 OK\r\nCall-Id: one\r\n\r\nno length");
    server.peer->Reset();
    server.peer.reset();
  });
  CHECK_FALSE(reset.response.has_value());

  const Outcome garbage = AskScripted(
    loop, client, server, [&] { server.peer->Write("\x01\x02 nonsense\r\n"); });
  CHECK(garbage.reason.code == ClientError::kMalformed);

  client.SetAddress(FreeAddress());
  const Outcome refused = AskScripted(loop, client, server, [] {});
  CHECK(refused.reason.code == ClientError::kNotSent);
}

TEST_CASE("a request that was given up ends its connection and calls nobody",
          "[http]")
{
  EventLoop loop;
  ScriptedServer server;
  Client client(loop, EchoOptions());
  client.SetAddress(server.address);
  bool called = false;
  Request request;
  request.method = "GET";
  request.target = "/x";
  const auto id = client.Send(request,
                              Milliseconds(1000),
                              [&](const std::optional<Response>&,
                                  const ClientReason&) { called = true; });
  REQUIRE(RunUntil(loop, [&] {
    server.Accept();
    if (server.peer) {
      server.peer->Read();
    }
    return server.peer && !server.peer->received.empty();
  }));
  client.Cancel(id);
  CHECK(RunUntil(loop, [&] {
    server.peer->Read();
    return server.peer->ended;
  }));
  CHECK_FALSE(called);
}
