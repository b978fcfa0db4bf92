#include "ControlPlane.h"

#include "PeerRequests.h"
#include "knapweedpaddle/telemetry/Log.h"

namespace knapweedpaddle::node {

namespace {

constexpr Milliseconds kSecond{ 1000 };
constexpr Milliseconds kClaimTickInterval{ 20 };
/** Time for peers to learn that this node leaves. */
constexpr Milliseconds kLeaveSpreadTime{ 300 };

nodes::MemberRecord
SelfRecord(const settings::NodeSettings& aSettings)
{
  nodes::MemberRecord record;
  record.node = *nodes::ParseNodeId(aSettings.address + ":" +
                                    std::to_string(aSettings.gossipPort));
  record.linkPort = aSettings.linkPort;
  record.callerPort = aSettings.callerPort;
  record.zone = aSettings.zone;
  record.incarnation = static_cast<std::uint64_t>(WallNow());
  return record;
}

} // namespace

ControlPlane::ControlPlane(Services aServices,
                           const settings::NodeSettings& aSettings,
                           const store::StoreFactory& aMakeStore,
                           std::uint64_t aRandomSeed)
  : mServices(aServices)
  , mSettings(aSettings)
  , mStore(aMakeStore(aServices.loop,
                      aSettings.platform,
                      aSettings.platformTimeout,
                      [this](std::size_t aSent, std::size_t aReceived) {
                        CountControlBytes("platform", aSent, aReceived);
                      }))
  , mClaims(*mStore, aSettings.claimWritesPerSecond)
  , mPeers(aServices.loop,
           [this](const char* aKind, std::size_t aSent, std::size_t aReceived) {
             CountControlBytes(aKind, aSent, aReceived);
           })
  , mGossip(
      aSettings.mesh,
      [this](const nodes::GossipMessage& aMessage) { mCore.Receive(aMessage); },
      [this](std::size_t aSent, std::size_t aReceived) {
        CountControlBytes("gossip", aSent, aReceived);
      })
  , mCore(
      {
        aServices.loop,
        *mStore,
        mPeers,
        [this](const nodes::Datagram& aDatagram) { mGossip.Send(aDatagram); },
        [this](routing::RoutingViewPtr aView) {
          mTraffic->SetView(std::move(aView));
        },
        [this](Microseconds aAsOf) { mTraffic->ConfirmConfig(aAsOf); },
        [this](std::optional<backends::BackendServer> aBackend) {
          mTraffic->SetBackend(std::move(aBackend), {});
        },
        LogCoreEvent,
      },
      SelfRecord(aSettings),
      aSettings.seeds,
      aRandomSeed)
  , mApi(operators::OperatorApi::Services{
           mCore.ChangeAcceptor(),
           mCore.Config().Store(),
           *mStore,
           mCore.Members(),
           aServices.journal,
           aServices.metrics,
           [this] { return mCore.IsServing(); },
           [this](const std::string& aMove) {
             return mCore.Moves().Explain(aMove);
           },
           [this](const std::string& aBody, std::string& aReason) {
             const auto announcement =
               backends::DecodeAnnouncement(aBody, aReason);
             if (announcement) {
               mCore.Announce(*announcement);
             }
             return announcement.has_value();
           } },
         aSettings.operators)
  , mTraceClient(aServices.loop, 1)
{
}

bool
ControlPlane::Start()
{
  if (!mGossip.Open(mServices.loop, mCore.Members().Self().node)) {
    return false;
  }
  mServices.loop.RunEvery(kSecond, [this] { OnSecond(); });
  mServices.loop.RunEvery(kClaimTickInterval,
                          [this] { mClaims.Tick(mServices.loop.Now()); });
  mServices.loop.Post([this] { mCore.Start(); });
  return true;
}

void
ControlPlane::HandleNodeRequest(callers::CallRequest aRequest,
                                callers::CallerServer::Respond aRespond)
{
  const auto request =
    std::make_shared<callers::CallRequest>(std::move(aRequest));
  mServices.loop.Post([this, request, respond = std::move(aRespond)] {
    mApi.Handle(*request, respond);
  });
}

void
ControlPlane::HandlePeerRequest(
  nodes::LinkRequest aRequest,
  std::function<void(nodes::LinkResponse)> aRespond)
{
  const auto request =
    std::make_shared<nodes::LinkRequest>(std::move(aRequest));
  mServices.loop.Post([this, request, respond = std::move(aRespond)] {
    respond(AnswerPeerRequest(mCore, *request));
  });
}

void
ControlPlane::TakeEvidence(const backends::EvidenceTable& aEvidence)
{
  const auto evidence = std::make_shared<backends::EvidenceTable>(aEvidence);
  mServices.loop.Post([this, evidence] { mCore.TakeEvidence(*evidence); });
}

void
ControlPlane::TakeSuspects(std::vector<CrashSuspect> aSuspects)
{
  mServices.loop.Post(
    [this, suspects = std::move(aSuspects)] { mCore.TakeSuspects(suspects); });
}

void
ControlPlane::OnPause()
{
  mServices.loop.Post([this] { mCore.OnPause(); });
}

void
ControlPlane::Leave(std::function<void()> aDone)
{
  mCore.Leave();
  mServices.loop.RunAfter(kLeaveSpreadTime, std::move(aDone));
}

void
ControlPlane::OnSecond()
{
  ExportSpans();
  const nodes::Membership& members = mCore.Members();
  telemetry::Metrics& metrics = mServices.metrics;
  metrics.SetGauge(
    "config_version", {}, static_cast<double>(mCore.Config().Version()));
  metrics.SetGauge(
    "head_polls", {}, static_cast<double>(mCore.Config().HeadPolls()));
  metrics.SetGauge(
    "pulls_failed", {}, static_cast<double>(mCore.Config().FailedPulls()));
  metrics.SetGauge(
    "members", {}, static_cast<double>(members.Members().size() + 1));
  metrics.SetGauge(
    "gossip_garbage", {}, static_cast<double>(mGossip.UndecodableDatagrams()));
  metrics.SetGauge("serving", {}, mCore.IsServing() ? 1 : 0);
}

void
ControlPlane::CountControlBytes(const std::string& aKind,
                                std::size_t aSent,
                                std::size_t aReceived)
{
  mServices.metrics.Count("control_bytes_total",
                          { { "kind", aKind }, { "direction", "sent" } },
                          static_cast<double>(aSent));
  mServices.metrics.Count("control_bytes_total",
                          { { "kind", aKind }, { "direction", "received" } },
                          static_cast<double>(aReceived));
}

void
ControlPlane::LogCoreEvent(const std::string& aEvent,
                           const std::string& aDetail)
{
  using telemetry::LogCategory;
  const auto category = aEvent.starts_with("move")      ? LogCategory::kMoves
                        : aEvent.starts_with("config")  ? LogCategory::kConfig
                        : aEvent.starts_with("backend") ? LogCategory::kBackend
                                                        : LogCategory::kNode;
  telemetry::LogEvent(
    category, telemetry::LogLevel::kInfo, aEvent, { { "detail", aDetail } });
}

void
ControlPlane::ExportSpans()
{
  if (mSettings.traceCollector.empty()) {
    return;
  }
  const std::string batch = mServices.tracer.TakeBatch();
  if (batch.empty()) {
    return;
  }
  runtime::HttpRequest request;
  request.method = "POST";
  request.url = "http://" + mSettings.traceCollector + "/api/v2/spans";
  request.headers.push_back({ "Content-Type", "application/json" });
  request.body = batch;
  mTraceClient.Send(
    std::move(request),
    [this](const std::optional<runtime::HttpResponse>& aResponse,
           const runtime::HttpReason&) {
      if (!aResponse) {
        mServices.metrics.Count("trace_batches_dropped_total", {});
      }
    });
}

} // namespace knapweedpaddle::node
