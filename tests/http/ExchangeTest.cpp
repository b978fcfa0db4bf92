// The HTTP server and client over loopback sockets. Guards against lost or
// misattributed responses: when a peer pipelines, stalls, disconnects, sends
// invalid bytes or answers another request.

#include "fakes/EndlessServer.h"
#include "fakes/FreeAddress.h"
#include "fakes/ScriptedServer.h"
#include "knapweedpaddle/http/Client.h"
#include "knapweedpaddle/http/Server.h"

#include <atomic>
#include <thread>

using namespace knapweedpaddle;
using namespace knapweedpaddle::http;
using fakes::EndlessServer;
using fakes::FreeAddress;
using fakes::RawPeer;
using fakes::RunUntil;
using fakes::ScriptedServer;
using runtime::EventLoop;

namespace {

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

struct ClientResult
{
  std::optional<Response> response;
  ClientReason reason;
  bool ended = false;
};

/** Sends a request, runs a script once the server has received it, and returns
 * what the client reports. */
template<typename Script>
ClientResult
SendToScriptedServer(EventLoop& aLoop,
                     Client& aClient,
                     ScriptedServer& aServer,
                     Script aScript)
{
  ClientResult result;
  Request request;
  request.method = "GET";
  request.target = "/x";
  request.headers = { { "Call-Id", "one" } };
  aClient.Send(
    request,
    Milliseconds(1000),
    [&](std::optional<Response> aResponse, const ClientReason& aReason) {
      result = { std::move(aResponse), aReason, true };
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
    return result.ended;
  });
  return result;
}

ClientOptions
OptionsWithCorrelation()
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

TEST_CASE("a client's disconnect is reported while its request is pending",
          "[http]")
{
  EventLoop loop;
  bool disconnected = false;
  ExchangePtr kept;
  Server server(loop, [&](const ExchangePtr& aExchange) {
    kept = aExchange;
    aExchange->OnClientDisconnect([&disconnected] { disconnected = true; });
  });
  const std::string address = FreeAddress();
  REQUIRE(server.Listen(address));
  auto peer = RawPeer::ConnectTo(address);
  peer->Write("GET / HTTP/1.1\r\n\r\n");
  REQUIRE(RunUntil(loop, [&] { return kept != nullptr; }));
  CHECK(server.InFlight() == 1);
  peer.reset();
  CHECK(RunUntil(loop, [&] { return disconnected; }));
  CHECK(server.InFlight() == 0);
  kept->Respond({}); // A late response is dropped.
}

TEST_CASE("a request whose client has left is not passed on", "[http]")
{
  EventLoop loop;
  std::vector<std::string> handled;
  Server server(loop, [&](const ExchangePtr& aExchange) {
    handled.push_back(aExchange->Message().target);
    aExchange->Respond({});
  });
  const std::string address = FreeAddress();
  REQUIRE(server.Listen(address));
  const bool reset = GENERATE(false, true);
  for (const char* target : { "/left", "/too" }) {
    const auto peer = RawPeer::ConnectTo(address);
    peer->Write(std::string("GET ") + target + " HTTP/1.1\r\n\r\n");
    if (reset) {
      peer->ResetOnClose();
    }
  }
  const auto peer = RawPeer::ConnectTo(address);
  peer->Write("GET /waits HTTP/1.1\r\n\r\n");
  REQUIRE(RunUntil(loop, [&] {
    peer->Read();
    return !peer->received.empty();
  }));
  CHECK(handled == std::vector<std::string>{ "/waits" });
}

TEST_CASE("a client's disconnect is reported whatever it sent meanwhile",
          "[http]")
{
  EventLoop loop;
  bool disconnected = false;
  ExchangePtr kept;
  Server server(loop, [&](const ExchangePtr& aExchange) {
    kept = aExchange;
    aExchange->OnClientDisconnect([&disconnected] { disconnected = true; });
  });
  const std::string address = FreeAddress();
  REQUIRE(server.Listen(address));
  auto peer = RawPeer::ConnectTo(address);
  peer->Write("GET / HTTP/1.1\r\n\r\n");
  REQUIRE(RunUntil(loop, [&] { return kept != nullptr; }));
  constexpr std::size_t kPieceBytes = 32UL * 1024;
  for (int n = 0; n < 12; ++n) {
    peer->Write(std::string(kPieceBytes, 'x'));
    static_cast<void>(RunUntil(loop, [] { return true; }));
  }
  peer.reset();
  CHECK(RunUntil(loop, [&] { return disconnected; }));
}

TEST_CASE("bad and slow requests get an error status and a closed connection",
          "[http]")
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

TEST_CASE("a draining server closes each connection after its next response",
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

TEST_CASE("a connection is reused only after a complete expected response",
          "[http]")
{
  const std::string complete =
    "HTTP/1.1 200 OK\r\nCall-Id: one\r\nContent-Length: 2\r\n\r\nok";
  struct Case
  {
    std::string name;
    std::string bytes;
    int connections; ///< expected number for two requests
  };
  const std::vector<Case> cases{
    { "a complete response", complete, 1 },
    { "bytes beyond the response", complete + "HTTP/1.1 200 OK\r\n", 2 },
    { "the server closes",
      "HTTP/1.1 200 OK\r\nCall-Id: one\r\nConnection: close\r\n"
      "Content-Length: 2\r\n\r\nok",
      2 },
    { "a response to another request first",
      "HTTP/1.1 200 OK\r\nCall-Id: two\r\nContent-Length: 3\r\n\r\nbad" +
        complete,
      2 },
    { "an interim response first",
      "HTTP/1.1 100 Continue\r\n\r\n" + complete,
      1 },
    { "a keep-alive timeout of zero",
      "HTTP/1.1 200 OK\r\nCall-Id: one\r\nKeep-Alive: timeout=0\r\n"
      "Content-Length: 2\r\n\r\nok",
      2 },
  };
  for (const auto& it : cases) {
    INFO(it.name);
    EventLoop loop;
    ScriptedServer server;
    Client client(loop, OptionsWithCorrelation());
    client.SetAddress(server.address);
    for (int n = 0; n < 2; ++n) {
      const ClientResult result = SendToScriptedServer(
        loop, client, server, [&] { server.peer->Write(it.bytes); });
      REQUIRE(result.response.has_value());
      CHECK(result.response->body == "ok");
    }
    CHECK(server.connections == it.connections);
  }
}

TEST_CASE("a failed exchange reports whether the request was sent", "[http]")
{
  EventLoop loop;
  ScriptedServer server;
  Client client(loop, OptionsWithCorrelation());
  client.SetAddress(server.address);
  const ClientResult truncated =
    SendToScriptedServer(loop, client, server, [&] {
      server.peer->Write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal");
      server.peer.reset();
    });
  CHECK_FALSE(truncated.response.has_value());
  CHECK(truncated.reason.code == ClientError::kBroken);

  const ClientResult reset = SendToScriptedServer(loop, client, server, [&] {
    server.peer->Write("HTTP/1.1 200 OK\r\nCall-Id: one\r\n\r\nno length");
    server.peer->ResetOnClose();
    server.peer.reset();
  });
  CHECK_FALSE(reset.response.has_value());

  const ClientResult malformed = SendToScriptedServer(
    loop, client, server, [&] { server.peer->Write("\x01\x02 nonsense\r\n"); });
  CHECK(malformed.reason.code == ClientError::kMalformed);

  client.SetAddress(FreeAddress());
  const ClientResult refused =
    SendToScriptedServer(loop, client, server, [] {});
  CHECK(refused.reason.code == ClientError::kNotSent);
}

TEST_CASE("a cancelled request closes its connection and never calls back",
          "[http]")
{
  EventLoop loop;
  ScriptedServer server;
  Client client(loop, OptionsWithCorrelation());
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

TEST_CASE("an answer without end is given up within the limit of its bytes",
          "[http]")
{
  struct Case
  {
    const char* name;
    std::string start;
    std::string part;
  };
  const std::string head = "HTTP/1.1 200 OK\r\nId: 7\r\n";
  const std::string chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<Case> cases{
    { "reason phrase", "HTTP/1.1 200 ", "a" },
    { "header line", head + "X: ", "a" },
    { "header lines", head, "X: a\r\n" },
    { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "responses to other requests",
      "",
      "HTTP/1.1 200 OK\r\nId: 8\r\nContent-Length: 0\r\n\r\n" },
    { "chunks", chunkedHead, "1\r\na\r\n" },
    { "chunk size line", chunkedHead + "1;", "a" },
    { "trailer", chunkedHead + "0\r\n", "X: a\r\n" },
    { "body that ends with the connection", head + "\r\n", "a" },
  };
  for (const auto& it : cases) {
    for (const int requests : { 1, 6 }) {
      INFO(it.name << ", " << requests << " at once");
      EventLoop loop;
      EndlessServer server(it.start, it.part);
      ClientOptions options;
      options.correlationHeader = "Id";
      options.maxResponseBytes = 512UL * 1024;
      options.maxBufferedBytes = 1024UL * 1024;
      Client client(loop, options);
      client.SetAddress(server.address);
      int failed = 0;
      for (int n = 0; n < requests; ++n) {
        Request request;
        request.method = "GET";
        request.target = "/";
        request.headers = { { "Id", "7" } };
        client.Send(request,
                    Milliseconds(1000),
                    [&failed](const std::optional<Response>& aResponse,
                              const ClientReason& aReason) {
                      CHECK_FALSE(aResponse);
                      CHECK(aReason.code == ClientError::kMalformed);
                      ++failed;
                    });
      }
      CHECK(RunUntil(loop, [&] {
        return failed == requests && server.openConnections == 0;
      }));
      CHECK(failed == requests);
      // What the sockets buffer comes on top.
      const std::size_t socketBytes = 8UL * 1024 * 1024;
      CHECK(server.bytesSent <= static_cast<std::size_t>(requests) *
                                  (options.maxResponseBytes + socketBytes));
    }
  }
}

TEST_CASE("answers without end share one limit of buffered bytes", "[http]")
{
  constexpr int kRequests = 6;
  EventLoop loop;
  EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", "a");
  ClientOptions options;
  options.maxBufferedBytes = 1024UL * 1024;
  Client client(loop, options);
  client.SetAddress(server.address);
  int failed = 0;
  for (int n = 0; n < kRequests; ++n) {
    Request request;
    request.method = "GET";
    request.target = "/";
    client.Send(
      request,
      Milliseconds(1000),
      [&failed](const std::optional<Response>& aResponse, const ClientReason&) {
        failed += aResponse ? 0 : 1;
      });
  }
  CHECK(RunUntil(
    loop, [&] { return failed == kRequests && server.openConnections == 0; }));
  // What the sockets buffer comes on top.
  CHECK(server.bytesSent <=
        options.maxBufferedBytes + kRequests * 8UL * 1024 * 1024);
  // A later request has the whole limit again.
  bool answered = false;
  ScriptedServer small;
  client.SetAddress(small.address);
  Request request;
  request.method = "GET";
  request.target = "/";
  client.Send(
    request,
    Milliseconds(1000),
    [&answered](const std::optional<Response>& aResponse, const ClientReason&) {
      answered = aResponse && aResponse->body.Size() == 900'000;
    });
  const std::string answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n";
  bool written = false;
  CHECK(RunUntil(loop, [&] {
    small.Accept();
    if (small.peer && !written) {
      small.peer->Write(answer + std::string(100'000, 'b'));
      written = true;
      for (int n = 0; n < 8; ++n) {
        loop.RunAfter(Milliseconds(5 * (n + 1)), [&small] {
          small.peer->Write(std::string(100'000, 'b'));
        });
      }
    }
    return answered;
  }));
}

// Guards against requests that stay in memory for good once they are answered.
TEST_CASE("an exchange is freed after its response", "[http]")
{
  EventLoop loop;
  std::weak_ptr<Exchange> last;
  Server server(loop, [&](const ExchangePtr& aExchange) {
    last = aExchange;
    aExchange->OnClientDisconnect([aExchange] {});
    loop.Post([aExchange] {
      Response response;
      response.status = 200;
      aExchange->Respond(std::move(response));
    });
  });
  const std::string address = FreeAddress();
  REQUIRE(server.Listen(address));
  Client client(loop, {});
  client.SetAddress(address);
  bool answered = false;
  Request request;
  request.method = "GET";
  request.target = "/";
  client.Send(request,
              Milliseconds(1000),
              [&](const std::optional<Response>& aResponse,
                  const ClientReason&) { answered = aResponse.has_value(); });
  CHECK(RunUntil(loop, [&] { return answered && last.expired(); }));
}
