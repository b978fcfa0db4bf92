#include "knapweedpaddle/callers/CallForwarder.h"

#include "knapweedpaddle/callers/HeldCalls.h"
#include "knapweedpaddle/callers/TimeBudgets.h"
#include "knapweedpaddle/nodes/CallCodec.h"
#include "knapweedpaddle/routing/Picker.h"
#include "knapweedpaddle/routing/RetryPolicy.h"
#include "knapweedpaddle/routing/ShareSequence.h"
#include "knapweedpaddle/telemetry/Log.h"
#include "knapweedpaddle/telemetry/LogRateLimiter.h"

#include <algorithm>
#include <array>
#include <cmath>
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
constexpr Milliseconds kRetryAfter{ 200 }; ///< told to refused callers
/** A call that can't go anywhere yet is held so long at most, and no longer
 * than this part of its time: its caller may know another node. */
constexpr Milliseconds kLongestHold{ 1000 };
constexpr int kHoldPart = 3;
/** A call under way for so many times its route's mean is worth a second try.
 */
constexpr double kUnusualFactor = 2.2;
constexpr double kHedgeEarliest = 0.55; ///< of the target time
constexpr double kHedgeLatest = 0.85;   ///< later the target is missed anyway
constexpr std::uint32_t kMaxRedirects = 4; ///< by owners, for one call
constexpr std::uint32_t kNoLimit = 0xffffffff;
constexpr double kLogLinesPerSecond = 20;
constexpr double kLogBurst = 100;
constexpr int kFirstServerError = 500;
constexpr int kGatewayTimeout = 504;

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
    std::string service; ///< of the route's, the one drawn for this call
    Timestamp received;
    std::int64_t receivedWall = 0;
    Timestamp deadline;
    Timestamp targetAt; ///< when the caller's target time ends
    telemetry::TraceContext trace;
    std::string parentSpan;
    std::vector<std::string> versions;
    std::vector<nodes::NodeId> tried;
    std::vector<Try> active;
    std::uint32_t sendings = 0;  ///< to owners
    std::uint32_t arrivals = 0;  ///< of those, that reached a backend server
    std::uint32_t redirects = 0; ///< of those, that an owner turned away
    bool mayHaveRun = false;
    bool over = false;
    std::optional<CallResult> failure; ///< a backend server's, kept meanwhile
    HeldCalls::HoldId held = 0;
    runtime::EventLoop::TimerId hedgeTimer = 0;
    runtime::EventLoop::TimerId deadlineTimer = 0;
    std::vector<std::string> steps;
  };

  using CallPtr = std::shared_ptr<Call>;

  Impl(Services aServices, Identity aIdentity, std::uint64_t aSeed)
    : mServices(aServices)
    , mIdentity(std::move(aIdentity))
    , mPicker(routing::PickerOptions{}, aSeed)
    , mRandom(aSeed + 1)
    , mView(std::make_shared<routing::RoutingView>())
    , mHeld(aServices.loop)
  {
  }

  void SetView(routing::RoutingViewPtr aView)
  {
    mView = std::move(aView);
    mClosed = false;
    for (auto& [service, policy] : mRetries) {
      policy.SetOptions(mView->retries);
    }
    mHeld.GoOn();
  }

  void Close() { mClosed = true; }

  void Drain()
  {
    mDraining = true;
    mHeld.GiveUp();
  }

  std::size_t InFlight() const { return mInFlight; }

  CancelTask Forward(CallRequest aRequest, CallCallback aCallback)
  {
    auto call = std::make_shared<Call>();
    call->id = NewId();
    call->request = std::move(aRequest);
    call->callback = std::move(aCallback);
    call->received = call->request.receivedAt == Timestamp{}
                       ? Now()
                       : call->request.receivedAt;
    call->receivedWall = WallMicroseconds();
    const auto parent = mServices.tracer.Begin(call->request.traceparent);
    call->parentSpan = parent.spanId;
    call->trace = mServices.tracer.Child(parent);
    ++mInFlight;

    Enter(call);
    return call->over ? CancelTask() : [this, call] { Abandon(call); };
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

  bool IsOpen() const { return mView->open && !mClosed; }

  /** Admits a call and starts its first try, or holds it until it can. */
  void Enter(const CallPtr& aCall)
  {
    if (!IsOpen() && !mDraining) {
      Hold(aCall,
           "this node does not hold a configuration that it may serve yet",
           [this, aCall] { Enter(aCall); });
      return;
    }
    if (const std::string refusal = Admit(*aCall); !refusal.empty()) {
      FinishWithout(aCall, refusal);
      return;
    }
    aCall->deadlineTimer = mServices.loop.RunAfter(
      std::chrono::ceil<Milliseconds>(aCall->deadline - Now()), [this, aCall] {
        aCall->deadlineTimer = 0;
        FinishWithout(aCall, "the deadline passed");
      });
    RetriesFor(aCall->service).CountCall();
    Begin(aCall);
  }

  void Begin(const CallPtr& aCall)
  {
    const CallClass callClass = aCall->route.callClass;
    aCall->versions = mView->VersionsFor(
      aCall->service,
      callClass,
      Draw("version " + aCall->service + " " +
           std::string(NameOf(config::kCallClassNames, callClass))));
    if (StartTry(aCall)) {
      ScheduleHedge(aCall);
      return;
    }
    Hold(aCall,
         "no backend server of service \"" + aCall->service + "\" is known",
         [this, aCall] { Begin(aCall); });
  }

  /** Holds a call until the next view; gives it up after a part of its time. */
  void Hold(const CallPtr& aCall,
            const std::string& aReason,
            HeldCalls::Task aGoOn)
  {
    const Milliseconds time =
      aCall->request.timeout.value_or(kLongestHold * kHoldPart);
    const Milliseconds left =
      std::min(kLongestHold, time / kHoldPart) -
      std::chrono::duration_cast<Milliseconds>(Now() - aCall->received);
    if (left > Milliseconds(0) && !mDraining) {
      aCall->held = mHeld.Hold(left, std::move(aGoOn), [this, aCall, aReason] {
        FinishWithout(aCall, aReason);
      });
    } else {
      aCall->held = 0;
    }
    if (aCall->held == 0) {
      FinishWithout(aCall, aReason);
      return;
    }
    aCall->steps.push_back("held: " + aReason);
    mServices.metrics.Count("calls_held_total", {});
  }

  /** Returns why a call is refused at the door, or "". */
  std::string Admit(Call& aCall)
  {
    if (mDraining) {
      return "this node is leaving";
    }
    const std::string& path = aCall.request.path;
    const config::RouteEntry* route =
      mView->FindRoute(aCall.request.host, path.substr(0, path.find('?')));
    if (!route) {
      aCall.failure.emplace().routeMissing = true;
      return "no route matches path \"" + path + "\" of host \"" +
             aCall.request.host + "\"";
    }
    aCall.route = *route;
    auto timeout = route->timeout;
    aCall.targetAt = aCall.received + route->slowAfter;
    if (const auto& left = aCall.request.timeout) {
      timeout = std::min(timeout, *left);
      aCall.targetAt -=
        mBudgets.TimeSpent(route->header.name, *left, aCall.received);
    }
    aCall.deadline = aCall.received + timeout;
    if (aCall.deadline < Now() + kLeastTimeout) {
      return "the deadline has passed";
    }
    if (!route->limit.empty() && !TakeLimit(route->limit, aCall.received)) {
      return "limit \"" + route->limit + "\" is exceeded";
    }
    aCall.service = DrawService(*route);
    aCall.steps.push_back("route " + route->header.name + " of version " +
                          std::to_string(mView->config->version) +
                          " to service " + aCall.service);
    return {};
  }

  /** Returns the service that takes the next call of a route. */
  std::string DrawService(const config::RouteEntry& aRoute)
  {
    if (aRoute.split.empty()) {
      return aRoute.service;
    }
    double total = 0;
    for (const auto& it : aRoute.split) {
      total += it.weight;
    }
    double draw = Draw("split " + aRoute.header.name) * total;
    for (const auto& it : aRoute.split) {
      if (draw < it.weight) {
        return it.service;
      }
      draw -= it.weight;
    }
    return aRoute.split.back().service;
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

  /** Returns the next number in [0, 1) of an evenly spread sequence. */
  double Draw(const std::string& aSequence)
  {
    const double start = std::uniform_real_distribution<double>(0, 1)(mRandom);
    return mDraws.try_emplace(aSequence, start).first->second.Next();
  }

  routing::RetryPolicy& RetriesFor(const std::string& aService)
  {
    return mRetries.try_emplace(aService, mView->retries).first->second;
  }

  routing::PickQuery QueryFor(const Call& aCall,
                              const std::string& aVersion) const
  {
    return { aCall.service,           aVersion,
             mIdentity.zone,          aCall.tried,
             aCall.route.header.name, aCall.route.slowAfter };
  }

  const routing::Target* Choose(const Call& aCall)
  {
    for (const auto& version : aCall.versions) {
      if (const auto* target =
            mPicker.Pick(*mView, QueryFor(aCall, version), Now())) {
        return target;
      }
    }
    return nullptr;
  }

  bool StartTry(const CallPtr& aCall)
  {
    const routing::Target* target = Choose(*aCall);
    const Timestamp now = Now();
    // What is sent with too little time left is wasted.
    const Milliseconds least =
      aCall->sendings == 0 ? kLeastTimeout : aCall->route.slowAfter / 4;
    if (!target || now + least > aCall->deadline) {
      return false;
    }
    Try next;
    next.node = target->node;
    next.id = aCall->id + "." + std::to_string(++aCall->sendings);
    next.isLocal = target->node == mIdentity.node;
    next.span = mServices.tracer.Child(aCall->trace);
    next.sentAt = now;
    next.sentAtWall = WallMicroseconds();
    aCall->tried.push_back(target->node);
    aCall->steps.push_back(
      "try " + std::to_string(aCall->sendings) + ": " + ToString(target->node) +
      " in " + target->zone + ", version " + target->version + ", expected " +
      std::to_string(
        std::lround(mPicker.Cost(*target, QueryFor(*aCall, ""), now))) +
      " ms");
    mPicker.Start(target->node);
    OwnedCall owned = Owned(*aCall, next, target->version);
    const std::string id = next.id;
    if (next.isLocal) {
      next.request = mServices.owner.Run(
        std::move(owned), [this, aCall, id](CallResult aResult) {
          const std::string& route = aCall->route.header.name;
          mPicker.ReportLoad(
            mIdentity.node, route, mServices.owner.Load(route), Now());
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

  OwnedCall Owned(const Call& aCall,
                  const Try& aTry,
                  const std::string& aVersion) const
  {
    OwnedCall owned;
    owned.callId = aTry.id;
    owned.service = aCall.service;
    owned.version = aVersion;
    owned.route = aCall.route.header.name;
    owned.callClass = aCall.route.callClass;
    owned.priority = aCall.route.priority;
    owned.configVersion = mView->config->version;
    if (!aCall.request.idempotencyKey.empty()) {
      owned.idempotencyKey =
        aCall.route.header.name + "/" + aCall.request.idempotencyKey;
    }
    owned.deadline = aCall.deadline;
    owned.slowAfter = aCall.route.slowAfter;
    owned.targetAt = aCall.targetAt;
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
      OnFailedTry(aCall,
                  aTry,
                  { OutcomeOf(aReason.code), aReason.message, false, false });
      return;
    }
    auto decoded = nodes::DecodeCallResult(std::move(*aResponse), aTry);
    if (!decoded) {
      OnFailedTry(aCall,
                  aTry,
                  { TryOutcome::kUnknown,
                    "the peer's answer is not whole",
                    false,
                    false });
      return;
    }
    for (const auto& it : aCall->active) {
      if (it.id == aTry) {
        mPicker.ReportLoad(
          it.node, aCall->route.header.name, decoded->load, Now());
      }
    }
    OnResult(aCall, aTry, std::move(decoded->result));
  }

  void OnResult(const CallPtr& aCall,
                const std::string& aTry,
                CallResult aResult)
  {
    if (aCall->over) {
      return;
    }
    if (aResult.outcome != CallOutcome::kAnswered) {
      const auto outcome = aResult.outcome == CallOutcome::kNotRun
                             ? TryOutcome::kNotRun
                             : TryOutcome::kUnknown;
      OnFailedTry(
        aCall, aTry, { outcome, aResult.reason, true, aResult.arrived });
      return;
    }
    aResult.callId = aCall->id;
    if (IsWorthAnotherTry(*aCall, aResult)) {
      const std::string why = "status " + std::to_string(aResult.status);
      aCall->failure = std::move(aResult);
      OnFailedTry(aCall, aTry, { TryOutcome::kUnknown, why, true, true });
      return;
    }
    EndTry(aCall, aTry, true, std::to_string(aResult.status));
    Finish(aCall, std::move(aResult));
  }

  /** A failure that the backend server itself answered. */
  static bool IsWorthAnotherTry(const Call& aCall, const CallResult& aResult)
  {
    return aCall.route.callClass != CallClass::kAtMostOnce &&
           aResult.status >= kFirstServerError &&
           aResult.status != kGatewayTimeout;
  }

  /** How a try failed. */
  struct Failure
  {
    TryOutcome outcome = TryOutcome::kUnknown;
    std::string why;
    bool reached = false; ///< the owner itself answered: its node is sound
    bool arrived = false; ///< the backend server saw the call
  };

  void OnFailedTry(const CallPtr& aCall,
                   const std::string& aTry,
                   const Failure& aFailure)
  {
    if (aCall->over) {
      return;
    }
    EndTry(aCall, aTry, aFailure.reached, aFailure.why);
    const bool arrived =
      aFailure.arrived || aFailure.outcome == TryOutcome::kUnknown;
    aCall->mayHaveRun |= aFailure.outcome == TryOutcome::kUnknown;
    aCall->arrivals += arrived ? 1 : 0;
    aCall->redirects += arrived ? 0 : 1;
    aCall->steps.push_back(
      std::string(NameOf(routing::kTryOutcomeNames, aFailure.outcome)) + ": " +
      aFailure.why);
    if (!aCall->active.empty()) {
      return; // A hedge is still under way.
    }
    const FailedTry failed{ aCall->route.callClass,
                            aFailure.outcome,
                            std::max(1U, aCall->arrivals),
                            aCall->deadline,
                            arrived ? aCall->route.maxTries : kNoLimit,
                            arrived };
    if (const auto refusal =
          aCall->redirects > kMaxRedirects
            ? std::optional(routing::RetryRefusal::kTooManyTries)
            : RetriesFor(aCall->service).Refuse(failed, Now())) {
      const std::string name(NameOf(routing::kRetryRefusalNames, *refusal));
      aCall->steps.push_back("no retry: " + name);
      mServices.metrics.Count("retries_refused_total", { { "reason", name } });
      FinishWithout(aCall, aFailure.why);
      return;
    }
    mServices.metrics.Count("retries_total", {});
    if (!StartTry(aCall)) {
      FinishWithout(aCall,
                    aFailure.why + "; no other backend server is left to try");
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

  /** Returns after which time a call is sent to a second server, if at all. */
  std::optional<Milliseconds> HedgeDelay(const Call& aCall) const
  {
    const Milliseconds target = aCall.route.slowAfter;
    switch (aCall.route.callClass) {
      case CallClass::kCheck:
        return target;
      case CallClass::kAtMostOnce:
        return std::nullopt;
      case CallClass::kIdempotent:
        break;
    }
    const Milliseconds unusual(static_cast<std::int64_t>(
      kUnusualFactor * mPicker.RouteMs(aCall.route.header.name)));
    const auto earliest =
      std::chrono::duration_cast<Milliseconds>(target * kHedgeEarliest);
    const auto latest =
      std::chrono::duration_cast<Milliseconds>(target * kHedgeLatest);
    const Milliseconds delay = std::max(unusual, earliest);
    return delay <= latest && aCall.route.maxTries > 1 ? std::optional(delay)
                                                       : std::nullopt;
  }

  void ScheduleHedge(const CallPtr& aCall)
  {
    const auto delay = HedgeDelay(*aCall);
    if (!delay) {
      return;
    }
    aCall->hedgeTimer = mServices.loop.RunAfter(*delay, [this, aCall] {
      aCall->hedgeTimer = 0;
      if (aCall->active.size() == 1 && aCall->sendings == 1 &&
          RetriesFor(aCall->service).TakeHedge(Now()) && StartTry(aCall)) {
        mServices.metrics.Count("hedges_total", {});
      }
    });
  }

  void FinishWithout(const CallPtr& aCall, const std::string& aReason)
  {
    if (aCall->failure && aCall->failure->outcome == CallOutcome::kAnswered) {
      Finish(aCall, std::move(*aCall->failure));
      return;
    }
    CallResult result = aCall->failure.value_or(CallResult{});
    // A try under way may still run, unless it is known not to.
    const bool mayRun = aCall->mayHaveRun || !aCall->active.empty();
    result.outcome = mayRun ? CallOutcome::kUnknown : CallOutcome::kNotRun;
    result.reason = aReason;
    result.callId = aCall->id;
    result.retryAfter = kRetryAfter;
    const std::string outcome(NameOf(kCallOutcomeNames, result.outcome));
    aCall->steps.push_back(outcome + ": " + aReason);
    mServices.journal.Add({ aCall->id,
                            aCall->request.callId,
                            aCall->request.path,
                            outcome,
                            aCall->steps });
    Finish(aCall, std::move(result));
  }

  /** Gives up a call whose caller left. */
  void Abandon(const CallPtr& aCall)
  {
    if (!aCall->over) {
      mServices.metrics.Count("calls_abandoned_total", {});
      Close(aCall);
    }
  }

  /** Ends what still goes on for a call. */
  void Close(const CallPtr& aCall)
  {
    aCall->over = true;
    --mInFlight;
    mHeld.Forget(std::exchange(aCall->held, 0));
    mServices.loop.Cancel(std::exchange(aCall->hedgeTimer, 0));
    mServices.loop.Cancel(std::exchange(aCall->deadlineTimer, 0));
    for (const auto& it : std::exchange(aCall->active, {})) {
      mPicker.Finish(it.node, true, Now());
      if (it.isLocal) {
        mServices.owner.Cancel(it.request);
      } else {
        mServices.links.Cancel(it.request);
      }
    }
  }

  void Finish(const CallPtr& aCall, CallResult aResult)
  {
    if (aCall->over) {
      return;
    }
    Close(aCall);
    const auto elapsed = Now() - aCall->received;
    const std::string outcome(NameOf(kCallOutcomeNames, aResult.outcome));
    LogCall(*aCall, aResult, elapsed);
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

  /** One line for a call that failed, was tried again or was slow. */
  void LogCall(const Call& aCall,
               const CallResult& aResult,
               std::chrono::nanoseconds aElapsed)
  {
    const bool plain = aResult.outcome == CallOutcome::kAnswered &&
                       aResult.status < kFirstServerError &&
                       aCall.sendings == 1 && aElapsed <= aCall.route.slowAfter;
    const Timestamp now = Now();
    if (plain || !mLogBudget.Take(now)) {
      return;
    }
    std::string steps;
    for (const auto& it : aCall.steps) {
      steps += (steps.empty() ? "" : "; ") + it;
    }
    const auto milliseconds =
      std::chrono::duration_cast<Milliseconds>(aElapsed).count();
    // A call that was never admitted has no deadline of its own.
    const bool isAdmitted = aCall.deadline != Timestamp{};
    const auto left =
      std::chrono::duration_cast<Milliseconds>(aCall.deadline - now).count();
    LogEvent(
      telemetry::LogCategory::kCalls,
      telemetry::LogLevel::kInfo,
      "call",
      { { "id", aCall.request.callId },
        { "call", aCall.id },
        { "route", aCall.route.header.name },
        { "outcome", std::string(NameOf(kCallOutcomeNames, aResult.outcome)) },
        { "status", std::to_string(aResult.status) },
        { "ms", std::to_string(milliseconds) },
        { "left_ms", isAdmitted ? std::to_string(left) : "" },
        { "left_out", std::to_string(mLogBudget.TakeSuppressedCount()) },
        { "steps", steps } });
  }

  struct Limit
  {
    std::uint64_t revision = 0;
    routing::TokenBucket bucket;
  };

  Services mServices;
  Identity mIdentity;
  routing::Picker mPicker;
  std::mt19937_64 mRandom;
  routing::RoutingViewPtr mView;
  std::unordered_map<std::string, routing::RetryPolicy>
    mRetries; ///< by service
  std::unordered_map<std::string, Limit> mLimits;
  std::unordered_map<std::string, routing::ShareSequence> mDraws; ///< by name
  HeldCalls mHeld;
  TimeBudgets mBudgets;
  telemetry::LogRateLimiter mLogBudget{ kLogLinesPerSecond, kLogBurst };
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

CallForwarder::CancelTask
CallForwarder::Forward(CallRequest aRequest, CallCallback aCallback)
{
  return mImpl->Forward(std::move(aRequest), std::move(aCallback));
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
