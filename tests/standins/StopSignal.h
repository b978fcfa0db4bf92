#pragma once

#include <csignal>

namespace knapweedpaddle::standins {

/** Blocks SIGTERM and SIGINT in all threads started later, and waits for them.
 */
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

  void Wait() const
  {
    int number = 0;
    sigwait(&mSignals, &number);
  }

private:
  sigset_t mSignals{};
};

} // namespace knapweedpaddle::standins
