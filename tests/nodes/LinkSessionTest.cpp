// A LinkSession must run no further callbacks after its connection failed. Its
// owner destroys it in a later task, and received data may still be unread.

#include "nodes/LinkSession.h"

#include "knapweedpaddle/runtime/EventLoop.h"

#include <catch2/catch.hpp>
#include <event2/bufferevent.h>
#include <fcntl.h>
#include <sys/socket.h>

using namespace knapweedpaddle;
using namespace knapweedpaddle::nodes;

namespace {

constexpr Milliseconds kSettle{ 50 };

/** A server and a client session that are connected over a socket pair. */
struct SessionPair
{
  SessionPair()
  {
    int sockets[2];
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets) == 0);
    LinkSession::Handler onServer;
    onServer.onMessage = [this](std::int32_t) {
      ++messages;
      heardAfterEnd |= ended;
    };
    onServer.onStreamClosed = [this](std::int32_t, std::uint32_t) {
      heardAfterEnd |= ended;
    };
    onServer.onClosed = [this](const std::string&) { ended = true; };
    serverBuffer = BufferOf(sockets[0]);
    server = std::make_unique<LinkSession>(
      LinkSession::Role::kServer, serverBuffer, onServer);
    LinkSession::Handler onClient;
    onClient.onMessage = [](std::int32_t) {};
    onClient.onStreamClosed = [](std::int32_t, std::uint32_t) {};
    onClient.onClosed = [](const std::string&) {};
    bufferevent* buffer = BufferOf(sockets[1]);
    client = std::make_unique<LinkSession>(
      LinkSession::Role::kClient, buffer, onClient);
    bufferevent_trigger_event(buffer, BEV_EVENT_CONNECTED, 0);
    Settle();
  }

  bufferevent* BufferOf(int aSocket) const
  {
    return bufferevent_socket_new(loop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
  }

  void Settle()
  {
    loop.RunAfter(kSettle, [this] { loop.Stop(); });
    loop.Run();
  }

  runtime::EventLoop loop;
  int messages = 0;
  bool ended = false;
  bool heardAfterEnd = false;
  bufferevent* serverBuffer = nullptr;
  std::unique_ptr<LinkSession> server;
  std::unique_ptr<LinkSession> client;
};

} // namespace

TEST_CASE("a request that arrives after its session failed is ignored",
          "[links]")
{
  SessionPair pair;
  pair.client->SubmitRequest({ "/call", {}, "one", Milliseconds(1000) });
  pair.Settle();
  REQUIRE(pair.messages == 1);
  // A write fails while the next request is in the socket and not read yet.
  bufferevent_trigger_event(
    pair.serverBuffer, BEV_EVENT_ERROR | BEV_EVENT_WRITING, 0);
  pair.client->SubmitRequest({ "/call", {}, "two", Milliseconds(1000) });
  pair.Settle();
  CHECK(pair.ended);
  CHECK(pair.messages == 1);
  CHECK_FALSE(pair.heardAfterEnd);
}
