#pragma once

#include "knapweedpaddle/common/Time.h"
#include "knapweedpaddle/runtime/EventLoop.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace knapweedpaddle::fakes {

inline constexpr Milliseconds kTestTimeout{ 3000 };

/** A plain TCP socket, to send bytes that a well-behaved peer would not. */
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

  /** Reads all available bytes; sets `ended` at the end of the stream. */
  void Read()
  {
    std::string buf(4096, '\0');
    ssize_t n = 0;
    while ((n = recv(mSocket, buf.data(), buf.size(), 0)) > 0) {
      received.append(buf.data(), static_cast<std::size_t>(n));
    }
    ended |= n == 0;
  }

  /** Makes the later close reset the connection. */
  void ResetOnClose() const
  {
    const linger zeroLinger{ 1, 0 };
    setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &zeroLinger, sizeof(zeroLinger));
  }

  std::string received;
  bool ended = false;

private:
  int mSocket;
};

/** Runs a loop until a condition holds. @return false on timeout. */
template<typename Condition>
bool
RunUntil(runtime::EventLoop& aLoop, Condition aCondition)
{
  bool satisfied = false;
  const auto until = std::chrono::steady_clock::now() + kTestTimeout;
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

/** Returns a socket that listens on a free port, and sets its "IP:port". */
inline int
ListenOnLoopback(std::string& aAddress)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in bound{};
  bound.sin_family = AF_INET;
  bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&bound), sizeof(bound)) == 0);
  listen(fd, 8);
  socklen_t size = sizeof(bound);
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
  aAddress = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
  return fd;
}

/** A server with one connection at a time; the test writes the responses. */
class ScriptedServer
{
public:
  ScriptedServer()
  {
    mListener = ListenOnLoopback(address);
    fcntl(mListener, F_SETFL, O_NONBLOCK);
  }

  ~ScriptedServer() { close(mListener); }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  /** Accepts a new connection in place of the current one, if there is one. */
  void Accept()
  {
    if (const int fd = accept(mListener, nullptr, nullptr); fd >= 0) {
      ++connections;
      peer = std::make_unique<RawPeer>(fd);
    }
  }

  std::string address;
  int connections = 0;           ///< accepted so far
  std::unique_ptr<RawPeer> peer; ///< the current connection

private:
  int mListener;
};

} // namespace knapweedpaddle::fakes
