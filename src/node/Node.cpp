#include "knapweedpaddle/node/Node.h"

#include "ClaimBridge.h"
#include "ControlPlane.h"
#include "SignalWatch.h"
#include "TrafficPlane.h"
#include "knapweedpaddle/telemetry/Log.h"

#include <csignal>
#include <thread>

namespace knapweedpaddle::node {

using telemetry::LogCategory;
using telemetry::LogEvent;
using telemetry::LogLevel;

namespace {

constexpr std::size_t kJournalSize = 512;
constexpr Milliseconds kDrainPollInterval{ 20 };
constexpr int kExitGraceful = 0;
constexpr int kExitCallsLost = 1;
constexpr int kExitNotStarted = 2;

std::uint64_t
RandomSeed()
{
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

TrafficPlane::Options
TrafficOptions(const settings::NodeSettings& aSettings)
{
  TrafficPlane::Options options;
  options.node = *nodes::ParseNodeId(aSettings.address + ":" +
                                     std::to_string(aSettings.gossipPort));
  options.address = aSettings.address;
  options.linkPort = aSettings.linkPort;
  options.callerAddress =
    aSettings.address + ":" + std::to_string(aSettings.callerPort);
  options.zone = aSettings.zone;
  options.checkSlots = aSettings.checkSlots;
  return options;
}

} // namespace

class Node::Impl
{
public:
  Impl(settings::NodeSettings aSettings, const store::StoreFactory& aMakeStore)
    : mSettings(std::move(aSettings))
    , mTracer("knapweedd " + mSettings.address + ":" +
                std::to_string(mSettings.callerPort),
              mSettings.traceShare,
              RandomSeed())
    , mJournal(kJournalSize)
    , mClaims(mTrafficLoop, mControlLoop)
    , mControl({ mControlLoop, mMetrics, mTracer, mJournal },
               mSettings,
               aMakeStore,
               RandomSeed())
    , mTraffic({ mTrafficLoop,
                 mClaims,
                 mMetrics,
                 mTracer,
                 mJournal,
                 [this](nodes::LinkRequest aRequest,
                        std::function<void(nodes::LinkResponse)> aRespond) {
                   mControl.HandlePeerRequest(std::move(aRequest),
                                              std::move(aRespond));
                 },
                 [this](const backends::EvidenceTable& aEvidence) {
                   mControl.TakeEvidence(aEvidence);
                 },
                 [this](std::vector<CrashSuspect> aSuspects) {
                   mControl.TakeSuspects(std::move(aSuspects));
                 },
                 {},
                 [this] { mControl.OnPause(); },
                 {},
                 [this](callers::CallRequest aRequest,
                        callers::CallerServer::Respond aRespond) {
                   mControl.HandleNodeRequest(std::move(aRequest),
                                              std::move(aRespond));
                 } },
               TrafficOptions(mSettings),
               RandomSeed())
  {
    mControl.SetTraffic(mTraffic);
    mClaims.SetBatcher(mControl.Claims());
  }

  int Run()
  {
    WatchSignals(mControlLoop, [this](int aSignal) {
      if (aSignal != SIGHUP) {
        BeginStop();
      }
    });
    std::string reason;
    if (!mTraffic.Listen(reason)) {
      return LogNotStarted(reason);
    }
    if (!mControl.Start()) {
      return LogNotStarted("can't bind the gossip socket to gossip_port " +
                           std::to_string(mSettings.gossipPort));
    }
    LogEvent(LogCategory::kNode,
             LogLevel::kInfo,
             "started",
             { { "address", mSettings.address },
               { "caller_port", std::to_string(mSettings.callerPort) },
               { "zone", mSettings.zone } });
    std::thread traffic([this] { mTrafficLoop.Run(); });
    mControlLoop.Run();
    mTrafficLoop.Stop();
    traffic.join();
    LogEvent(LogCategory::kNode,
             LogLevel::kInfo,
             "stopped",
             { { "exit_code", std::to_string(mExitCode) } });
    return mExitCode;
  }

private:
  static int LogNotStarted(const std::string& aReason)
  {
    LogEvent(LogCategory::kNode,
             LogLevel::kError,
             "not_started",
             { { "reason", aReason } });
    return kExitNotStarted;
  }

  void BeginStop()
  {
    if (mStopping) {
      return;
    }
    mStopping = true;
    mDrainUntil = std::chrono::steady_clock::now() + mSettings.drainTimeout;
    mTraffic.Drain();
    mControl.Leave([this] { PollInFlight(); });
  }

  /** Gets the number of calls in progress from the traffic thread. */
  void PollInFlight()
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
      mControlLoop.RunAfter(kDrainPollInterval, [this] { PollInFlight(); });
      return;
    }
    mExitCode = aLeft > 0 ? kExitCallsLost : kExitGraceful;
    mTraffic.EndCalls();
    // Gives the HTTP server time to send the last answers.
    mControlLoop.RunAfter(kDrainPollInterval, [this] { mControlLoop.Stop(); });
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
  Timestamp mDrainUntil;
  int mExitCode = kExitGraceful;
  bool mStopping = false;
};

Node::Node(settings::NodeSettings aSettings,
           const store::StoreFactory& aMakeStore)
  : mImpl(std::make_unique<Impl>(std::move(aSettings), aMakeStore))
{
}

Node::~Node() = default;

int
Node::Run()
{
  return mImpl->Run();
}

} // namespace knapweedpaddle::node
