#include "knapweedpaddle/callers/CallForwarder.h"

#include "TeamAdmission.h"
#include "knapweedpaddle/callers/CallerTimeoutEstimator.h"
#include "knapweedpaddle/callers/HeldCalls.h"
#include "knapweedpaddle/callers/RetryAdvice.h"
#include "knapweedpaddle/nodes/CallCodec.h"
#include "knapweedpaddle/routing/HedgePolicy.h"
#include "knapweedpaddle/routing/LoadBalancer.h"
#include "knapweedpaddle/routing/LowDiscrepancySequence.h"
#include "knapweedpaddle/routing/RepeatPolicy.h"
#include "knapweedpaddle/routing/RetryPolicy.h"
#include "knapweedpaddle/telemetry/Log.h"
#include "knapweedpaddle/telemetry/LogRateLimiter.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <unordered_map>
#include <unordered_set>

namespace knapweedpaddle::callers {

using backends::ForwardedCall;
using config::CallClass;
using nodes::LinkError;
using nodes::LinkReason;
using nodes::LinkResponse;
using routing::FailedTry;
using routing::TryOutcome;

namespace {

constexpr Milliseconds kMinTimeout{ 1 };
/** A call that can't be forwarded yet is held for this long at most. Close()
 * has an effect for as long. */
constexpr Milliseconds kMaxHold{ 1000 };
/** A call is held for a third of its timeout at most, so that its caller has
 * time left to try another node. */
constexpr int kHoldTimeoutDivisor = 3;
/** A call is not retried once more than this many of its tries did not reach a
 * backend server. */
constexpr std::uint32_t kMaxTriesNotArrived = 4;
constexpr std::uint32_t kUnlimitedTries = 0xffffffff;
constexpr double kLogLinesPerSecond = 20;
constexpr double kLogBurst = 100;
constexpr int kFirstServerError = 500;
constexpr int kGatewayTimeout = 504;
constexpr const char* kCrashRefusal =
  "backend servers crashed while they ran this request";

/** Returns whether a try that failed with a link error may have run. */
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
  /** One try of a call at one owner node. */
  struct Try
  {
    nodes::NodeId node = nodes::kNoNode;
    std::string id;
    bool isLocal = false; ///< this node is the owner
    /** Id of the request in LinkClient, or in BackendDispatcher if local. */
    std::uint64_t request = 0;
    telemetry::TraceContext span;
    Timestamp sentAt;
    std::int64_t sentAtWallMicroseconds = 0;
  };

  /** A call with the state of its tries. */
  struct Call
  {
    std::string id;
    CallRequest request;
    CallResultCallback callback;
    config::RouteEntry route;
    std::string service; ///< service of the route chosen for this call
    Timestamp receivedAt;
    Microseconds receivedAtBoot{}; ///< receivedAt as a boot time, or later
    std::int64_t receivedAtWallMicroseconds = 0;
    Timestamp deadline;
    Timestamp targetDeadline; ///< when the latency target ends
    telemetry::TraceContext trace;
    std::string parentSpan;
    std::vector<routing::VersionSelector> versions; ///< to try, in order
    std::vector<nodes::NodeId> tried;
    std::vector<Try> active;     ///< tries without a result
    std::uint32_t triesSent = 0; ///< tries sent to owner nodes
    /** Tries that reached a backend server, or may have reached it. */
    std::uint32_t triesArrived = 0;
    /** Tries that did not reach a backend server. */
    std::uint32_t triesNotArrived = 0;
    bool mayHaveRun = false; ///< a failed try may have been executed
    RetryAdvice retryAdvice; ///< from the servers that refused the call
    /** When the caller may try again, if the call was not admitted. */
    std::optional<Milliseconds> retryAfter;
    std::string team; ///< whose allowance the call is taken from, or empty
    std::uint32_t priority = 0; ///< of the team, or else of the route
    bool finished = false;
    /** Result to return if no other try succeeds. */
    std::optional<CallResult> failure;
    HeldCalls::HoldId holdId = 0;
    runtime::EventLoop::TimerId hedgeTimer = 0;
    runtime::EventLoop::TimerId deadlineTimer = 0;
    std::vector<std::string> steps; ///< what happened, for log and journal
  };

  using CallPtr = std::shared_ptr<Call>;

  Impl(Services aServices, Identity aIdentity, std::uint64_t aSeed)
    : mServices(aServices)
    , mIdentity(std::move(aIdentity))
    , mBalancer(routing::LoadBalancerOptions{}, aSeed)
    , mRandom(aSeed + 1)
    , mView(std::make_shared<routing::RoutingView>())
    , mRepeats(mIdentity.maxConfigApplyTime)
    , mTeams({ mIdentity.keyHeader,
               mIdentity.teamHeader,
               mIdentity.maxKeyAge,
               mIdentity.allowanceSlots },
             mServices.metrics)
    , mHeldCalls(aServices.loop)
  {
  }

  void SetView(routing::RoutingViewPtr aView)
  {
    mView = std::move(aView);
    for (auto& [service, policy] : mRetryPolicies) {
      policy.SetOptions(mView->retries);
    }
    if (!mClosedAt) {
      mHeldCalls.ResumeAll();
    }
  }

  void ConfirmConfig(Microseconds aAsOf)
  {
    mRepeats.Confirm(aAsOf);
    const bool wereKeysHeld = mTeams.AwaitsConfirmation(*mView);
    mTeams.Confirm(aAsOf);
    if (wereKeysHeld && !mClosedAt) {
      mHeldCalls.ResumeAll();
    }
    if (mClosedAt && aAsOf >= *mClosedAt) {
      Open();
    }
  }

  void Close()
  {
    mClosedAt = BootTime();
    mServices.loop.Cancel(std::exchange(mOpenTimer, 0));
    mOpenTimer = mServices.loop.RunAfter(kMaxHold, [this] {
      mServices.metrics.Count("opened_unconfirmed_total", {});
      Open();
    });
  }

  void UpdateAllowances(const AllowanceUpdate& aUpdate)
  {
    mTeams.Allowances().OnUpdate(aUpdate);
  }

  std::vector<TeamUsage> TakeTeamUsages()
  {
    return mTeams.Allowances().TakeUsages(BootTime());
  }

  bool HasTeamSurge() { return mTeams.Allowances().HasSurge(); }

  void BeginStop(const StopWindow& aWindow) { mStopWindow = aWindow; }

  void Drain()
  {
    mDraining = true;
    mHeldCalls.RejectAll();
  }

  void EndAll(const std::string& aReason)
  {
    const auto calls = mCalls;
    for (const auto& it : calls) {
      FinishUnanswered(it, aReason);
    }
  }

  std::size_t InFlight() const { return mCalls.size(); }

  CancelTask Forward(CallRequest aRequest, CallResultCallback aCallback)
  {
    auto call = std::make_shared<Call>();
    call->id = NewId();
    call->request = std::move(aRequest);
    call->callback = std::move(aCallback);
    call->receivedAt = call->request.receivedAt == Timestamp{}
                         ? Now()
                         : call->request.receivedAt;
    call->receivedAtBoot =
      BootTime() -
      std::chrono::duration_cast<Microseconds>(Now() - call->receivedAt);
    call->receivedAtWallMicroseconds = WallMicroseconds();
    const auto parent = mServices.tracer.Begin(call->request.traceparent);
    call->parentSpan = parent.spanId;
    call->trace = mServices.tracer.Child(parent);
    mCalls.insert(call);

    Start(call);
    return call->finished ? CancelTask()
                          : [this, call] { CancelByCaller(call); };
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

  /** Ends Close(). */
  void Open()
  {
    mClosedAt.reset();
    mServices.loop.Cancel(std::exchange(mOpenTimer, 0));
    mHeldCalls.ResumeAll();
  }

  /** Returns true if calls may be routed with the current view. */
  bool IsOpen() const { return mView->open && !mClosedAt; }

  /** Admits a call and starts its first try; without a configuration, the call
   * is held. */
  void Start(const CallPtr& aCall)
  {
    if ((!IsOpen() || mTeams.AwaitsConfirmation(*mView)) && !mDraining) {
      Hold(aCall,
           "this node does not hold a configuration that it may serve yet",
           [this, aCall] { Start(aCall); });
      return;
    }
    if (const std::string refusal = Admit(*aCall); !refusal.empty()) {
      FinishUnanswered(aCall, refusal);
      return;
    }
    aCall->deadlineTimer = mServices.loop.RunAfter(
      std::chrono::ceil<Milliseconds>(aCall->deadline - Now()), [this, aCall] {
        aCall->deadlineTimer = 0;
        FinishUnanswered(aCall, "the deadline passed");
      });
    RetryPolicyFor(aCall->service).CountCall();
    HedgePolicyFor(aCall->service).CountCall(Now());
    StartFirstTry(aCall);
  }

  /** Starts the first try; holds the call while no backend server is known. */
  void StartFirstTry(const CallPtr& aCall)
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
    if (mView->IsEvacuated(aCall->service)) {
      FinishUnanswered(aCall,
                       "the zones of all backend servers of service \"" +
                         aCall->service + "\" are evacuated");
      return;
    }
    Hold(aCall,
         "no backend server of service \"" + aCall->service + "\" is known",
         [this, aCall] { StartFirstTry(aCall); });
  }

  /** Holds a call until the next routing view, or rejects it after a part of
   * its timeout. */
  void Hold(const CallPtr& aCall,
            const std::string& aReason,
            HeldCalls::Task aResume)
  {
    const Milliseconds time =
      aCall->request.timeout.value_or(kMaxHold * kHoldTimeoutDivisor);
    const Milliseconds left =
      std::min(kMaxHold, time / kHoldTimeoutDivisor) -
      std::chrono::duration_cast<Milliseconds>(Now() - aCall->receivedAt);
    if (left > Milliseconds(0) && !mDraining) {
      aCall->holdId =
        mHeldCalls.Hold(left, std::move(aResume), [this, aCall, aReason] {
          FinishUnanswered(aCall, aReason);
        });
    } else {
      aCall->holdId = 0;
    }
    if (aCall->holdId == 0) {
      FinishUnanswered(aCall, aReason);
      return;
    }
    aCall->steps.push_back("held: " + aReason);
    mServices.metrics.Count("calls_held_total", {});
  }

  /** Finds the route of a call and applies its limit; returns the reason why
   * the call is refused, or "". */
  std::string Admit(Call& aCall)
  {
    if (mDraining) {
      return "this node is shutting down";
    }
    const config::RouteEntry* route = FindRoute(aCall.request);
    if (!route) {
      aCall.failure.emplace().cause = RefusalCause::kRouteMissing;
      return "no route matches path \"" + aCall.request.path + "\" of host \"" +
             aCall.request.host + "\"";
    }
    aCall.route = *route;
    auto timeout = route->timeout;
    aCall.targetDeadline = aCall.receivedAt + route->slowAfter;
    if (const auto& left = aCall.request.timeout) {
      timeout = std::min(timeout, *left);
      aCall.targetDeadline -= mCallerTimeouts.TimeSinceFirstTry(
        route->header.name, *left, aCall.receivedAt);
    }
    aCall.deadline = aCall.receivedAt + timeout;
    const Timestamp now = Now();
    if (aCall.deadline < now + kMinTimeout) {
      return "the deadline has passed";
    }
    if (CrashesServers(aCall)) {
      return kCrashRefusal;
    }
    if (!mStopWindow.Takes(now, aCall.deadline)) {
      return "this node is stopping and may exit before the call ends";
    }
    if (!route->limit.empty() && !TakeLimit(route->limit, aCall.receivedAt)) {
      return "limit \"" + route->limit + "\" is exceeded";
    }
    if (std::string refusal = AdmitTeam(aCall); !refusal.empty()) {
      return refusal;
    }
    aCall.service = DrawService(*route);
    aCall.steps.push_back("route " + route->header.name + " of version " +
                          std::to_string(mView->config->version) +
                          " to service " + aCall.service);
    return {};
  }

  /** Finds the team of a call and takes the call from its allowance; returns
   * the reason why the call is refused, or "". */
  std::string AdmitTeam(Call& aCall)
  {
    aCall.priority = aCall.route.priority;
    auto admission =
      mTeams.Admit(aCall.request, aCall.route, *mView, aCall.receivedAtBoot);
    if (!admission.reason.empty()) {
      aCall.failure.emplace().cause = admission.cause;
      aCall.retryAfter = admission.retryAfter;
      return admission.reason;
    }
    aCall.team = std::move(admission.team);
    aCall.priority = admission.priority.value_or(aCall.priority);
    return {};
  }

  /** Returns the route of a request in the newest known configuration. */
  const config::RouteEntry* FindRoute(const CallRequest& aRequest) const
  {
    return mView->FindRoute(aRequest.host,
                            aRequest.path.substr(0, aRequest.path.find('?')));
  }

  /** Returns why a call that may have run must not run again, if it must not.
   */
  std::optional<routing::RetryRefusal> CheckRepeat(const Call& aCall) const
  {
    return mRepeats.CheckRepeat(
      aCall.route.callClass, FindRoute(aCall.request), aCall.receivedAtBoot);
  }

  bool CrashesServers(const Call& aCall) const
  {
    const CallRequest& request = aCall.request;
    return mServices.dispatcher.CrashesServers(
      request.method, request.path, request.body);
  }

  /** Chooses the service for the next call of a route by the split weights. */
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

  /** Takes a token of a limit; false when the limit is exceeded. */
  bool TakeLimit(const std::string& aName, Timestamp aNow)
  {
    const auto* entry =
      mView->config->Get<config::LimitEntry>(config::EntryKind::kLimit, aName);
    const auto it = mLimits.find(aName);
    if (it == mLimits.end() || it->second.revision != entry->header.revision) {
      mLimits.insert_or_assign(
        aName,
        RateLimit{ entry->header.revision,
                   routing::TokenBucket(entry->ratePerSecond, entry->burst) });
    }
    return mLimits.at(aName).bucket.Take(aNow);
  }

  /** Returns the next number in [0, 1) of the evenly distributed sequence of
   * that name. */
  double Draw(const std::string& aSequence)
  {
    const double start = std::uniform_real_distribution<double>(0, 1)(mRandom);
    return mSequences.try_emplace(aSequence, start).first->second.Next();
  }

  routing::RetryPolicy& RetryPolicyFor(const std::string& aService)
  {
    return mRetryPolicies.try_emplace(aService, mView->retries).first->second;
  }

  routing::HedgePolicy& HedgePolicyFor(const std::string& aService)
  {
    return mHedgePolicies.try_emplace(aService, mIdentity.hedgeShare)
      .first->second;
  }

  routing::PickCriteria QueryFor(
    const Call& aCall,
    const routing::VersionSelector& aVersions) const
  {
    return { aCall.service,           aVersions,
             mIdentity.zone,          aCall.tried,
             aCall.route.header.name, aCall.route.slowAfter };
  }

  /** Returns the best target of the first version that has one, or null. */
  const routing::Target* Choose(const Call& aCall)
  {
    for (const auto& it : aCall.versions) {
      if (const auto* target =
            mBalancer.Pick(*mView, QueryFor(aCall, it), Now())) {
        return target;
      }
    }
    return nullptr;
  }

  /** Sends a call to the owner of the best backend server; false if there is
   * none, or too little time is left. */
  bool StartTry(const CallPtr& aCall)
  {
    const routing::Target* target = Choose(*aCall);
    const Timestamp now = Now();
    // A retry without enough time to complete only loads the backend server.
    const Milliseconds minTimeLeft =
      aCall->triesSent == 0 ? kMinTimeout : aCall->route.slowAfter / 4;
    if (!target || now + minTimeLeft > aCall->deadline) {
      return false;
    }
    Try next;
    next.node = target->node;
    next.id = aCall->id + "." + std::to_string(++aCall->triesSent);
    next.isLocal = target->node == mIdentity.node;
    next.span = mServices.tracer.Child(aCall->trace);
    next.sentAt = now;
    next.sentAtWallMicroseconds = WallMicroseconds();
    aCall->tried.push_back(target->node);
    aCall->steps.push_back("try " + std::to_string(aCall->triesSent) + ": " +
                           ToString(target->node) + " in " + target->zone +
                           ", version " + target->version + ", expected " +
                           std::to_string(std::lround(mBalancer.Cost(
                             *target, QueryFor(*aCall, {}), now))) +
                           " ms");
    mBalancer.Start(target->node);
    ForwardedCall forwarded = MakeForwardedCall(*aCall, next, target->version);
    const std::string id = next.id;
    if (next.isLocal) {
      next.request = mServices.dispatcher.Run(
        std::move(forwarded), [this, aCall, id](CallResult aResult) {
          NoteLoad(*aCall,
                   mIdentity.node,
                   aResult,
                   mServices.dispatcher.Load(aCall->route.header.name));
          OnResult(aCall, id, std::move(aResult));
        });
    } else {
      next.request = mServices.links.Send(
        target->linkAddress,
        nodes::EncodeCall(forwarded, now),
        [this, aCall, id](std::optional<LinkResponse> aResponse,
                          const LinkReason& aReason) {
          OnLinkAnswer(aCall, id, std::move(aResponse), aReason);
        });
    }
    aCall->active.push_back(std::move(next));
    return true;
  }

  ForwardedCall MakeForwardedCall(const Call& aCall,
                                  const Try& aTry,
                                  const std::string& aVersion) const
  {
    ForwardedCall forwarded;
    forwarded.callId = aTry.id;
    forwarded.service = aCall.service;
    forwarded.version = aVersion;
    forwarded.route = aCall.route.header.name;
    forwarded.callClass = aCall.route.callClass;
    forwarded.priority = aCall.priority;
    forwarded.team = aCall.team;
    forwarded.configVersion = mView->config->version;
    if (!aCall.request.idempotencyKey.empty()) {
      forwarded.idempotencyKey =
        aCall.route.header.name + "/" + aCall.request.idempotencyKey;
    }
    forwarded.deadline = aCall.deadline;
    forwarded.slowAfter = aCall.route.slowAfter;
    forwarded.targetDeadline = aCall.targetDeadline;
    forwarded.trace = aTry.span;
    forwarded.method = aCall.request.method;
    forwarded.path = aCall.request.path;
    forwarded.headers = aCall.request.headers;
    forwarded.body = aCall.request.body;
    if (const auto it = mLeavingServers.find(aTry.node);
        it != mLeavingServers.end()) {
      forwarded.leavingServer = it->second;
    }
    return forwarded;
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
                    "the answer of the owner node is incomplete or invalid",
                    false,
                    false });
      return;
    }
    for (const auto& it : aCall->active) {
      if (it.id == aTry) {
        NoteLoad(*aCall, it.node, decoded->result, decoded->load);
      }
    }
    OnResult(aCall, aTry, std::move(decoded->result));
  }

  /** Takes the load that a server reported with the result of a try. */
  void NoteLoad(Call& aCall,
                nodes::NodeId aNode,
                const CallResult& aResult,
                const backends::ServerLoad& aLoad)
  {
    mBalancer.ReportLoad(aNode, aCall.route.header.name, aLoad, Now());
    if (aResult.outcome == CallOutcome::kNotRun) {
      aCall.retryAdvice.AddRefusal(aLoad);
    }
    if (!aResult.leavingServer.empty()) {
      mLeavingServers[aNode] = aResult.leavingServer;
    }
  }

  void OnResult(const CallPtr& aCall,
                const std::string& aTry,
                CallResult aResult)
  {
    if (aCall->finished) {
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
    if (IsRetryableFailure(*aCall, aResult)) {
      const std::string reason = "status " + std::to_string(aResult.status);
      aCall->failure = std::move(aResult);
      OnFailedTry(aCall, aTry, { TryOutcome::kUnknown, reason, true, true });
      return;
    }
    EndTry(aCall, aTry, true, std::to_string(aResult.status));
    Finish(aCall, std::move(aResult));
  }

  /** Returns true for an error status of the backend server that permits a
   * retry. */
  static bool IsRetryableFailure(const Call& aCall, const CallResult& aResult)
  {
    return aCall.route.callClass != CallClass::kAtMostOnce &&
           aResult.status >= kFirstServerError &&
           aResult.status != kGatewayTimeout;
  }

  /** Why and at which point a try failed. */
  struct Failure
  {
    TryOutcome outcome = TryOutcome::kUnknown;
    std::string reason;
    bool ownerAnswered = false; ///< the owner node responded, so it is healthy
    bool arrived = false;       ///< the backend server received the call
  };

  void OnFailedTry(const CallPtr& aCall,
                   const std::string& aTry,
                   const Failure& aFailure)
  {
    if (aCall->finished) {
      return;
    }
    EndTry(aCall, aTry, aFailure.ownerAnswered, aFailure.reason);
    const bool arrived =
      aFailure.arrived || aFailure.outcome == TryOutcome::kUnknown;
    aCall->mayHaveRun |= aFailure.outcome == TryOutcome::kUnknown;
    if (aFailure.ownerAnswered && aFailure.outcome == TryOutcome::kNotRun) {
      HedgePolicyFor(aCall->service).CountRefusal(Now());
    }
    aCall->triesArrived += arrived ? 1 : 0;
    aCall->triesNotArrived += arrived ? 0 : 1;
    aCall->steps.push_back(
      std::string(NameOf(routing::kTryOutcomeNames, aFailure.outcome)) + ": " +
      aFailure.reason);
    if (!aCall->active.empty()) {
      return; // Another try, the original or its hedge, may still succeed.
    }
    const FailedTry failed{ aCall->route.callClass,
                            aFailure.outcome,
                            std::max(1U, aCall->triesArrived),
                            aCall->deadline,
                            arrived ? aCall->route.maxTries : kUnlimitedTries,
                            arrived };
    if (const auto refusal = CheckRetry(*aCall, failed)) {
      const std::string name(NameOf(routing::kRetryRefusalNames, *refusal));
      aCall->steps.push_back("no retry: " + name);
      mServices.metrics.Count("retries_refused_total", { { "reason", name } });
      FinishUnanswered(aCall, aFailure.reason);
      return;
    }
    if (CrashesServers(*aCall)) {
      FinishUnanswered(aCall, kCrashRefusal);
      return;
    }
    mServices.metrics.Count("retries_total", {});
    if (!StartTry(aCall)) {
      FinishUnanswered(
        aCall, aFailure.reason + "; no other backend server is left to try");
    }
  }

  /** Returns why a call is not retried after a failed try; takes the retry
   * from the budget if it is. */
  std::optional<routing::RetryRefusal> CheckRetry(const Call& aCall,
                                                  const FailedTry& aFailed)
  {
    if (aCall.triesNotArrived > kMaxTriesNotArrived) {
      return routing::RetryRefusal::kTooManyTries;
    }
    if (aCall.mayHaveRun) {
      if (const auto refusal = CheckRepeat(aCall)) {
        return refusal;
      }
    }
    return RetryPolicyFor(aCall.service).CheckRetry(aFailed, Now());
  }

  void EndTry(const CallPtr& aCall,
              const std::string& aTry,
              bool aOwnerAnswered,
              const std::string& aDetail)
  {
    const auto it = std::ranges::find(aCall->active, aTry, &Try::id);
    if (it == aCall->active.end()) {
      return;
    }
    const Timestamp now = Now();
    mBalancer.Finish(it->node, aOwnerAnswered, now);
    if (it->span.sampled) {
      const auto elapsed =
        std::chrono::duration_cast<Microseconds>(now - it->sentAt);
      mServices.tracer.Record({ it->span.traceId,
                                it->span.spanId,
                                aCall->trace.spanId,
                                it->isLocal ? "own backend server" : "link",
                                it->sentAtWallMicroseconds,
                                elapsed.count(),
                                aDetail });
    }
    aCall->active.erase(it);
  }

  /** Sends a call that is still unanswered after its hedge delay to a second
   * server. */
  void ScheduleHedge(const CallPtr& aCall)
  {
    const auto delay = routing::HedgePolicy::DelayOf(
      aCall->route, mBalancer.RouteMs(aCall->route.header.name));
    if (!delay) {
      return;
    }
    aCall->hedgeTimer = mServices.loop.RunAfter(*delay, [this, aCall] {
      aCall->hedgeTimer = 0;
      if (aCall->active.size() != 1 || aCall->triesSent != 1) {
        return;
      }
      const std::string refusal = CheckHedge(*aCall);
      if (!refusal.empty()) {
        aCall->steps.push_back("no hedge: " + refusal);
        mServices.metrics.Count("hedges_refused_total",
                                { { "reason", refusal } });
        return;
      }
      if (StartTry(aCall)) {
        mServices.metrics.Count("hedges_total", {});
      }
    });
  }

  /** Takes a hedge from the budgets; returns why it must not be sent, or "". */
  std::string CheckHedge(const Call& aCall)
  {
    if (const auto refusal = CheckRepeat(aCall)) {
      return std::string(NameOf(routing::kRetryRefusalNames, *refusal));
    }
    if (const auto refusal = HedgePolicyFor(aCall.service).Check(Now())) {
      return std::string(NameOf(routing::kHedgeRefusalNames, *refusal));
    }
    return RetryPolicyFor(aCall.service).TakeHedge(Now()) ? "" : "budget_spent";
  }

  /** Finishes a call that no further try can answer, with the failure response
   * of a backend server if there was one. */
  void FinishUnanswered(const CallPtr& aCall, const std::string& aReason)
  {
    if (aCall->finished) {
      return;
    }
    if (aCall->failure && aCall->failure->outcome == CallOutcome::kAnswered) {
      Finish(aCall, std::move(*aCall->failure));
      return;
    }
    CallResult result = aCall->failure.value_or(CallResult{});
    // A try without a result may still run.
    const bool mayRun = aCall->mayHaveRun || !aCall->active.empty();
    result.outcome = mayRun ? CallOutcome::kUnknown : CallOutcome::kNotRun;
    result.reason = aReason;
    result.callId = aCall->id;
    result.retryAfter =
      aCall->retryAfter.value_or(aCall->retryAdvice.RetryAfter());
    const std::string outcome(NameOf(kCallOutcomeNames, result.outcome));
    aCall->steps.push_back(outcome + ": " + aReason);
    mServices.journal.Add({ aCall->id,
                            aCall->request.callId,
                            aCall->request.path,
                            outcome,
                            aCall->steps });
    Finish(aCall, std::move(result));
  }

  /** Cancels a call whose caller has disconnected. */
  void CancelByCaller(const CallPtr& aCall)
  {
    if (!aCall->finished) {
      mServices.metrics.Count("calls_abandoned_total", {});
      LogAbandoned(*aCall);
      StopCall(aCall);
    }
  }

  /** Logs a call whose caller disconnected before the answer. */
  void LogAbandoned(const Call& aCall)
  {
    const Timestamp now = Now();
    if (!mLogLimiter.Take(now)) {
      return;
    }
    LogEvent(
      telemetry::LogCategory::kCalls,
      telemetry::LogLevel::kInfo,
      "call_abandoned",
      { { "id", aCall.request.callId },
        { "call", aCall.id },
        { "route", aCall.route.header.name },
        { "ms",
          std::to_string(
            std::chrono::duration_cast<Milliseconds>(now - aCall.receivedAt)
              .count()) },
        { "active", std::to_string(aCall.active.size()) },
        { "left_out", std::to_string(mLogLimiter.TakeSuppressedCount()) },
        { "steps", JoinSteps(aCall) } });
  }

  /** Marks a call as finished and cancels its timers and active tries. */
  void StopCall(const CallPtr& aCall)
  {
    aCall->finished = true;
    mCalls.erase(aCall);
    mHeldCalls.Remove(std::exchange(aCall->holdId, 0));
    mServices.loop.Cancel(std::exchange(aCall->hedgeTimer, 0));
    mServices.loop.Cancel(std::exchange(aCall->deadlineTimer, 0));
    for (const auto& it : std::exchange(aCall->active, {})) {
      mBalancer.Abandon(it.node);
      if (it.isLocal) {
        mServices.dispatcher.Cancel(it.request);
      } else {
        mServices.links.Cancel(it.request);
      }
    }
  }

  void Finish(const CallPtr& aCall, CallResult aResult)
  {
    if (aCall->finished) {
      return;
    }
    StopCall(aCall);
    if (aResult.outcome == CallOutcome::kNotRun && !aCall->team.empty()) {
      mTeams.Allowances().Refund(aCall->team);
    }
    const auto elapsed = Now() - aCall->receivedAt;
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
          aCall->receivedAtWallMicroseconds,
          std::chrono::duration_cast<Microseconds>(elapsed).count(),
          outcome });
    }
    aCall->callback(std::move(aResult));
  }

  /** Logs a call that failed, was retried or was slow. */
  void LogCall(const Call& aCall,
               const CallResult& aResult,
               std::chrono::nanoseconds aElapsed)
  {
    const bool routine = aResult.outcome == CallOutcome::kAnswered &&
                         aResult.status < kFirstServerError &&
                         aCall.triesSent == 1 &&
                         aElapsed <= aCall.route.slowAfter;
    const Timestamp now = Now();
    if (routine || !mLogLimiter.Take(now)) {
      return;
    }
    const auto milliseconds =
      std::chrono::duration_cast<Milliseconds>(aElapsed).count();
    // A call that was not admitted has no deadline.
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
        { "team", aCall.team },
        { "outcome", std::string(NameOf(kCallOutcomeNames, aResult.outcome)) },
        { "status", std::to_string(aResult.status) },
        { "ms", std::to_string(milliseconds) },
        { "left_ms", isAdmitted ? std::to_string(left) : "" },
        { "left_out", std::to_string(mLogLimiter.TakeSuppressedCount()) },
        { "steps", JoinSteps(aCall) } });
  }

  static std::string JoinSteps(const Call& aCall)
  {
    std::string steps;
    for (const auto& it : aCall.steps) {
      steps += (steps.empty() ? "" : "; ") + it;
    }
    return steps;
  }

  /** Token bucket for one revision of a limit entry. */
  struct RateLimit
  {
    std::uint64_t revision = 0;
    routing::TokenBucket bucket;
  };

  Services mServices;
  Identity mIdentity;
  routing::LoadBalancer mBalancer;
  std::mt19937_64 mRandom;
  routing::RoutingViewPtr mView;
  routing::RepeatPolicy mRepeats;
  TeamAdmission mTeams;
  /** Retry policies, keyed by service. */
  std::unordered_map<std::string, routing::RetryPolicy> mRetryPolicies;
  /** Hedge policies, keyed by service. */
  std::unordered_map<std::string, routing::HedgePolicy> mHedgePolicies;
  std::unordered_map<std::string, RateLimit> mLimits;
  /** Sequences that spread calls over services and versions, keyed by name. */
  std::unordered_map<std::string, routing::LowDiscrepancySequence> mSequences;
  /** The last server of each owner whose answer said that it leaves. An owner
   * that was restarted since may not know it. */
  std::map<nodes::NodeId, std::string> mLeavingServers;
  HeldCalls mHeldCalls;
  CallerTimeoutEstimator mCallerTimeouts;
  telemetry::LogRateLimiter mLogLimiter{ kLogLinesPerSecond, kLogBurst };
  std::unordered_set<CallPtr> mCalls; ///< calls without a result
  StopWindow mStopWindow;
  bool mDraining = false;
  /** Boot time of Close(), until calls may be routed again. */
  std::optional<Microseconds> mClosedAt;
  runtime::EventLoop::TimerId mOpenTimer = 0;
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
CallForwarder::ConfirmConfig(Microseconds aAsOf)
{
  mImpl->ConfirmConfig(aAsOf);
}

void
CallForwarder::UpdateAllowances(const AllowanceUpdate& aUpdate)
{
  mImpl->UpdateAllowances(aUpdate);
}

std::vector<TeamUsage>
CallForwarder::TakeTeamUsages()
{
  return mImpl->TakeTeamUsages();
}

bool
CallForwarder::HasTeamSurge() const
{
  return mImpl->HasTeamSurge();
}

void
CallForwarder::Close()
{
  mImpl->Close();
}

CallForwarder::CancelTask
CallForwarder::Forward(CallRequest aRequest, CallResultCallback aCallback)
{
  return mImpl->Forward(std::move(aRequest), std::move(aCallback));
}

void
CallForwarder::BeginStop(const StopWindow& aWindow)
{
  mImpl->BeginStop(aWindow);
}

void
CallForwarder::Drain()
{
  mImpl->Drain();
}

void
CallForwarder::EndAll(const std::string& aReason)
{
  mImpl->EndAll(aReason);
}

std::size_t
CallForwarder::InFlight() const
{
  return mImpl->InFlight();
}

} // namespace knapweedpaddle::callers
