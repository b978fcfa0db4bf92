// Guards against a request that runs twice: libcurl silently repeats a request
// when the server closes a reused connection without a response.

#include "knapweedpaddle/runtime/EventLoop.h"
#include "knapweedpaddle/runtime/HttpClient.h"
#include "proof/ProofLog.h"

#include <arpa/inet.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace knapweedpaddle;
using namespace knapweedpaddle::runtime;

namespace {

/** Answers requests, except those for /once: it closes their connection. */
class ClosingServer
{
public:
  ClosingServer()
  {
    mSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(mSocket,
                 reinterpret_cast<sockaddr*>(&address),
                 sizeof(address)) == 0);
    listen(mSocket, 8);
    socklen_t size = sizeof(address);
    getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    mThread = std::thread([this] { Serve(); });
  }

  ~ClosingServer()
  {
    shutdown(mSocket, SHUT_RDWR);
    mThread.join();
    for (auto& it : mConnections) {
      it.join();
    }
    close(mSocket);
  }

  int port = 0;
  std::atomic<int> arrivals{ 0 }; ///< number of requests for /once

private:
  void Serve()
  {
    while (true) {
      const int connection = accept(mSocket, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      mConnections.emplace_back(
        [this, connection] { ServeConnection(connection); });
    }
  }

  void ServeConnection(int aConnection)
  {
    while (true) {
      std::string buf(4096, '\0');
      if (recv(aConnection, buf.data(), buf.size(), 0) <= 0) {
        break;
      }
      if (buf.find("/once") != std::string::npos) {
        ++arrivals;
        break;
      }
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      send(aConnection, answer.data(), answer.size(), MSG_NOSIGNAL);
    }
    close(aConnection);
  }

  int mSocket = -1;
  std::thread mThread;
  std::vector<std::thread> mConnections;
};

/** Opens a connection with a first request, then sends one POST; returns how
 * often the server received the POST. */
int
ArrivalsOfOnePost(bool aNeverRepeat)
{
  ClosingServer server;
  EventLoop loop;
  HttpClient client(loop, 4);
  const std::string base = "http://127.0.0.1:" + std::to_string(server.port);
  HttpRequest first;
  first.url = base + "/warm";
  client.Send(first,
              [&](const std::optional<HttpResponse>&, const HttpReason&) {
                HttpRequest once;
                once.method = "POST";
                once.url = base + "/once";
                once.body = "ring";
                once.neverRepeat = aNeverRepeat;
                client.Send(once,
                            [&](const std::optional<HttpResponse>& aResponse,
                                const HttpReason& aReason) {
                              CHECK_FALSE(aResponse.has_value());
                              CHECK(aReason.code == HttpError::kBroken);
                              loop.Stop();
                            });
              });
  loop.Run();
  return server.arrivals;
}

} // namespace

TEST_CASE("a request that must not be repeated arrives once", "[runtime]")
{
  // Without neverRepeat libcurl sends the request again by itself.
  CHECK(ArrivalsOfOnePost(false) == 2);
  const int arrivals = ArrivalsOfOnePost(true);
  CHECK(arrivals == 1);
  proof::Note("P7",
              "backend server dies mid-answer",
              1,
              arrivals == 1 ? 0 : 1,
              "never repeat");
}
