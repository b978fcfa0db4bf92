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

constexpr int kPollMs = 5;
constexpr std::chrono::milliseconds kDelay{ 120 };
constexpr int kBacklog = 256;

sockaddr_in
Loopback(std::uint16_t aPort)
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
  const sockaddr_in address = Loopback(aPort);
  if (bind(mListener,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(mListener, kBacklog) != 0) {
    throw std::runtime_error("can't listen on port " + std::to_string(aPort));
  }
  mThread = std::thread([this] { Run(); });
}

LoopbackProxy::~LoopbackProxy()
{
  mStop = true;
  mThread.join();
  for (auto& it : mLinks) {
    Close(it, true);
  }
  close(mListener);
}

void
LoopbackProxy::Run()
{
  while (!mStop) {
    std::vector<pollfd> polled{ { mListener, POLLIN, 0 } };
    for (const auto& it : mLinks) {
      const short events = it.forgotten ? 0 : POLLIN;
      polled.push_back({ it.caller, events, 0 });
      polled.push_back({ it.server, events, 0 });
    }
    poll(polled.data(), polled.size(), kPollMs);
    const LinkFault fault = mFault;
    std::size_t n = 1;
    for (auto& it : mLinks) {
      const bool callerReady = polled[n++].revents != 0;
      const bool serverReady = polled[n++].revents != 0;
      if (fault == LinkFault::kReset) {
        Close(it, true);
        continue;
      }
      it.forgotten |= fault == LinkFault::kSilent;
      if (callerReady && !it.forgotten) {
        Pass(it, true);
      }
      if (serverReady && !it.forgotten && !it.closed) {
        Pass(it, false);
      }
    }
    mLinks.remove_if([](const Link& aLink) { return aLink.closed; });
    if (polled[0].revents != 0) {
      Accept();
    }
  }
}

void
LoopbackProxy::Accept()
{
  Link link;
  link.caller = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
  if (link.caller < 0) {
    return;
  }
  link.server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(mServerPort);
  if (mFault == LinkFault::kReset ||
      connect(link.server,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    Close(link, true);
    return;
  }
  mLinks.push_back(link);
}

void
LoopbackProxy::Pass(Link& aLink, bool aFromCaller)
{
  std::array<char, 65536> buf{};
  const int from = aFromCaller ? aLink.caller : aLink.server;
  const int to = aFromCaller ? aLink.server : aLink.caller;
  const LinkFault fault = mFault;
  const ssize_t n = recv(from, buf.data(), buf.size(), MSG_DONTWAIT);
  if (n <= 0) {
    Close(aLink, n < 0);
    return;
  }
  if (!aFromCaller && fault == LinkFault::kCutAnswers) {
    return;
  }
  if (aFromCaller && fault == LinkFault::kDelay) {
    std::this_thread::sleep_for(kDelay);
  }
  for (ssize_t done = 0; done < n;) {
    const ssize_t sent =
      send(to, buf.data() + done, static_cast<size_t>(n - done), MSG_NOSIGNAL);
    if (sent <= 0) {
      Close(aLink, true);
      return;
    }
    done += sent;
  }
}

void
LoopbackProxy::Close(Link& aLink, bool aReset)
{
  const linger abrupt{ 1, 0 };
  for (const int fd : { aLink.caller, aLink.server }) {
    if (fd >= 0 && !aLink.closed) {
      if (aReset) {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &abrupt, sizeof(abrupt));
      }
      close(fd);
    }
  }
  aLink.closed = true;
}

} // namespace knapweedpaddle::soak
