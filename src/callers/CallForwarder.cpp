#include "knapweedpaddle/callers/CallForwarder.h"

#include "knapweedpaddle/nodes/CallCodec.h"
#include "knapweedpaddle/routing/Picker.h"
#include "knapweedpaddle/routing/RetryPolicy.h"
#include "knapweedpaddle/routing/ShareSequence.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <unordered_map>

namespace knapweedpaddle::callers {

using backends::OwnedCall;
using config::CallClass;
using nodes::LinkError;
using nodes::LinkReason;
using nodes::LinkResponse;
using routing::FailedTry;
using routing::TryOutcome;

namespace {

constexpr Milliseconds kLeastTimeout{ 1 };

TryOutcome
OutcomeOf(LinkError aError)
{
  const bool notRun =
    aError == LinkError::kNotSent || aError == LinkError::kRefused;
  return notRun ? TryOutcome::kNotRun : TryOutcome::kUnknown;
}

} // namespace

class CallForwarder::Impl
{
public:
  /** One sending of a call to one owner. */
  struct Try
  {
    nodes::NodeId node = nodes::kNoNode;
    std::string id;
    bool isLocal = false;
    std::uint64_t request = 0; ///< of LinkClient or CallOwner
    telemetry::TraceContext span;
    Timestamp sentAt;
    std::int64_t sentAtWall = 0;
  };

  struct Call
  {
    std::string id;
    CallRequest request;
    CallCallback callback;
    config::RouteEntry route;
    Timestamp received;
    std::int64_t receivedWall = 0;
    Timestamp deadline;
    telemetry::TraceContext trace;
    std::string parentSpan;
    std::vector<std::string> versions;
    std::vector<nodes::NodeId> tried;
    std::vector<Try> active;
    std::uint32_t tries = 0;
    bool mayHaveRun = false;
    runtime::EventLoop::TimerId hedgeTimer = 0;
    std::vector<std::string> steps;
  };

  using CallPtr = std::shared_ptr<Call>;

  Impl(Services aServices, Identity aIdentity, std::uint64_t aSeed)
    : mServices(aServices)
    , mIdentity(std::move(aIdentity))
    , mPicker(routing::PickerOptions{}, aSeed)
    , mRandom(aSeed + 1)
    , mView(std::make_shared<routing::RoutingView>())
  {
  }

  void SetView(routing::RoutingViewPtr aView)
  {
    mView = std::move(aView);
    mClosed = false;
  }

  void Close() { mClosed = true; }

  void Drain() { mDraining = true; }

  std::size_t InFlight() const { return mInFlight; }

  void Forward(CallRequest aRequest, CallCallback aCallback)
  {
    auto call = std::make_shared<Call>();
    call->id = NewId();
    call->request = std::move(aRequest);
    call->callback = std::move(aCallback);
    call->received = Now();
    call->receivedWall = WallMicroseconds();
    const auto parent = mServices.tracer.Begin(call->request.traceparent);
    call->parentSpan = parent.spanId;
    call->trace = mServices.tracer.Child(parent);
    ++mInFlight;

    if (const std::string refusal = Admit(*call); !refusal.empty()) {
      FinishWithout(call, refusal);
      return;
    }
    mRetries.CountCall();
    if (!StartTry(call)) {
      FinishWithout(call,
                    "no backend server of service \"" + call->route.service +
                      "\" is known");
      return;
    }
    if (call->route.callClass == CallClass::kCheck) {
      ScheduleHedge(call);
    }
  }

private:
  static Timestamp Now() { return std::chrono::steady_clock::now(); }

  std::string NewId()
  {
    std::array<char, 40> buf{};
    std::snprintf(buf.data(),
                  buf.size(),
                  "%llx-%llx",
                  static_cast<unsigned long long>(mIdentity.node),
                  static_cast<unsigned long long>(mRandom()));
    return buf.data();
  }

  /** Returns why a call is refused at the door, or "". */
  std::string Admit(Call& aCall)
  {
    if (mDraining) {
      return "this node is leaving";
    }
    if (!mView->open || mClosed) {
      return "this node does not hold a configuration that it may serve yet";
    }
    const config::RouteEntry* route = mView->FindRoute(aCall.request.path);
    if (!route) {
      return "no route matches path \"" + aCall.request.path + "\"";
    }
    aCall.route = *route;
    auto timeout = route->timeout;
    if (aCall.request.timeout) {
      timeout = std::min(timeout, *aCall.request.timeout);
    }
    if (timeout < kLeastTimeout) {
      return "the deadline has passed";
    }
    aCall.deadline = aCall.received + timeout;
    if (!route->limit.empty() && !TakeLimit(route->limit, aCall.received)) {
      return "limit \"" + route->limit + "\" is exceeded";
    }
    aCall.versions = mView->VersionsFor(
      route->service, route->callClass, DrawFor(route->header.name));
    return {};
  }

  bool TakeLimit(const std::string& aName, Timestamp aNow)
  {
    const auto* entry =
      mView->config->Get<config::LimitEntry>(config::EntryKind::kLimit, aName);
    const auto it = mLimits.find(aName);
    if (it == mLimits.end() || it->second.revision != entry->header.revision) {
      mLimits.insert_or_assign(
        aName,
        Limit{ entry->header.revision,
               routing::TokenBucket(entry->ratePerSecond, entry->burst) });
    }
    return mLimits.at(aName).bucket.Take(aNow);
  }

  double DrawFor(const std::string& aRoute)
  {
    const double start = std::uniform_real_distribution<double>(0, 1)(mRandom);
    return mDraws.try_emplace(aRoute, start).first->second.Next();
  }

  const routing::Target* Choose(const Call& aCall)
  {
    for (const auto& version : aCall.versions) {
      const routing::PickQuery query{
        aCall.route.service, version, mIdentity.zone, aCall.tried
      };
      if (const auto* target = mPicker.Pick(*mView, query, Now())) {
        return target;
      }
    }
    return nullptr;
  }

  bool StartTry(const CallPtr& aCall)
  {
    const routing::Target* target = Choose(*aCall);
    const Timestamp now = Now();
    if (!target || now >= aCall->deadline) {
      return false;
    }
    Try next;
    next.node = target->node;
    next.id = aCall->id + "." + std::to_string(++aCall->tries);
    next.isLocal = target->node == mIdentity.node;
    next.span = mServices.tracer.Child(aCall->trace);
    next.sentAt = now;
    next.sentAtWall = WallMicroseconds();
    aCall->tried.push_back(target->node);
    aCall->steps.push_back("try " + std::to_string(aCall->tries) + ": " +
                           ToString(target->node) + " in " + target->zone +
                           ", version " + target->version);
    mPicker.Start(target->node);
    OwnedCall owned = Owned(*aCall, next, target->version);
    const std::string id = next.id;
    if (next.isLocal) {
      next.request = mServices.owner.Run(
        std::move(owned), [this, aCall, id](CallResult aResult) {
          OnResult(aCall, id, std::move(aResult));
        });
    } else {
      next.request = mServices.links.Send(
        target->linkAddress,
        nodes::EncodeCall(owned, now),
        [this, aCall, id](std::optional<LinkResponse> aResponse,
                          const LinkReason& aReason) {
          OnLinkAnswer(aCall, id, std::move(aResponse), aReason);
        });
    }
    aCall->active.push_back(std::move(next));
    return true;
  }

  static OwnedCall Owned(const Call& aCall,
                         const Try& aTry,
                         const std::string& aVersion)
  {
    OwnedCall owned;
    owned.callId = aTry.id;
    owned.service = aCall.route.service;
    owned.version = aVersion;
    owned.route = aCall.route.header.name;
    owned.callClass = aCall.route.callClass;
    if (!aCall.request.idempotencyKey.empty()) {
      owned.idempotencyKey =
        aCall.route.header.name + "/" + aCall.request.idempotencyKey;
    }
    owned.deadline = aCall.deadline;
    owned.slowAfter = aCall.route.slowAfter;
    owned.trace = aTry.span;
    owned.method = aCall.request.method;
    owned.path = aCall.request.path;
    owned.headers = aCall.request.headers;
    owned.body = aCall.request.body;
    return owned;
  }

  void OnLinkAnswer(const CallPtr& aCall,
                    const std::string& aTry,
                    std::optional<LinkResponse> aResponse,
                    const LinkReason& aReason)
  {
    if (!aResponse) {
      OnFailedTry(aCall, aTry, OutcomeOf(aReason.code), aReason.message, false);
      return;
    }
    auto decoded = nodes::DecodeCallResult(std::move(*aResponse), aTry);
    if (!decoded) {
      OnFailedTry(aCall,
                  aTry,
                  TryOutcome::kUnknown,
                  "the peer's answer is not whole",
                  false);
      return;
    }
    for (const auto& it : aCall->active) {
      if (it.id == aTry) {
        mPicker.ReportLoad(it.node, decoded->busySlots, Now());
      }
    }
    OnResult(aCall, aTry, std::move(decoded->result));
  }

  void OnResult(const CallPtr& aCall,
                const std::string& aTry,
                CallResult aResult)
  {
    if (aResult.outcome != CallOutcome::kAnswered) {
      const auto outcome = aResult.outcome == CallOutcome::kNotRun
                             ? TryOutcome::kNotRun
                             : TryOutcome::kUnknown;
      OnFailedTry(
        aCall, aTry, outcome, aResult.reason, outcome == TryOutcome::kNotRun);
      return;
    }
    EndTry(aCall, aTry, true, std::to_string(aResult.status));
    aResult.callId = aCall->id;
    Finish(aCall, std::move(aResult));
  }

  /** @param aReached  true when the owner itself answered, so that its node is
   * sound. */
  void OnFailedTry(const CallPtr& aCall,
                   const std::string& aTry,
                   TryOutcome aOutcome,
                   const std::string& aWhy,
                   bool aReached)
  {
    EndTry(aCall, aTry, aReached, aWhy);
    aCall->mayHaveRun |= aOutcome == TryOutcome::kUnknown;
    aCall->steps.push_back(
      std::string(NameOf(routing::kTryOutcomeNames, aOutcome)) + ": " + aWhy);
    if (!aCall->active.empty()) {
      return; // A hedge is still under way.
    }
    const FailedTry failed{
      aCall->route.callClass, aOutcome, aCall->tries, aCall->deadline
    };
    if (const auto refusal = mRetries.Refuse(failed, Now())) {
      const std::string name(NameOf(routing::kRetryRefusalNames, *refusal));
      aCall->steps.push_back("no retry: " + name);
      mServices.metrics.Count("retries_refused_total", { { "reason", name } });
      FinishWithout(aCall, aWhy);
      return;
    }
    mServices.metrics.Count("retries_total", {});
    if (!StartTry(aCall)) {
      FinishWithout(aCall, aWhy + "; no other backend server is left to try");
    }
  }

  void EndTry(const CallPtr& aCall,
              const std::string& aTry,
              bool aReached,
              const std::string& aDetail)
  {
    const auto it = std::ranges::find(aCall->active, aTry, &Try::id);
    if (it == aCall->active.end()) {
      return;
    }
    const Timestamp now = Now();
    mPicker.Finish(it->node, aReached, now);
    if (it->span.sampled) {
      const auto elapsed =
        std::chrono::duration_cast<Microseconds>(now - it->sentAt);
      mServices.tracer.Record({ it->span.traceId,
                                it->span.spanId,
                                aCall->trace.spanId,
                                it->isLocal ? "own backend server" : "link",
                                it->sentAtWall,
                                elapsed.count(),
                                aDetail });
    }
    aCall->active.erase(it);
  }

  void ScheduleHedge(const CallPtr& aCall)
  {
    aCall->hedgeTimer =
      mServices.loop.RunAfter(aCall->route.slowAfter, [this, aCall] {
        aCall->hedgeTimer = 0;
        if (!aCall->active.empty() && mRetries.TakeHedge(Now()) &&
            StartTry(aCall)) {
          mServices.metrics.Count("hedges_total", {});
        }
      });
  }

  void FinishWithout(const CallPtr& aCall, const std::string& aReason)
  {
    CallResult result;
    result.outcome =
      aCall->mayHaveRun ? CallOutcome::kUnknown : CallOutcome::kNotRun;
    result.reason = aReason;
    result.callId = aCall->id;
    const std::string outcome(NameOf(kCallOutcomeNames, result.outcome));
    aCall->steps.push_back(outcome + ": " + aReason);
    mServices.journal.Add(
      { aCall->id, aCall->request.path, outcome, aCall->steps });
    Finish(aCall, std::move(result));
  }

  void Finish(const CallPtr& aCall, CallResult aResult)
  {
    --mInFlight;
    if (aCall->hedgeTimer != 0) {
      mServices.loop.Cancel(aCall->hedgeTimer);
    }
    for (const auto& it : std::exchange(aCall->active, {})) {
      mPicker.Finish(it.node, true, Now());
      if (it.isLocal) {
        mServices.owner.Cancel(it.request);
      } else {
        mServices.links.Cancel(it.request);
      }
    }
    const auto elapsed = Now() - aCall->received;
    const std::string outcome(NameOf(kCallOutcomeNames, aResult.outcome));
    mServices.metrics.Count(
      "calls_total",
      { { "outcome", outcome }, { "route", aCall->route.header.name } });
    mServices.metrics.Observe("call_seconds",
                              { { "outcome", outcome } },
                              std::chrono::duration<double>(elapsed).count());
    if (aCall->trace.sampled) {
      mServices.tracer.Record(
        { aCall->trace.traceId,
          aCall->trace.spanId,
          aCall->parentSpan,
          "ingress",
          aCall->receivedWall,
          std::chrono::duration_cast<Microseconds>(elapsed).count(),
          outcome });
    }
    aCall->callback(std::move(aResult));
  }

  struct Limit
  {
    std::uint64_t revision = 0;
    routing::TokenBucket bucket;
  };

  Services mServices;
  Identity mIdentity;
  routing::Picker mPicker;
  routing::RetryPolicy mRetries;
  std::mt19937_64 mRandom;
  routing::RoutingViewPtr mView;
  std::unordered_map<std::string, Limit> mLimits;
  std::unordered_map<std::string, routing::ShareSequence> mDraws; ///< by route
  std::size_t mInFlight = 0;
  bool mDraining = false;
  bool mClosed = false;
};

CallForwarder::CallForwarder(Services aServices,
                             Identity aIdentity,
                             std::uint64_t aSeed)
  : mImpl(std::make_unique<Impl>(aServices, std::move(aIdentity), aSeed))
{
}

CallForwarder::~CallForwarder() = default;

void
CallForwarder::SetView(routing::RoutingViewPtr aView)
{
  mImpl->SetView(std::move(aView));
}

void
CallForwarder::Close()
{
  mImpl->Close();
}

void
CallForwarder::Forward(CallRequest aRequest, CallCallback aCallback)
{
  mImpl->Forward(std::move(aRequest), std::move(aCallback));
}

void
CallForwarder::Drain()
{
  mImpl->Drain();
}

std::size_t
CallForwarder::InFlight() const
{
  return mImpl->InFlight();
}

} // namespace knapweedpaddle::callers
