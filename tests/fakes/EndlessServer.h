#pragma once

#include "ScriptedServer.h"

#include <atomic>
#include <thread>
#include <vector>

namespace knapweedpaddle::fakes {

/** A server that answers on each connection with a start and then with a part
 * that it repeats until the client closes the connection. */
class EndlessServer
{
public:
  EndlessServer(std::string aStart, const std::string& aPart)
    : mStart(std::move(aStart))
  {
    while (mBlock.size() < kBlockBytes) {
      mBlock += aPart;
    }
    mListener = ListenOnLoopback(address);
    mThread = std::thread([this] { Accept(); });
  }

  ~EndlessServer()
  {
    stopped = true;
    shutdown(mListener, SHUT_RDWR);
    mThread.join();
    close(mListener);
  }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  std::string address;
  std::atomic<std::size_t> bytesSent = 0;
  std::atomic<std::size_t> openConnections = 0;
  std::atomic<bool> stopped = false;

private:
  static constexpr std::size_t kBlockBytes = 16UL * 1024;

  void Accept()
  {
    std::vector<std::thread> writers;
    for (int fd = 0; (fd = accept(mListener, nullptr, nullptr)) >= 0;) {
      ++openConnections;
      writers.emplace_back([this, fd] {
        Write(fd);
        close(fd);
        --openConnections;
      });
    }
    for (auto& it : writers) {
      it.join();
    }
  }

  void Write(int aSocket)
  {
    std::string buf(4096, '\0');
    recv(aSocket, buf.data(), buf.size(), 0);
    const timeval timeout{ 0, 100'000 };
    setsockopt(aSocket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    send(aSocket, mStart.data(), mStart.size(), MSG_NOSIGNAL);
    while (!stopped) {
      const ssize_t n =
        send(aSocket, mBlock.data(), mBlock.size(), MSG_NOSIGNAL);
      if (n < 0 && errno != EAGAIN) {
        return;
      }
      bytesSent += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
  }

  std::string mStart;
  std::string mBlock;
  int mListener = -1;
  std::thread mThread;
};

} // namespace knapweedpaddle::fakes
