#include "SignalWatch.h"

#include "knapweedpaddle/runtime/EventLoop.h"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace knapweedpaddle::node {

void
WatchSignals(runtime::EventLoop& aLoop, std::function<void(int)> aOnSignal)
{
  sigset_t signals;
  sigemptyset(&signals);
  for (const int it : { SIGTERM, SIGINT, SIGHUP }) {
    sigaddset(&signals, it);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const int descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  aLoop.WatchReadable(
    descriptor, [descriptor, onSignal = std::move(aOnSignal)] {
      signalfd_siginfo info{};
      while (read(descriptor, &info, sizeof(info)) == sizeof(info)) {
        onSignal(static_cast<int>(info.ssi_signo));
      }
    });
}

} // namespace knapweedpaddle::node
