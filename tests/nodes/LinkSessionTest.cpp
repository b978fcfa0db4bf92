// A LinkSession must run no further callbacks after its connection failed. Its
// owner destroys it in a later task, and received data may still be unread.

#include "nodes/LinkSession.h"

#include "knapweedpaddle/runtime/EventLoop.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <event2/bufferevent.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

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

TEST_CASE("a session whose peer closes while it connects reports only its end",
          "[links]")
{
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(bind(listener,
               reinterpret_cast<sockaddr*>(&address),
               sizeof(address)) == 0);
  REQUIRE(listen(listener, 1) == 0);
  socklen_t size = sizeof(address);
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);

  runtime::EventLoop loop;
  bufferevent* buffer =
    bufferevent_socket_new(loop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  REQUIRE(bufferevent_socket_connect(buffer,
                                     reinterpret_cast<sockaddr*>(&address),
                                     sizeof(address)) == 0);
  int ends = 0;
  bool heardAfterEnd = false;
  LinkSession::Handler handler;
  handler.onMessage = [](std::int32_t) {};
  handler.onStreamClosed = [](std::int32_t, std::uint32_t) {};
  handler.onClosed = [&ends](const std::string&) { ++ends; };
  handler.onConnected = [&] { heardAfterEnd |= ends > 0; };
  LinkSession session(LinkSession::Role::kClient, buffer, handler);
  // The loop sees the established connection and its end in one poll.
  const int peer = accept(listener, nullptr, nullptr);
  REQUIRE(peer >= 0);
  const linger zeroLinger{ 1, 0 };
  const bool reset = GENERATE(false, true);
  if (reset) {
    setsockopt(peer, SOL_SOCKET, SO_LINGER, &zeroLinger, sizeof(zeroLinger));
  }
  close(peer);
  close(listener);
  loop.RunAfter(kSettle, [&loop] { loop.Stop(); });
  loop.Run();
  CHECK(ends == 1);
  CHECK_FALSE(heardAfterEnd);
}
