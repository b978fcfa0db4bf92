#include "LoopbackProxy.h"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace knapweedpaddle::soak {

namespace {

constexpr int kPollTimeoutMs = 5;
constexpr std::chrono::milliseconds kForwardDelay{ 120 };
constexpr int kListenBacklog = 256;

sockaddr_in
LoopbackAddress(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

} // namespace

LoopbackProxy::LoopbackProxy(std::uint16_t aPort, std::uint16_t aServerPort)
  : mServerPort(aServerPort)
  , mListener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
{
  const int yes = 1;
  setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  const sockaddr_in address = LoopbackAddress(aPort);
  if (bind(mListener,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(mListener, kListenBacklog) != 0) {
    throw std::runtime_error("fault proxy can't listen on loopback port " +
                             std::to_string(aPort));
  }
  mThread = std::thread([this] { Run(); });
}

LoopbackProxy::~LoopbackProxy()
{
  mStop = true;
  mThread.join();
  for (auto& it : mConnections) {
    Close(it, true);
  }
  close(mListener);
}

void
LoopbackProxy::Run()
{
  while (!mStop) {
    std::vector<pollfd> pollEntries{ { mListener, POLLIN, 0 } };
    for (const auto& it : mConnections) {
      const short events = it.silenced ? 0 : POLLIN;
      pollEntries.push_back({ it.client, events, 0 });
      pollEntries.push_back({ it.server, events, 0 });
    }
    poll(pollEntries.data(), pollEntries.size(), kPollTimeoutMs);
    const ProxyFault fault = mFault;
    std::size_t n = 1;
    for (auto& it : mConnections) {
      const bool clientReady = pollEntries[n++].revents != 0;
      const bool serverReady = pollEntries[n++].revents != 0;
      if (fault == ProxyFault::kReset) {
        Close(it, true);
        continue;
      }
      it.silenced |= fault == ProxyFault::kSilent;
      if (clientReady && !it.silenced) {
        Forward(it, true);
      }
      if (serverReady && !it.silenced && !it.closed) {
        Forward(it, false);
      }
    }
    mConnections.remove_if(
      [](const Connection& aConnection) { return aConnection.closed; });
    if (pollEntries[0].revents != 0) {
      Accept();
    }
  }
}

void
LoopbackProxy::Accept()
{
  Connection connection;
  connection.client = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
  if (connection.client < 0) {
    return;
  }
  connection.server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = LoopbackAddress(mServerPort);
  if (mFault == ProxyFault::kReset ||
      connect(connection.server,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    Close(connection, true);
    return;
  }
  mConnections.push_back(connection);
}

void
LoopbackProxy::Forward(Connection& aConnection, bool aFromClient)
{
  std::array<char, 65536> buf{};
  const int from = aFromClient ? aConnection.client : aConnection.server;
  const int to = aFromClient ? aConnection.server : aConnection.client;
  const ProxyFault fault = mFault;
  const ssize_t n = recv(from, buf.data(), buf.size(), MSG_DONTWAIT);
  if (n <= 0) {
    Close(aConnection, n < 0);
    return;
  }
  if (!aFromClient && fault == ProxyFault::kDropResponses) {
    return;
  }
  if (aFromClient && fault == ProxyFault::kDelay) {
    std::this_thread::sleep_for(kForwardDelay);
  }
  for (ssize_t done = 0; done < n;) {
    const ssize_t sent =
      send(to, buf.data() + done, static_cast<size_t>(n - done), MSG_NOSIGNAL);
    if (sent <= 0) {
      Close(aConnection, true);
      return;
    }
    done += sent;
  }
}

void
LoopbackProxy::Close(Connection& aConnection, bool aReset)
{
  const linger resetOnClose{ 1, 0 };
  for (const int fd : { aConnection.client, aConnection.server }) {
    if (fd >= 0 && !aConnection.closed) {
      if (aReset) {
        setsockopt(
          fd, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
      }
      close(fd);
    }
  }
  aConnection.closed = true;
}

} // namespace knapweedpaddle::soak
