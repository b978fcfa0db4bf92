#include "TrafficPlane.h"

#include "knapweedpaddle/common/HeldBytes.h"
#include "knapweedpaddle/nodes/CallCodec.h"

namespace knapweedpaddle::node {

using nodes::LinkRequest;
using nodes::LinkResponderPtr;
using nodes::LinkResponse;

namespace {

constexpr Milliseconds kTickInterval{ 100 };
/** After a longer gap between ticks the configuration may be out of date. */
constexpr Milliseconds kMaxConfigGap{ 2000 };
/** After a longer gap between ticks calls may have waited unread in sockets. */
constexpr Milliseconds kMaxReadGap{ 250 };
constexpr Milliseconds kEvidenceInterval{ 250 };
constexpr int kBadRequest = 400;

} // namespace

TrafficPlane::TrafficPlane(Services aServices,
                           Options aOptions,
                           std::uint64_t aRandomSeed)
  : mServices(std::move(aServices))
  , mOptions(std::move(aOptions))
  , mLongPauses(kMaxConfigGap)
  , mShortPauses(kMaxReadGap)
  , mDispatcher({ mServices.loop,
                  mServices.claims,
                  mServices.metrics,
                  mServices.tracer,
                  mOptions.backendDialect,
                  mServices.onServerLeaving },
                mOptions.checkSlots)
  , mLinks(mServices.loop, mOptions.links)
  , mForwarder({ mServices.loop,
                 mLinks,
                 mDispatcher,
                 mServices.metrics,
                 mServices.tracer,
                 mServices.journal },
               { mOptions.node,
                 mOptions.zone,
                 mOptions.maxConfigApplyTime,
                 mOptions.callerDialect.key,
                 mOptions.backendDialect.team,
                 mOptions.maxKeyAge,
                 mOptions.allowanceSlots,
                 mOptions.hedgeShare },
               aRandomSeed)
  , mBodies(mDispatcher,
            mServices.metrics,
            mOptions.backendDialect.callId,
            mOptions.linkBytesPerMs)
  , mServer(
      mServices.loop,
      [this](LinkRequest aRequest, const LinkResponderPtr& aResponder) {
        OnLinkRequest(std::move(aRequest), aResponder);
      },
      [this](const LinkRequest& aRequest, const LinkResponderPtr& aResponder) {
        mBodies.OnHeaders(aRequest, aResponder);
      })
  , mCallers(mServices.loop,
             mOptions.callerDialect,
             { [this](callers::CallRequest aRequest,
                      callers::CallResultCallback aCallback) {
                CloseAfterPause();
                return mForwarder.Forward(std::move(aRequest),
                                          std::move(aCallback));
              },
               mServices.onNodeRequest })
{
  mCallers.SetMaxConnections(mOptions.maxCallerConnections);
  mServices.loop.RunEvery(kTickInterval, [this] { OnTick(); });
  mServices.loop.RunEvery(kEvidenceInterval, [this] {
    mDispatcher.CountSlowInFlight();
    if (mDispatcher.Evidence() != mReportedEvidence) {
      mReportedEvidence = mDispatcher.Evidence();
      mServices.onEvidence(mReportedEvidence);
    }
    if (auto suspects = mDispatcher.ReportSuspects();
        suspects != mReportedSuspects) {
      mReportedSuspects = std::move(suspects);
      mServices.onSuspects(mReportedSuspects);
    }
    ReportTeamUsages();
  });
}

bool
TrafficPlane::Listen(std::string& aReason)
{
  if (!mServer.Listen(mOptions.address, mOptions.linkPort)) {
    aReason = "can't listen on " + mOptions.address + ":" +
              std::to_string(mOptions.linkPort) + " for links of other nodes";
    return false;
  }
  return mCallers.Listen(mOptions.callerAddress, aReason);
}

void
TrafficPlane::SetView(routing::RoutingViewPtr aView)
{
  mServices.loop.Post([this, view = std::move(aView)] {
    mDispatcher.SetSuspectsOfOtherNodes(view->suspects);
    mDispatcher.SetEvacuated(view->evacuatedZones.contains(mOptions.zone));
    mDispatcher.SetWarmup(WarmupOf(*view));
    mForwarder.SetView(view);
  });
}

backends::WarmupTable
TrafficPlane::WarmupOf(const routing::RoutingView& aView) const
{
  backends::WarmupTable table;
  for (const auto& [service, split] : aView.splits) {
    const auto* entry = aView.config->Get<config::ServiceEntry>(
      config::EntryKind::kService, service);
    if (entry && entry->warmupCallsPerSecond > 0) {
      table[service] = { entry->warmupCallsPerSecond * mOptions.warmupOvershoot,
                         entry->healthPath };
    }
  }
  return table;
}

void
TrafficPlane::ConfirmConfig(Microseconds aAsOf)
{
  mServices.loop.Post([this, aAsOf] { mForwarder.ConfirmConfig(aAsOf); });
}

void
TrafficPlane::UpdateAllowances(AllowanceUpdate aUpdate)
{
  mServices.loop.Post([this, update = std::move(aUpdate)] {
    mForwarder.UpdateAllowances(update);
  });
}

void
TrafficPlane::SetBackend(std::optional<backends::BackendServer> aBackend,
                         std::function<void()> aDone)
{
  mServices.loop.Post(
    [this, backend = std::move(aBackend), done = std::move(aDone)] {
      mDispatcher.SetBackend(backend);
      if (done) {
        done();
      }
    });
}

void
TrafficPlane::SetCallerLimits(const config::CallerLimits& aLimits)
{
  mServices.loop.Post([this, aLimits] { mCallers.SetLimits(aLimits); });
}

void
TrafficPlane::SetCallerService(const std::string& aService)
{
  mServices.loop.Post(
    [this, aService] { mCallers.SetCallerService(aService); });
}

void
TrafficPlane::BeginStop(const StopWindow& aWindow)
{
  mServices.loop.Post([this, aWindow] {
    mCallers.Drain();
    mForwarder.BeginStop(aWindow);
    mDispatcher.BeginStop(aWindow);
  });
}

void
TrafficPlane::Drain()
{
  mServices.loop.Post([this] {
    mCallers.Drain();
    mForwarder.Drain();
    mDispatcher.Drain();
    mServer.GoAway();
  });
}

void
TrafficPlane::EndCalls()
{
  mServices.loop.Post(
    [this] { mForwarder.EndAll("the node stops before the call ended"); });
}

bool
TrafficPlane::HasUnsentAnswers() const
{
  return mCallers.HasUnsentBytes() || mServer.HasUnsentBytes();
}

std::size_t
TrafficPlane::InFlight() const
{
  return mForwarder.InFlight() + mDispatcher.InFlight();
}

void
TrafficPlane::OnTick()
{
  CloseAfterPause();
  mBodies.OnTick();
  mDispatcher.OnTick();
  mServices.metrics.SetGauge(
    "held_bytes", {}, static_cast<double>(HeldBytes::Total()));
  mServices.metrics.SetGauge(
    "connections_shed", {}, static_cast<double>(mCallers.ConnectionsShed()));
  if (mForwarder.HasTeamSurge()) {
    ReportTeamUsages();
  }
  const Microseconds now = BootTime();
  mLongPauses.Tick(now);
  mShortPauses.Tick(now);
}

void
TrafficPlane::ReportTeamUsages()
{
  if (auto usages = mForwarder.TakeTeamUsages();
      mServices.onTeamUsages && !usages.empty()) {
    mServices.onTeamUsages(std::move(usages));
  }
}

void
TrafficPlane::CloseAfterPause()
{
  if (mLongPauses.TakePause(BootTime())) {
    mServices.metrics.Count("pauses_total", {});
    mForwarder.Close();
    mDispatcher.OnPause();
    mServices.onPause();
  }
}

void
TrafficPlane::OnLinkRequest(LinkRequest aRequest,
                            const LinkResponderPtr& aResponder)
{
  mBodies.OnEnded(aResponder.get());
  if (aRequest.path == nodes::kCallPath) {
    OnCall(std::move(aRequest), aResponder);
    return;
  }
  mServices.onPeerRequest(
    std::move(aRequest), [this, aResponder](LinkResponse aResponse) {
      const auto response =
        std::make_shared<LinkResponse>(std::move(aResponse));
      mServices.loop.Post(
        [aResponder, response] { aResponder->Respond(*response); });
    });
}

void
TrafficPlane::OnCall(LinkRequest aRequest, const LinkResponderPtr& aResponder)
{
  const Timestamp now = std::chrono::steady_clock::now();
  // The call's time was stated when its headers were sent; a large body arrives
  // long after them on a slow link. A call that is read after a pause may have
  // arrived when the pause began.
  const Timestamp sentAt =
    aRequest.begunAt -
    std::max(aRequest.delay, mShortPauses.DelayFromPause(BootTime()));
  std::string reason;
  auto call = nodes::DecodeCall(std::move(aRequest), sentAt, reason);
  if (!call) {
    mServices.metrics.Count("bad_link_requests_total", {});
    LinkResponse response;
    response.status = kBadRequest;
    response.body = reason;
    aResponder->Respond(response);
    return;
  }
  const auto parent = call->trace;
  call->trace = mServices.tracer.Child(parent);
  const auto span = call->trace;
  const std::int64_t startWall = WallMicroseconds();
  const std::string route = call->route;
  const auto run = mDispatcher.Run(
    std::move(*call),
    [this, aResponder, parent, span, now, startWall, route](
      const callers::CallResult& aResult) {
      if (span.sampled) {
        const auto elapsed = std::chrono::duration_cast<Microseconds>(
          std::chrono::steady_clock::now() - now);
        mServices.tracer.Record(
          { span.traceId,
            span.spanId,
            parent.spanId,
            "owner",
            startWall,
            elapsed.count(),
            std::string(NameOf(callers::kCallOutcomeNames, aResult.outcome)) });
      }
      aResponder->Respond(
        nodes::EncodeCallResult(aResult, mDispatcher.Load(route)));
    });
  aResponder->OnCancel([this, run] { mDispatcher.Cancel(run); });
}

} // namespace knapweedpaddle::node
