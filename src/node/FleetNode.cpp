#include "knapweedpaddle/node/FleetNode.h"

#include "LinkPeerClient.h"
#include "PeerRequests.h"
#include "SignalWatch.h"
#include "TrafficPlane.h"
#include "UnavailableClaims.h"
#include "knapweedpaddle/common/HeldBytes.h"
#include "knapweedpaddle/node/FleetCore.h"
#include "knapweedpaddle/nodes/GossipSocket.h"
#include "knapweedpaddle/telemetry/Log.h"

#include <csignal>
#include <filesystem>
#include <random>
#include <thread>

namespace knapweedpaddle::node {

using telemetry::LogCategory;
using telemetry::LogEvent;
using telemetry::LogLevel;

namespace {

constexpr const char* kMeshName = "fleet";
constexpr std::size_t kJournalSize = 256;
constexpr Milliseconds kStoreTimeout{ 1500 };
constexpr Milliseconds kSettingsPollInterval{ 1000 };
constexpr Milliseconds kStopPollInterval{ 50 };
constexpr Milliseconds kLinkConnectTimeout{ 300 };
constexpr Milliseconds kLinkPingInterval{ 500 };
constexpr Milliseconds kLinkPingTimeout{ 700 };
constexpr double kBytesPerMsPerMbps = 125;
/** Descriptors that the platform keeps for files. Half of the others are for
 * callers, the rest for links, the backend server and the store. */
constexpr std::size_t kReservedDescriptors = 200;
/** Connections of the platform, which are served on the control thread. */
constexpr std::size_t kMaxControlConnections = 32;
/** Share of the memory for bodies, and for input and output in buffers. The
 * largest body allowed must fit on the smallest VM. */
constexpr double kHeldMemoryShare = 0.5;
/** Limits of requests to the addresses for reports, readiness and metrics. */
constexpr std::size_t kMaxControlHeaderBytes = 16UL * 1024;
constexpr std::size_t kMaxReportBytes = 64UL * 1024;
constexpr double kBytesPerMb = 1024.0 * 1024;
constexpr int kExitGraceful = 0;
constexpr int kExitCallsLost = 1;
constexpr int kExitNotStarted = 2;
constexpr int kStatusOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

std::uint64_t
RandomSeed()
{
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

http::Response
Answer(int aStatus, std::string aBody = "")
{
  http::Response response;
  response.status = aStatus;
  response.body = std::move(aBody);
  return response;
}

nodes::MemberRecord
SelfRecord(const settings::FleetSettings& aSettings)
{
  nodes::MemberRecord record;
  record.node = *nodes::ParseNodeId(aSettings.address + ":" +
                                    std::to_string(aSettings.firstPort));
  record.linkPort = aSettings.firstPort;
  record.zone = aSettings.zone;
  record.incarnation = static_cast<std::uint64_t>(WallNow());
  return record;
}

/** Returns the most connections that callers may have; 0: no limit. */
std::size_t
MaxCallerConnections(const settings::FleetSettings& aSettings)
{
  return aSettings.maxDescriptors > kReservedDescriptors
           ? std::max<std::size_t>(
               1, (aSettings.maxDescriptors - kReservedDescriptors) / 2)
           : 0;
}

TrafficPlane::Options
TrafficOptions(const settings::FleetSettings& aSettings,
               const FleetPlatform& aPlatform)
{
  TrafficPlane::Options options;
  options.node = SelfRecord(aSettings).node;
  options.address = aSettings.address;
  options.linkPort = aSettings.firstPort;
  options.callerAddress = aSettings.callerAddress;
  options.zone = aSettings.zone;
  options.maxConfigApplyTime = aSettings.configApplyTime;
  options.linkBytesPerMs = aSettings.linkMbps * kBytesPerMsPerMbps;
  options.warmupOvershoot = aSettings.warmupOvershoot;
  options.maxKeyAge = aSettings.maxKeyAge;
  options.hedgeShare = aSettings.hedgeShare;
  options.maxCallerConnections = MaxCallerConnections(aSettings);
  options.allowanceSlots = aSettings.zones.size();
  options.callerDialect = aPlatform.callerDialect;
  options.backendDialect = aPlatform.backendDialect;
  options.links.connectTimeout = kLinkConnectTimeout;
  options.links.pingInterval = kLinkPingInterval;
  options.links.pingTimeout = kLinkPingTimeout;
  return options;
}

void
LogCoreEvent(const std::string& aEvent, const std::string& aDetail)
{
  const auto category =
    aEvent.starts_with("rollout")  ? LogCategory::kMoves
    : aEvent.starts_with("config") ? LogCategory::kConfig
    : aEvent.starts_with("store")  ? LogCategory::kPlatform
    : aEvent.starts_with("backend") || aEvent.starts_with("report")
      ? LogCategory::kBackend
      : LogCategory::kNode;
  LogEvent(category, LogLevel::kInfo, aEvent, { { "detail", aDetail } });
}

} // namespace

class FleetNode::Impl
{
public:
  Impl(FleetPlatform aPlatform, settings::FleetSettings aSettings)
    : mPlatform(std::move(aPlatform))
    , mSettings(std::move(aSettings))
    , mTracer("knapweed", 0, RandomSeed())
    , mJournal(kJournalSize)
    , mStore(mPlatform.makeStore(mControlLoop,
                                 mSettings.storeAddress,
                                 kStoreTimeout,
                                 ByteCounter("store")))
    , mOrders(mPlatform.makeOrderStore(*mStore))
    , mPeers(
        mControlLoop,
        [this](const char* aKind, std::size_t aSent, std::size_t aReceived) {
          ByteCounter(aKind)(aSent, aReceived);
        })
    , mGossip(
        kMeshName,
        [this](const nodes::GossipMessage& aMessage) {
          mCore.Receive(aMessage);
        },
        ByteCounter("gossip"))
    , mCore(
        { mControlLoop,
          *mStore,
          *mOrders,
          mPeers,
          [this](const nodes::Datagram& aDatagram) { mGossip.Send(aDatagram); },
          [this](routing::RoutingViewPtr aView) {
            mTraffic.SetView(std::move(aView));
          },
          [this](Microseconds aAsOf) { mTraffic.ConfirmConfig(aAsOf); },
          [this](const config::CallerLimits& aLimits) {
            mTraffic.SetCallerLimits(aLimits);
          },
          [this](const AllowanceUpdate& aUpdate) {
            mTraffic.UpdateAllowances(aUpdate);
          },
          [this](std::optional<backends::BackendServer> aBackend,
                 std::function<void()> aDone) {
            SetBackend(std::move(aBackend), std::move(aDone));
          },
          LogCoreEvent },
        mSettings,
        SelfRecord(mSettings),
        RandomSeed())
    , mTraffic({ mTrafficLoop,
                 mClaims,
                 mMetrics,
                 mTracer,
                 mJournal,
                 [this](nodes::LinkRequest aRequest,
                        std::function<void(nodes::LinkResponse)> aRespond) {
                   HandlePeerRequest(std::move(aRequest), std::move(aRespond));
                 },
                 [this](const backends::EvidenceTable& aEvidence) {
                   mControlLoop.Post(
                     [this, aEvidence] { mCore.TakeEvidence(aEvidence); });
                 },
                 [this](std::vector<CrashSuspect> aSuspects) {
                   mControlLoop.Post([this, suspects = std::move(aSuspects)] {
                     mCore.TakeSuspects(suspects);
                   });
                 },
                 [this](std::vector<TeamUsage> aUsages) {
                   mControlLoop.Post([this, usages = std::move(aUsages)] {
                     mCore.TakeTeamUsages(usages);
                   });
                 },
                 [this] { mControlLoop.Post([this] { mCore.OnPause(); }); },
                 [this](const backends::BackendServer& aServer) {
                   mControlLoop.Post(
                     [this, aServer] { mCore.OnServerLeaving(aServer); });
                 },
                 {} },
               TrafficOptions(mSettings, mPlatform),
               RandomSeed())
    , mReady(mControlLoop,
             [this](const http::ExchangePtr& aExchange) {
               aExchange->Respond(
                 Answer(mCore.IsReady() ? kStatusOk : kUnavailable));
             })
    , mReports(
        mControlLoop,
        [this](const http::ExchangePtr& aExchange) { OnReport(aExchange); })
    , mMetricsPage(mControlLoop, [this](const http::ExchangePtr& aExchange) {
      aExchange->Respond(MetricsPage());
    })
  {
  }

  int Run()
  {
    WatchSignals(mControlLoop, [this](int aSignal) {
      if (aSignal == SIGHUP) {
        Reload();
      } else {
        BeginStop();
      }
    });
    if (std::string reason; !Listen(reason)) {
      LogEvent(LogCategory::kNode,
               LogLevel::kError,
               "not_started",
               { { "reason", reason } });
      return kExitNotStarted;
    }
    HeldBytes::SetLimit(static_cast<std::size_t>(
      mSettings.memoryMb * kBytesPerMb * kHeldMemoryShare));
    http::ServerLimits limits;
    limits.headerBytes = kMaxControlHeaderBytes;
    limits.bodyBytes = kMaxReportBytes;
    for (auto* it : { &mReady, &mReports, &mMetricsPage }) {
      it->SetMaxConnections(kMaxControlConnections);
      it->SetLimits(limits);
    }
    mTraffic.SetCallerService(mSettings.service);
    mControlLoop.RunEvery(kSettingsPollInterval, [this] { PollSettings(); });
    mControlLoop.Post([this] { mCore.Start(); });
    LogEvent(LogCategory::kNode,
             LogLevel::kInfo,
             "started",
             { { "name", mSettings.name },
               { "address", mSettings.address },
               { "zone", mSettings.zone },
               { "service", mSettings.service } });
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
  /** Returns a counter of the control bytes of one kind of traffic. */
  std::function<void(std::size_t, std::size_t)> ByteCounter(const char* aKind)
  {
    return [this, aKind](std::size_t aSent, std::size_t aReceived) {
      mMetrics.Count("control_bytes_total",
                     { { "kind", aKind }, { "direction", "sent" } },
                     static_cast<double>(aSent));
      mMetrics.Count("control_bytes_total",
                     { { "kind", aKind }, { "direction", "received" } },
                     static_cast<double>(aReceived));
    };
  }

  bool Listen(std::string& aReason)
  {
    if (!mTraffic.Listen(aReason)) {
      return false;
    }
    if (!mGossip.Open(mControlLoop, mCore.Members().Self().node)) {
      aReason = "can't bind the gossip socket to UDP port " +
                std::to_string(mSettings.firstPort);
      return false;
    }
    if (!mReady.Listen(mSettings.readyAddress)) {
      aReason =
        "can't listen on " + mSettings.readyAddress + " for readiness checks";
      return false;
    }
    if (!mReports.Listen(mSettings.reportAddress)) {
      aReason = "can't listen on " + mSettings.reportAddress +
                " for reports of the backend server";
      return false;
    }
    // Failing to serve metrics does not stop the node from serving calls.
    if (!mSettings.metricsAddress.empty() &&
        !mMetricsPage.Listen(mSettings.metricsAddress)) {
      LogCoreEvent("metrics_not_served",
                   "can't listen on " + mSettings.metricsAddress);
    }
    return true;
  }

  void SetBackend(std::optional<backends::BackendServer> aBackend,
                  std::function<void()> aDone)
  {
    std::function<void()> done;
    if (aDone) {
      done = [this, task = std::move(aDone)] { mControlLoop.Post(task); };
    }
    mTraffic.SetBackend(std::move(aBackend), std::move(done));
  }

  void OnReport(const http::ExchangePtr& aExchange)
  {
    std::string reason;
    const auto report = mPlatform.decodeReport(aExchange->Message(), reason);
    if (!report) {
      LogCoreEvent("report_unreadable", reason);
      aExchange->Respond(Answer(kBadRequest, reason));
      return;
    }
    mCore.OnServerReport(
      *report, [aExchange] { aExchange->Respond(Answer(kStatusOk, "{}")); });
  }

  http::Response MetricsPage()
  {
    const nodes::Membership& members = mCore.Members();
    mMetrics.SetGauge(
      "config_version", {}, static_cast<double>(mCore.Config().Version()));
    if (const auto age = mCore.Freshness().Age()) {
      mMetrics.SetGauge(
        "config_age_seconds", {}, std::chrono::duration<double>(*age).count());
    }
    mMetrics.SetGauge(
      "members", {}, static_cast<double>(members.Members().size() + 1));
    mMetrics.SetGauge(
      "evacuated_zones",
      {},
      static_cast<double>(mCore.Evacuations().EvacuatedZones().size()));
    mMetrics.SetGauge(
      "limited_teams", {}, static_cast<double>(mCore.LimitedTeams()));
    mMetrics.SetGauge("serving", {}, mCore.IsReady() ? 1 : 0);
    http::Response response = Answer(kStatusOk, mMetrics.Expose());
    response.headers.push_back(
      { "Content-Type", "text/plain; version=0.0.4; charset=utf-8" });
    return response;
  }

  void HandlePeerRequest(nodes::LinkRequest aRequest,
                         std::function<void(nodes::LinkResponse)> aRespond)
  {
    const auto request =
      std::make_shared<nodes::LinkRequest>(std::move(aRequest));
    mControlLoop.Post([this, request, respond = std::move(aRespond)] {
      respond(AnswerPeerRequest(mCore, *request));
    });
  }

  /** Reloads the settings if their file was written since the last poll. */
  void PollSettings()
  {
    std::error_code ec;
    const auto written =
      std::filesystem::last_write_time(mPlatform.settingsPath, ec);
    if (ec || written == mSettingsWritten) {
      return;
    }
    const bool first = mSettingsWritten == std::filesystem::file_time_type{};
    mSettingsWritten = written;
    if (!first) {
      Reload();
    }
  }

  void Reload()
  {
    std::string reason;
    const auto settings = mPlatform.loadSettings(reason);
    if (!settings) {
      LogEvent(LogCategory::kNode,
               LogLevel::kError,
               "settings_refused",
               { { "reason", reason } });
      return;
    }
    if (*settings == mSettings) {
      return;
    }
    // Changed addresses take effect at the next start.
    mSettings.service = settings->service;
    mSettings.gracePeriod = settings->gracePeriod;
    mSettings.retryBudgetRatio = settings->retryBudgetRatio;
    mSettings.retryBudgetSlack = settings->retryBudgetSlack;
    mTraffic.SetCallerService(mSettings.service);
    LogEvent(LogCategory::kNode,
             LogLevel::kInfo,
             "settings_reloaded",
             { { "service", mSettings.service } });
  }

  void BeginStop()
  {
    if (mStopping) {
      return;
    }
    mStopping = true;
    mStopWindow = StopWindow(mControlLoop.Now(), mSettings.gracePeriod);
    LogCoreEvent("stopping", "");
    mTraffic.BeginStop(mStopWindow);
    mCore.BeginStop();
    mControlLoop.RunAfter(std::chrono::duration_cast<Milliseconds>(
                            mStopWindow.AnnouncesAt() - mControlLoop.Now()),
                          [this] { mCore.Leave(); });
    PollInFlight();
  }

  /** Gets the number of calls in progress from the traffic thread. */
  void PollInFlight()
  {
    mTrafficLoop.Post([this] {
      const std::size_t left = mTraffic.InFlight();
      const bool isIdle = left == 0 && !mTraffic.HasUnsentAnswers();
      mControlLoop.Post([this, left, isIdle] { OnInFlight(left, isIdle); });
    });
  }

  void OnInFlight(std::size_t aLeft, bool aIsIdle)
  {
    const Timestamp now = mControlLoop.Now();
    const bool lingering = mStopWindow.IsOpen(now);
    // aLeft was counted before the drain, so calls that arrived since then are
    // only seen by the next poll.
    const bool drainsNow = !lingering && !std::exchange(mDrained, true);
    if (drainsNow) {
      mTraffic.Drain();
    }
    if ((lingering || drainsNow || !aIsIdle) && now < mStopWindow.EndsAt()) {
      mControlLoop.RunAfter(kStopPollInterval, [this] { PollInFlight(); });
      return;
    }
    mExitCode = aLeft > 0 ? kExitCallsLost : kExitGraceful;
    mTraffic.EndCalls();
    // Gives the HTTP servers time to send the last answers.
    mControlLoop.RunAfter(kStopPollInterval, [this] { mControlLoop.Stop(); });
  }

  FleetPlatform mPlatform;
  settings::FleetSettings mSettings;
  runtime::EventLoop mControlLoop;
  runtime::EventLoop mTrafficLoop;
  telemetry::Metrics mMetrics;
  telemetry::Tracer mTracer;
  callers::CallJournal mJournal;
  UnavailableClaims mClaims;
  std::unique_ptr<store::StoreClient> mStore;
  std::unique_ptr<operators::OrderStore> mOrders;
  LinkPeerClient mPeers;
  nodes::GossipSocket mGossip;
  FleetCore mCore;
  TrafficPlane mTraffic;
  http::Server mReady;
  http::Server mReports;
  http::Server mMetricsPage;
  std::filesystem::file_time_type mSettingsWritten{};
  StopWindow mStopWindow;
  bool mStopping = false;
  bool mDrained = false;
  int mExitCode = kExitGraceful;
};

FleetNode::FleetNode(FleetPlatform aPlatform, settings::FleetSettings aSettings)
  : mImpl(std::make_unique<Impl>(std::move(aPlatform), std::move(aSettings)))
{
}

FleetNode::~FleetNode() = default;

int
FleetNode::Run()
{
  return mImpl->Run();
}

} // namespace knapweedpaddle::node
