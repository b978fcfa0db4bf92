#include "knapweedpaddle/node/Node.h"

#include "ClaimBridge.h"
#include "ControlPlane.h"
#include "TrafficPlane.h"
#include "knapweedpaddle/callers/CallerServer.h"
#include "knapweedpaddle/telemetry/Log.h"

#include <csignal>
#include <sys/signalfd.h>
#include <thread>
#include <unistd.h>

namespace knapweedpaddle::node {

using telemetry::LogCategory;
using telemetry::LogEvent;
using telemetry::LogLevel;

namespace {

constexpr std::size_t kJournalSize = 512;
constexpr Milliseconds kDrainPoll{ 20 };
constexpr int kGraceful = 0;
constexpr int kCallsLost = 1;
constexpr int kNotStarted = 2;

std::uint64_t
RandomSeed()
{
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

/** Blocks the stop signals in all threads and returns a descriptor that reads
 * them. */
int
OpenStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

} // namespace

class Node::Impl
{
public:
  explicit Impl(settings::NodeSettings aSettings)
    : mSettings(std::move(aSettings))
    , mTracer("knapweedd " + mSettings.address + ":" +
                std::to_string(mSettings.callerPort),
              mSettings.traceShare,
              RandomSeed())
    , mJournal(kJournalSize)
    , mClaims(mTrafficLoop, mControlLoop)
    , mControl({ mControlLoop, mMetrics, mTracer, mJournal },
               mSettings,
               RandomSeed())
    , mTraffic({ mTrafficLoop,
                 mClaims,
                 mMetrics,
                 mTracer,
                 mJournal,
                 [this](nodes::LinkRequest aRequest,
                        std::function<void(nodes::LinkResponse)> aRespond) {
                   mControl.HandleLink(std::move(aRequest),
                                       std::move(aRespond));
                 },
                 [this](const backends::EvidenceTable& aEvidence) {
                   mControl.TakeEvidence(aEvidence);
                 },
                 [this] { mControl.NotePause(); } },
               mSettings,
               RandomSeed())
    , mServer({ [this](callers::CallRequest aRequest,
                       callers::CallCallback aCallback) {
                 mTraffic.Forward(std::move(aRequest), std::move(aCallback));
               },
                [this](callers::CallRequest aRequest,
                       callers::CallerServer::Respond aRespond) {
                  mControl.HandleNodeRequest(std::move(aRequest),
                                             std::move(aRespond));
                } },
              mSettings.callerThreads)
  {
    mControl.SetTraffic(mTraffic);
    mClaims.SetBatcher(mControl.Claims());
  }

  int Run()
  {
    const int signals = OpenStopSignals();
    std::string reason;
    if (!mTraffic.Listen()) {
      return Fail("can't listen on link_port " +
                  std::to_string(mSettings.linkPort));
    }
    if (!mControl.Start()) {
      return Fail("can't bind gossip_port " +
                  std::to_string(mSettings.gossipPort));
    }
    if (!mServer.Start(mSettings.address, mSettings.callerPort, reason)) {
      return Fail(reason);
    }
    mControlLoop.WatchReadable(signals, [this, signals] {
      signalfd_siginfo info{};
      if (read(signals, &info, sizeof(info)) == sizeof(info)) {
        BeginStop();
      }
    });
    LogEvent(LogCategory::kNode,
             LogLevel::kInfo,
             "started",
             { { "address", mSettings.address },
               { "caller_port", std::to_string(mSettings.callerPort) },
               { "zone", mSettings.zone } });
    std::thread traffic([this] { mTrafficLoop.Run(); });
    mControlLoop.Run();
    mServer.Stop();
    mTrafficLoop.Stop();
    traffic.join();
    close(signals);
    LogEvent(LogCategory::kNode,
             LogLevel::kInfo,
             "stopped",
             { { "exit_code", std::to_string(mExitCode) } });
    return mExitCode;
  }

private:
  static int Fail(const std::string& aReason)
  {
    LogEvent(LogCategory::kNode,
             LogLevel::kError,
             "not_started",
             { { "reason", aReason } });
    return kNotStarted;
  }

  void BeginStop()
  {
    if (mStopping) {
      return;
    }
    mStopping = true;
    mDrainUntil = std::chrono::steady_clock::now() + mSettings.drainTimeout;
    mTraffic.Drain();
    mControl.Leave([this] { AwaitCalls(); });
  }

  void AwaitCalls()
  {
    mTrafficLoop.Post([this] {
      const std::size_t left = mTraffic.InFlight();
      mControlLoop.Post([this, left] { OnInFlight(left); });
    });
  }

  void OnInFlight(std::size_t aLeft)
  {
    const bool timedOut = std::chrono::steady_clock::now() >= mDrainUntil;
    if (aLeft > 0 && !timedOut) {
      mControlLoop.RunAfter(kDrainPoll, [this] { AwaitCalls(); });
      return;
    }
    mExitCode = aLeft > 0 ? kCallsLost : kGraceful;
    // Answers that were just handed to the HTTP server still have to leave it.
    mControlLoop.RunAfter(kDrainPoll, [this] { mControlLoop.Stop(); });
  }

  settings::NodeSettings mSettings;
  runtime::EventLoop mControlLoop;
  runtime::EventLoop mTrafficLoop;
  telemetry::Metrics mMetrics;
  telemetry::Tracer mTracer;
  callers::CallJournal mJournal;
  ClaimBridge mClaims;
  ControlPlane mControl;
  TrafficPlane mTraffic;
  callers::CallerServer mServer;
  Timestamp mDrainUntil;
  int mExitCode = kGraceful;
  bool mStopping = false;
};

Node::Node(settings::NodeSettings aSettings)
  : mImpl(std::make_unique<Impl>(std::move(aSettings)))
{
}

Node::~Node() = default;

int
Node::Run()
{
  return mImpl->Run();
}

} // namespace knapweedpaddle::node
