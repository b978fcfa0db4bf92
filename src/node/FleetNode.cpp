#include "knapweedpaddle/node/FleetNode.h"

#include "LinkPeerClient.h"
#include "NoClaims.h"
#include "PeerRequests.h"
#include "StopSignals.h"
#include "TrafficPlane.h"
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

constexpr const char* kMesh = "fleet";
constexpr std::size_t kJournalSize = 256;
constexpr Milliseconds kStoreTimeout{ 1500 };
constexpr Milliseconds kSettingsPoll{ 1000 };
constexpr Milliseconds kStopPoll{ 50 };
/** After a stop signal callers may still come for two readiness checks. */
constexpr Milliseconds kLinger{ 2500 };
/** Kept before the kill for the process's own end. */
constexpr Milliseconds kStopMargin{ 400 };
constexpr Milliseconds kLinkConnectTimeout{ 300 };
constexpr Milliseconds kLinkPingEvery{ 500 };
constexpr Milliseconds kLinkPingTimeout{ 700 };
constexpr int kGraceful = 0;
constexpr int kCallsLost = 1;
constexpr int kNotStarted = 2;
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
  options.callerDialect = aPlatform.callerDialect;
  options.backendDialect = aPlatform.backendDialect;
  options.links.connectTimeout = kLinkConnectTimeout;
  options.links.pingEvery = kLinkPingEvery;
  options.links.pingTimeout = kLinkPingTimeout;
  return options;
}

void
Note(const std::string& aEvent, const std::string& aDetail)
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
                                 Counter("store")))
    , mDesk(mPlatform.makeDesk(*mStore))
    , mPeers(
        mControlLoop,
        [this](const char* aKind, std::size_t aSent, std::size_t aReceived) {
          Counter(aKind)(aSent, aReceived);
        })
    , mGossip(
        kMesh,
        [this](const nodes::GossipMessage& aMessage) {
          mCore.Receive(aMessage);
        },
        Counter("gossip"))
    , mCore(
        { mControlLoop,
          *mStore,
          *mDesk,
          mPeers,
          [this](const nodes::Datagram& aDatagram) { mGossip.Send(aDatagram); },
          [this](routing::RoutingViewPtr aView) {
            mTraffic.SetView(std::move(aView));
          },
          [this](const config::CallerLimits& aLimits) {
            mTraffic.SetCallerLimits(aLimits);
          },
          [this](std::optional<backends::BackendServer> aBackend,
                 std::function<void()> aDone) {
            SetBackend(std::move(aBackend), std::move(aDone));
          },
          Note },
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
                   HandleLink(std::move(aRequest), std::move(aRespond));
                 },
                 [this](const backends::EvidenceTable& aEvidence) {
                   mControlLoop.Post(
                     [this, aEvidence] { mCore.TakeEvidence(aEvidence); });
                 },
                 [this] { mControlLoop.Post([this] { mCore.OnPause(); }); },
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
      return kNotStarted;
    }
    mTraffic.SetCallerService(mSettings.service);
    mControlLoop.RunEvery(kSettingsPoll, [this] { PollSettings(); });
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
  std::function<void(std::size_t, std::size_t)> Counter(const char* aKind)
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
      aReason = "can't bind UDP port " + std::to_string(mSettings.firstPort);
      return false;
    }
    if (!mReady.Listen(mSettings.readyAddress)) {
      aReason = "can't listen on " + mSettings.readyAddress + " for checks";
      return false;
    }
    if (!mReports.Listen(mSettings.reportAddress)) {
      aReason = "can't listen on " + mSettings.reportAddress + " for reports";
      return false;
    }
    // Calls are served without metrics, too.
    if (!mSettings.metricsAddress.empty() &&
        !mMetricsPage.Listen(mSettings.metricsAddress)) {
      Note("metrics_not_served", "can't listen on " + mSettings.metricsAddress);
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
      Note("report_unreadable", reason);
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
    mMetrics.SetGauge(
      "members", {}, static_cast<double>(members.Members().size() + 1));
    mMetrics.SetGauge("serving", {}, mCore.IsReady() ? 1 : 0);
    http::Response response = Answer(kStatusOk, mMetrics.Expose());
    response.headers.push_back(
      { "Content-Type", "text/plain; version=0.0.4; charset=utf-8" });
    return response;
  }

  void HandleLink(nodes::LinkRequest aRequest,
                  std::function<void(nodes::LinkResponse)> aRespond)
  {
    const auto request =
      std::make_shared<nodes::LinkRequest>(std::move(aRequest));
    mControlLoop.Post([this, request, respond = std::move(aRespond)] {
      respond(AnswerPeer(mCore, *request));
    });
  }

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
    // Addresses hold until the next start.
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
    const Timestamp now = mControlLoop.Now();
    mLingerUntil =
      now + std::min<Milliseconds>(kLinger, mSettings.gracePeriod / 2);
    mStopBy = now + mSettings.gracePeriod - kStopMargin;
    Note("stopping", "");
    mTraffic.AnnounceEnd();
    mCore.Leave();
    AwaitEnd();
  }

  void AwaitEnd()
  {
    mTrafficLoop.Post([this] {
      const std::size_t left = mTraffic.InFlight();
      mControlLoop.Post([this, left] { OnInFlight(left); });
    });
  }

  void OnInFlight(std::size_t aLeft)
  {
    const Timestamp now = mControlLoop.Now();
    const bool lingers = now < mLingerUntil;
    // Calls that came just before the drain are counted by the next poll.
    const bool drains = !lingers && !std::exchange(mDrained, true);
    if (drains) {
      mTraffic.Drain();
    }
    if ((lingers || drains || aLeft > 0) && now < mStopBy) {
      mControlLoop.RunAfter(kStopPoll, [this] { AwaitEnd(); });
      return;
    }
    mExitCode = aLeft > 0 ? kCallsLost : kGraceful;
    // The last answers still have to leave this process.
    mControlLoop.RunAfter(kStopPoll, [this] { mControlLoop.Stop(); });
  }

  FleetPlatform mPlatform;
  settings::FleetSettings mSettings;
  runtime::EventLoop mControlLoop;
  runtime::EventLoop mTrafficLoop;
  telemetry::Metrics mMetrics;
  telemetry::Tracer mTracer;
  callers::CallJournal mJournal;
  NoClaims mClaims;
  std::unique_ptr<store::StoreClient> mStore;
  std::unique_ptr<operators::OrderStore> mDesk;
  LinkPeerClient mPeers;
  nodes::GossipSocket mGossip;
  FleetCore mCore;
  TrafficPlane mTraffic;
  http::Server mReady;
  http::Server mReports;
  http::Server mMetricsPage;
  std::filesystem::file_time_type mSettingsWritten{};
  Timestamp mLingerUntil{};
  Timestamp mStopBy{};
  bool mStopping = false;
  bool mDrained = false;
  int mExitCode = kGraceful;
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
