#pragma once

#include <csignal>

namespace knapweedpaddle::standins {

/** Waits for SIGTERM or SIGINT. The constructor blocks both signals in this
 * thread and in all threads started later, and ignores SIGPIPE. */
class StopSignal
{
public:
  StopSignal()
  {
    sigemptyset(&mSignals);
    sigaddset(&mSignals, SIGTERM);
    sigaddset(&mSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &mSignals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
  }

  /** Waits until one of the two signals arrives. */
  void Wait() const
  {
    int number = 0;
    sigwait(&mSignals, &number);
  }

private:
  sigset_t mSignals{};
};

} // namespace knapweedpaddle::standins
