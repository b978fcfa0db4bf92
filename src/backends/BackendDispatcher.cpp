#include "knapweedpaddle/backends/BackendDispatcher.h"

#include "AnswerReader.h"
#include "ServerWarmup.h"
#include "knapweedpaddle/backends/CrashDetector.h"
#include "knapweedpaddle/backends/DepartedServers.h"
#include "knapweedpaddle/backends/ServerRateLimit.h"
#include "knapweedpaddle/http/Client.h"
#include "knapweedpaddle/telemetry/Log.h"
#include "knapweedpaddle/telemetry/LogRateLimiter.h"

#include <cmath>

namespace knapweedpaddle::backends {

using callers::CallOutcome;
using callers::CallResult;
using http::ClientError;
using http::ClientReason;
using runtime::EventLoop;

namespace {

/** How often queued calls are checked for their deadline. */
constexpr Milliseconds kMaxQueueCheckInterval{ 25 };
/** Connections that were idle for longer are not reused. */
constexpr Milliseconds kMaxConnectionIdle{ 4000 };
/** An at-most-once call can't be retried when its connection turns out to be
 * dead, so it reuses only recently used connections. */
constexpr Milliseconds kMaxConnectionIdleAtMostOnce{ 250 };
/** How long calls are refused after the backend server was unreachable. */
constexpr Milliseconds kUnreachableBackoff{ 200 };
constexpr double kLogLinesPerSecond = 20;
constexpr double kLogBurst = 100;
constexpr int kFirstServerError = 500;
/** Weight of one call in the moving average of the failure share. */
constexpr double kFailureShareSmoothing = 0.05;
/** Weight of one call in the moving average of a route's service time. */
constexpr double kRouteTimeSmoothing = 0.1;
constexpr double kPercent = 100;
constexpr const char* kCrashRefusal =
  "backend servers crashed while they ran this request";
/** Value of the metric for the rate limit while the server names none. */
constexpr double kNoRateLimit = -1;

/** Returns true if both are the same start of the same server. */
bool
IsSameStart(const BackendServer& aFirst, const BackendServer& aSecond)
{
  return aFirst.id == aSecond.id && aFirst.address == aSecond.address &&
         aFirst.startedAtMs == aSecond.startedAtMs;
}

CallResult
NotRunResult(const ForwardedCall& aCall, std::string aReason)
{
  CallResult result;
  result.outcome = CallOutcome::kNotRun;
  result.reason = std::move(aReason);
  result.callId = aCall.callId;
  return result;
}

} // namespace

class BackendDispatcher::Impl
{
public:
  /** A call whose callback has not run yet. */
  struct PendingCall
  {
    ForwardedCall call;
    callers::CallResultCallback callback;
    bool holdsSlot = false;
    bool dispatched = false;
    bool countedSlow = false; ///< counted as slow before it ended
    BackendServer server;     ///< server to which the call was dispatched
    http::Client::RequestId request = 0;
    Timestamp admittedAt;
    Timestamp sentAt;
    std::int64_t sentAtWallMicroseconds = 0;
  };

  Impl(Services aServices, std::uint32_t aCheckSlots)
    : mServices(std::move(aServices))
    , mAnswers(mServices.dialect)
    , mHttp(mServices.loop, ClientOptionsFor(mServices.dialect))
    , mWarmup({ mServices.loop, mServices.metrics, mServices.dialect })
    , mSlots(aCheckSlots,
             mRateLimit,
             mWarmup.Limit(),
             [this](std::uint64_t aId, std::optional<SlotRefusal> aRefusal) {
               OnQueueDecision(aId, aRefusal);
             })
  {
  }

  void SetBackend(std::optional<BackendServer> aBackend)
  {
    if (aBackend &&
        mDepartedServers.Contains(aBackend->id, aBackend->startedAtMs)) {
      aBackend.reset();
    }
    if (mBackend && aBackend && !IsSameStart(*mBackend, *aBackend)) {
      mUnreachableUntil = {};
      mRateLimit.Lift();
      OnServerDown();
    }
    mBackend = std::move(aBackend);
    if (mBackend) {
      mHttp.SetAddress(mBackend->address);
    }
    mWarmup.SetServer(mBackend);
    UpdateSlots();
  }

  void SetWarmup(WarmupTable aTable) { mWarmup.SetTable(std::move(aTable)); }

  void SetEvacuated(bool aEvacuated)
  {
    if (std::exchange(mIsEvacuated, aEvacuated) != aEvacuated) {
      UpdateSlots();
    }
  }

  void OnPause() { mWarmup.OnServerAway(); }

  void OnTick() { mWarmup.OnTick(); }

  std::string CheckRefusal(const ForwardedCall& aCall)
  {
    if (std::string reason = CheckServer(aCall); !reason.empty()) {
      return reason;
    }
    const auto refusal = mSlots.CheckRefusal(SlotRequestFor(0, aCall), Now());
    return refusal ? std::string(NameOf(kSlotRefusalNames, *refusal)) : "";
  }

  RunId Run(ForwardedCall aCall, callers::CallResultCallback aCallback)
  {
    const RunId id = ++mLastRun;
    PendingCall& pending = mPending[id];
    pending.call = std::move(aCall);
    pending.callback = std::move(aCallback);
    pending.admittedAt = Now();
    Admit(id);
    return id;
  }

  void Cancel(RunId aRun)
  {
    const auto it = mPending.find(aRun);
    if (it == mPending.end()) {
      return;
    }
    LogCancelled(it->second);
    mSlots.Cancel(aRun);
    if (it->second.dispatched) {
      mHttp.Cancel(it->second.request);
    }
    const bool heldSlot = it->second.holdsSlot;
    const auto callClass = it->second.call.callClass;
    mPending.erase(it);
    if (heldSlot) {
      mSlots.Release(callClass, std::nullopt, Now());
    }
  }

  bool CrashesServers(const std::string& aMethod,
                      const std::string& aPath,
                      const std::string& aBody) const
  {
    return mCrashes.HasSuspects() &&
           mCrashes.IsBlocked(CrashDetector::HashOf(aMethod, aPath, aBody));
  }

  void SetSuspectsOfOtherNodes(CrashSuspects aSuspects)
  {
    mCrashes.SetOtherNodes(std::move(aSuspects));
  }

  std::vector<CrashSuspect> ReportSuspects() { return mCrashes.Report(Now()); }

  void BeginStop(const StopWindow& aWindow) { mStopWindow = aWindow; }

  void Drain() { mSlots.Drain(); }

  std::size_t InFlight() const { return mPending.size(); }

  ServerLoad Load(const std::string& aRoute) const
  {
    const Timestamp now = Now();
    const bool takesCalls =
      mBackend && !mIsEvacuated && now >= mUnreachableUntil;
    const auto rounded = [](double aValue) {
      return static_cast<std::uint32_t>(std::lround(aValue));
    };
    ServerLoad load;
    load.busy = mSlots.Busy();
    load.queued = static_cast<std::uint32_t>(mSlots.Queued());
    load.slots = takesCalls ? mSlots.Slots() : 0;
    load.serviceMs = rounded(mSlots.ServiceMs());
    load.routeMs = rounded(RouteMs(aRoute));
    load.failedPercent = rounded(mFailedShare * kPercent);
    load.rateIntervalUs = static_cast<std::uint32_t>(
      std::max(mRateLimit.CallInterval(), mWarmup.Limit().CallInterval(now))
        .count());
    load.rateWaitMs = static_cast<std::uint32_t>(
      std::chrono::ceil<Milliseconds>(mSlots.RateWait(mSlots.Queued(), now))
        .count());
    return load;
  }

  void CountSlowInFlight()
  {
    const Timestamp now = Now();
    for (auto& [id, pending] : mPending) {
      if (!pending.dispatched || pending.countedSlow ||
          now - pending.sentAt <= pending.call.slowAfter) {
        continue;
      }
      pending.countedSlow = true;
      EvidenceSums& sums =
        mEvidence[{ pending.call.version, pending.call.route }];
      ++sums.calls;
      ++sums.slow;
    }
  }

  const EvidenceTable& Evidence() const { return mEvidence; }

private:
  static Timestamp Now() { return std::chrono::steady_clock::now(); }

  static http::ClientOptions ClientOptionsFor(const BackendDialect& aDialect)
  {
    http::ClientOptions options;
    options.correlationHeader = aDialect.echoesCallId ? aDialect.callId : "";
    return options;
  }

  /** Returns the average service time of a route, or of all calls if the route
   * is new. */
  double RouteMs(const std::string& aRoute) const
  {
    const auto it = mRouteMs.find(aRoute);
    return it == mRouteMs.end() ? mSlots.ServiceMs() : it->second;
  }

  /** Returns why the backend server can't run a call; empty if it can. */
  std::string CheckServer(const ForwardedCall& aCall)
  {
    if (!mBackend) {
      return "no backend server is registered at this node";
    }
    if (mIsEvacuated) {
      return "the zone of this node is evacuated";
    }
    const Timestamp now = Now();
    if (!mStopWindow.Takes(now, aCall.deadline)) {
      return "this node is stopping and may exit before the call ends";
    }
    if (now < mUnreachableUntil) {
      return "the backend server of this node refuses connections";
    }
    if (!aCall.leavingServer.empty() &&
        aCall.leavingServer == mBackend->StartName()) {
      // This process registered the server by a report that was delayed.
      OnLeaving(BackendServer(*mBackend));
      return "the backend server of this node is leaving";
    }
    if (CrashesServers(aCall.method, aCall.path, aCall.body)) {
      mServices.metrics.Count("crashing_calls_refused_total", {});
      return kCrashRefusal;
    }
    const bool isVersion =
      aCall.version.empty() || aCall.version == mBackend->version;
    if (mBackend->service != aCall.service || !isVersion) {
      return "the backend server of this node is " + mBackend->service + " " +
             mBackend->version + ", not " + aCall.service + " " + aCall.version;
    }
    return {};
  }

  SlotRequest SlotRequestFor(RunId aRun, const ForwardedCall& aCall) const
  {
    return { aRun,           aCall.callClass,     aCall.deadline,
             aCall.priority, aCall.slowAfter,     aCall.targetDeadline,
             aCall.route,    RouteMs(aCall.route) };
  }

  /** Requests a slot for a call if the backend server can run it. */
  void Admit(RunId aRun)
  {
    const ForwardedCall& call = mPending.at(aRun).call;
    if (std::string reason = CheckServer(call); !reason.empty()) {
      Refuse(aRun, std::move(reason));
      return;
    }
    SlotRefusal refusal{};
    const auto admission =
      mSlots.Request(SlotRequestFor(aRun, call), Now(), refusal);
    if (!admission) {
      Refuse(aRun, std::string(NameOf(kSlotRefusalNames, refusal)));
      return;
    }
    if (*admission == SlotQueue::Admission::kSlotGranted) {
      OnSlotGranted(aRun);
    } else {
      ScheduleQueueCheck();
    }
  }

  /** Updates the queue when its next call may be sent, and periodically, while
   * calls are queued. */
  void ScheduleQueueCheck()
  {
    if (mQueueTimer != 0) {
      return;
    }
    const auto rateWait =
      std::chrono::ceil<Milliseconds>(mSlots.RateWait(0, Now()));
    const Milliseconds delay = rateWait > Milliseconds(0)
                                 ? std::min(rateWait, kMaxQueueCheckInterval)
                                 : kMaxQueueCheckInterval;
    mQueueTimer = mServices.loop.RunAfter(delay, [this] {
      mQueueTimer = 0;
      mSlots.Update(Now());
      if (mSlots.Queued() > 0) {
        ScheduleQueueCheck();
      }
    });
  }

  /** Handles the grant of a slot to a queued call, or its refusal. */
  void OnQueueDecision(RunId aRun, std::optional<SlotRefusal> aRefusal)
  {
    if (aRefusal) {
      Refuse(aRun, std::string(NameOf(kSlotRefusalNames, *aRefusal)));
      return;
    }
    OnSlotGranted(aRun);
  }

  /** Dispatches a call that got a slot; an at-most-once call first claims its
   * idempotency key. */
  void OnSlotGranted(RunId aRun)
  {
    PendingCall& pending = mPending.at(aRun);
    pending.holdsSlot = true;
    if (pending.call.callClass != config::CallClass::kAtMostOnce ||
        pending.call.idempotencyKey.empty()) {
      Dispatch(aRun);
      return;
    }
    mServices.claims.Claim(
      pending.call.idempotencyKey,
      pending.call.callId,
      [this, aRun](ClaimOutcome aOutcome) { OnClaim(aRun, aOutcome); });
  }

  void OnClaim(RunId aRun, ClaimOutcome aOutcome)
  {
    mServices.metrics.Count(
      "claims_total",
      { { "outcome", std::string(NameOf(kClaimOutcomeNames, aOutcome)) } });
    const auto it = mPending.find(aRun);
    if (it == mPending.end()) {
      return;
    }
    switch (aOutcome) {
      case ClaimOutcome::kGranted:
        Dispatch(aRun);
        return;
      case ClaimOutcome::kTaken: {
        CallResult result = NotRunResult(
          it->second.call, "the idempotency key was claimed by another call");
        result.outcome = CallOutcome::kUnknown;
        Finish(aRun, std::move(result));
        return;
      }
      case ClaimOutcome::kUnavailable:
      case ClaimOutcome::kOverBudget:
        Refuse(aRun,
               "the idempotency key could not be claimed: " +
                 std::string(NameOf(kClaimOutcomeNames, aOutcome)));
        return;
    }
  }

  void Dispatch(RunId aRun)
  {
    PendingCall& pending = mPending.at(aRun);
    const ForwardedCall& call = pending.call;
    // The process may have been suspended since the call was admitted.
    const Timestamp now = Now();
    if (now >= call.deadline) {
      Refuse(aRun, "the deadline passed before the call was dispatched");
      return;
    }
    if (!mBackend || mIsEvacuated) {
      Refuse(aRun,
             "the backend server went away before the call was dispatched");
      return;
    }
    if (CrashesServers(call.method, call.path, call.body)) {
      Refuse(aRun, kCrashRefusal); // Found out while the call was queued.
      return;
    }
    const auto span = mServices.tracer.Child(call.trace);
    ++mDispatchedCalls;
    pending.dispatched = true;
    pending.server = *mBackend;
    pending.sentAt = now;
    pending.sentAtWallMicroseconds = WallMicroseconds();
    pending.request =
      mHttp.Send(RequestFor(call, span, now),
                 call.callClass == config::CallClass::kAtMostOnce
                   ? kMaxConnectionIdleAtMostOnce
                   : kMaxConnectionIdle,
                 [this, aRun, span](std::optional<http::Response> aResponse,
                                    const ClientReason& aReason) {
                   OnBackendAnswer(aRun, span, std::move(aResponse), aReason);
                 });
  }

  http::Request RequestFor(const ForwardedCall& aCall,
                           const telemetry::TraceContext& aSpan,
                           Timestamp aNow) const
  {
    const BackendDialect& dialect = mServices.dialect;
    const auto left =
      std::chrono::duration_cast<Milliseconds>(aCall.deadline - aNow);
    http::Request request;
    request.method = aCall.method;
    request.target = aCall.path;
    request.headers = aCall.headers;
    request.body = aCall.body;
    const auto set = [&request](const std::string& aName, std::string aValue) {
      if (!aName.empty()) {
        http::RemoveHeader(request.headers, aName);
        request.headers.push_back({ aName, std::move(aValue) });
      }
    };
    if (!http::FindHeader(request.headers, dialect.callId)) {
      set(dialect.callId, aCall.callId);
    }
    set(dialect.timeLeftMs, std::to_string(left.count()));
    set(dialect.trace, aSpan.ToHeader());
    set(aCall.team.empty() ? "" : dialect.team, aCall.team);
    set(mBackend->id.empty() ? "" : dialect.expectServer, mBackend->id);
    return request;
  }

  void OnBackendAnswer(RunId aRun,
                       const telemetry::TraceContext& aSpan,
                       std::optional<http::Response> aResponse,
                       const ClientReason& aReason)
  {
    PendingCall& pending = mPending.at(aRun);
    const auto elapsed =
      std::chrono::duration_cast<Microseconds>(Now() - pending.sentAt);
    if (aSpan.sampled) {
      mServices.tracer.Record(
        { aSpan.traceId,
          aSpan.spanId,
          pending.call.trace.spanId,
          "backend server",
          pending.sentAtWallMicroseconds,
          elapsed.count(),
          aResponse ? std::to_string(aResponse->status) : aReason.message });
    }
    mServices.metrics.Observe("backend_seconds",
                              { { "route", pending.call.route } },
                              std::chrono::duration<double>(elapsed).count());
    bool isLeaving = false;
    if (aResponse) {
      NoteRateLimit(*aResponse, pending.sentAt);
      isLeaving = mAnswers.SaysLeaving(*aResponse);
    }
    const bool hasResponse = aResponse.has_value();
    CallResult result = ResultOf(pending.call, std::move(aResponse), aReason);
    NoteCrashSigns(pending, hasResponse, result.outcome, aReason);
    if (isLeaving) {
      result.leavingServer = pending.server.StartName();
      OnLeaving(pending.server);
    }
    if (result.outcome == CallOutcome::kNotRun) {
      // The elapsed time of a call that did not run is no service time.
      pending.dispatched = false;
    } else {
      AddEvidence(pending,
                  elapsed,
                  result.outcome == CallOutcome::kAnswered &&
                    result.status < kFirstServerError);
    }
    Finish(aRun, std::move(result));
  }

  /** Records what the end of a dispatched call tells about crashes. */
  void NoteCrashSigns(const PendingCall& aPending,
                      bool aHasResponse,
                      CallOutcome aOutcome,
                      const ClientReason& aReason)
  {
    if (!aHasResponse && aReason.code == ClientError::kNotSent) {
      mWarmup.OnServerAway();
      OnServerDown();
      return;
    }
    const bool isLost = !aHasResponse && aReason.code == ClientError::kBroken;
    if (!isLost && (!aHasResponse || mCrashes.IsIdle())) {
      return;
    }
    const ForwardedCall& call = aPending.call;
    const std::uint64_t request =
      CrashDetector::HashOf(call.method, call.path, call.body);
    if (isLost) {
      mWarmup.OnConnectionLost();
      mCrashes.OnConnectionLost(request, Now());
    } else {
      mCrashes.OnResponse(
        request, aOutcome == CallOutcome::kAnswered, aPending.sentAt, Now());
    }
  }

  /** Handles that the server refuses connections or has started again. */
  void OnServerDown()
  {
    if (const std::size_t suspects = mCrashes.OnServerDown(Now());
        suspects > 0) {
      mServices.metrics.Count("backend_crashes_total", {});
      LogEvent(telemetry::LogCategory::kBackend,
               telemetry::LogLevel::kWarning,
               "server_crashed",
               { { "server", mBackend ? mBackend->id : "" },
                 { "suspects", std::to_string(suspects) } });
    }
  }

  /** Records the rate limit that a response names, or that it names none. */
  void NoteRateLimit(const http::Response& aResponse, Timestamp aSentAt)
  {
    const std::string* value = mAnswers.RateLimit(aResponse);
    const auto rate = value ? ServerRateLimit::Parse(*value) : std::nullopt;
    if (value && !rate) {
      LogRateLimit("server_limit_unreadable", *value);
      return;
    }
    if (!rate && !mAnswers.HasStamp(aResponse)) {
      return; // Not the server's own answer, so it does not lift the limit.
    }
    if (mRateLimit.OnAnswer(rate, aSentAt, Now())) {
      LogRateLimit("server_limit", value ? *value : "none");
      mServices.metrics.SetGauge(
        "backend_rate_limit", {}, rate.value_or(kNoRateLimit));
    }
  }

  /** Stops sending calls to a server that is leaving. */
  void OnLeaving(const BackendServer& aServer)
  {
    // Without an id, a later start of the server can't be told from this one.
    if (!aServer.id.empty()) {
      mDepartedServers.Record(aServer.id, aServer.startedAtMs);
    }
    if (!mBackend || !IsSameStart(*mBackend, aServer)) {
      return;
    }
    LogEvent(telemetry::LogCategory::kBackend,
             telemetry::LogLevel::kInfo,
             "server_leaving",
             { { "server", aServer.id } });
    RemoveBackend();
    if (mServices.onLeaving) {
      mServices.onLeaving(aServer);
    }
  }

  /** Refuses queued and further calls until a backend server is set again. */
  void RemoveBackend()
  {
    mBackend.reset();
    mWarmup.SetServer(std::nullopt);
    UpdateSlots();
  }

  void UpdateSlots()
  {
    mSlots.SetSlots(mBackend && !mIsEvacuated ? mBackend->slots : 0);
  }

  /** Logs a rate limit with the number of calls sent so far, which tells the
   * rate that the server got between two such lines. */
  void LogRateLimit(const char* aEvent, const std::string& aLimit)
  {
    if (mLogLimiter.Take(Now())) {
      LogEvent(telemetry::LogCategory::kBackend,
               telemetry::LogLevel::kInfo,
               aEvent,
               { { "server", mBackend ? mBackend->id : "" },
                 { "limit", aLimit },
                 { "sent", std::to_string(mDispatchedCalls) } });
    }
  }

  /** Converts the response to a dispatched call, or its error, to a result. */
  CallResult ResultOf(const ForwardedCall& aCall,
                      std::optional<http::Response> aResponse,
                      const ClientReason& aReason)
  {
    if (aResponse) {
      if (mAnswers.IsMisdirected(*aResponse)) {
        // The address now belongs to another server, whose report will register
        // it.
        RemoveBackend();
      }
      return mAnswers.ResultOf(aCall.callId, std::move(*aResponse));
    }
    const bool notSent = aReason.code == ClientError::kNotSent;
    if (notSent) {
      mUnreachableUntil = Now() + kUnreachableBackoff;
    }
    CallResult result = NotRunResult(aCall, aReason.message);
    result.outcome = notSent ? CallOutcome::kNotRun : CallOutcome::kUnknown;
    return result;
  }

  /** Updates the counts and averages with the result of a call that ran. */
  void AddEvidence(const PendingCall& aPending,
                   Microseconds aElapsed,
                   bool aSucceeded)
  {
    const ForwardedCall& call = aPending.call;
    EvidenceSums& sums = mEvidence[{ call.version, call.route }];
    sums.failures += aSucceeded ? 0 : 1;
    if (!aPending.countedSlow) {
      ++sums.calls;
      sums.slow += aElapsed > call.slowAfter ? 1 : 0;
    }
    mFailedShare +=
      kFailureShareSmoothing * ((aSucceeded ? 0 : 1) - mFailedShare);
    const double elapsedMs =
      std::chrono::duration<double, std::milli>(aElapsed).count();
    const auto [it, isNew] = mRouteMs.try_emplace(call.route, elapsedMs);
    it->second += kRouteTimeSmoothing * (elapsedMs - it->second);
  }

  /** Finishes a call as not run; posted, so that the callback never runs inside
   * Run(). */
  void Refuse(RunId aRun, std::string aReason)
  {
    mServices.loop.Post([this, aRun, reason = std::move(aReason)] {
      if (const auto it = mPending.find(aRun); it != mPending.end()) {
        Finish(aRun, NotRunResult(it->second.call, reason));
      }
    });
  }

  void Finish(RunId aRun, CallResult aResult)
  {
    const auto it = mPending.find(aRun);
    const PendingCall pending = std::move(it->second);
    mPending.erase(it);
    if (pending.holdsSlot) {
      const Timestamp now = Now();
      mSlots.Release(pending.call.callClass,
                     pending.dispatched
                       ? std::optional(std::chrono::duration_cast<Milliseconds>(
                           now - pending.sentAt))
                       : std::nullopt,
                     now);
    }
    LogUnsuccessful(pending, aResult);
    mServices.metrics.Count(
      "owner_calls_total",
      { { "outcome",
          std::string(NameOf(callers::kCallOutcomeNames, aResult.outcome)) } });
    pending.callback(std::move(aResult));
  }

  /** Counts and logs a call that its caller or its ingress node cancelled. */
  void LogCancelled(const PendingCall& aPending)
  {
    const char* state = aPending.dispatched ? "dispatched" : "waiting";
    mServices.metrics.Count("owner_calls_cancelled_total",
                            { { "state", state } });
    const Timestamp now = Now();
    if (!mLogLimiter.Take(now)) {
      return;
    }
    const auto elapsed = [now](Timestamp aSince) {
      return std::to_string(
        std::chrono::duration_cast<Milliseconds>(now - aSince).count());
    };
    LogEvent(
      telemetry::LogCategory::kBackend,
      telemetry::LogLevel::kInfo,
      "run_cancelled",
      { { "id", CallerIdOf(aPending.call) },
        { "call", aPending.call.callId },
        { "state", state },
        { "ms", elapsed(aPending.admittedAt) },
        { "dispatched_ms",
          aPending.dispatched ? elapsed(aPending.sentAt) : "" },
        { "left_out", std::to_string(mLogLimiter.TakeSuppressedCount()) } });
  }

  /** Returns the caller's own id of a call, or "". */
  std::string CallerIdOf(const ForwardedCall& aCall) const
  {
    const std::string* id =
      http::FindHeader(aCall.headers, mServices.dialect.callId);
    return id ? *id : "";
  }

  /** Logs a call that the backend server did not answer successfully. */
  void LogUnsuccessful(const PendingCall& aPending, const CallResult& aResult)
  {
    const bool succeeded = aResult.outcome == CallOutcome::kAnswered &&
                           aResult.status < kFirstServerError;
    const Timestamp now = Now();
    if (succeeded || !mLogLimiter.Take(now)) {
      return;
    }
    const ForwardedCall& call = aPending.call;
    const auto elapsed =
      aPending.dispatched
        ? std::chrono::duration_cast<Milliseconds>(now - aPending.sentAt)
        : Milliseconds(0);
    LogEvent(
      telemetry::LogCategory::kBackend,
      telemetry::LogLevel::kInfo,
      "run",
      { { "id", CallerIdOf(call) },
        { "call", call.callId },
        { "server", mBackend ? mBackend->id : "" },
        { "outcome",
          std::string(NameOf(callers::kCallOutcomeNames, aResult.outcome)) },
        { "status", std::to_string(aResult.status) },
        { "ms", std::to_string(elapsed.count()) },
        { "busy", std::to_string(mSlots.Busy()) },
        { "queued", std::to_string(mSlots.Queued()) },
        { "slots", std::to_string(mSlots.Slots()) },
        { "left_out", std::to_string(mLogLimiter.TakeSuppressedCount()) },
        { "reason", aResult.reason } });
  }

  Services mServices;
  AnswerReader mAnswers;
  http::Client mHttp;
  ServerRateLimit mRateLimit;
  ServerWarmup mWarmup;
  SlotQueue mSlots;
  StopWindow mStopWindow;
  std::uint64_t mDispatchedCalls = 0;
  std::optional<BackendServer> mBackend;
  bool mIsEvacuated = false; ///< operators evacuated the zone of this node
  CrashDetector mCrashes;
  DepartedServers mDepartedServers; ///< servers whose answers said so
  RunId mLastRun = 0;
  std::unordered_map<RunId, PendingCall> mPending;
  EvidenceTable mEvidence;
  telemetry::LogRateLimiter mLogLimiter{ kLogLinesPerSecond, kLogBurst };
  EventLoop::TimerId mQueueTimer = 0;
  Timestamp mUnreachableUntil{};
  /** Moving averages of the service time, by route. */
  std::unordered_map<std::string, double> mRouteMs;
  double mFailedShare = 0; ///< moving average of the share of failed calls
};

BackendDispatcher::BackendDispatcher(Services aServices,
                                     std::uint32_t aCheckSlots)
  : mImpl(std::make_unique<Impl>(std::move(aServices), aCheckSlots))
{
}

BackendDispatcher::~BackendDispatcher() = default;

void
BackendDispatcher::SetBackend(std::optional<BackendServer> aBackend)
{
  mImpl->SetBackend(std::move(aBackend));
}

void
BackendDispatcher::SetWarmup(WarmupTable aTable)
{
  mImpl->SetWarmup(std::move(aTable));
}

void
BackendDispatcher::SetEvacuated(bool aEvacuated)
{
  mImpl->SetEvacuated(aEvacuated);
}

void
BackendDispatcher::OnPause()
{
  mImpl->OnPause();
}

void
BackendDispatcher::OnTick()
{
  mImpl->OnTick();
}

std::string
BackendDispatcher::CheckRefusal(const ForwardedCall& aCall)
{
  return mImpl->CheckRefusal(aCall);
}

bool
BackendDispatcher::CrashesServers(const std::string& aMethod,
                                  const std::string& aPath,
                                  const std::string& aBody) const
{
  return mImpl->CrashesServers(aMethod, aPath, aBody);
}

void
BackendDispatcher::SetSuspectsOfOtherNodes(CrashSuspects aSuspects)
{
  mImpl->SetSuspectsOfOtherNodes(std::move(aSuspects));
}

std::vector<CrashSuspect>
BackendDispatcher::ReportSuspects()
{
  return mImpl->ReportSuspects();
}

BackendDispatcher::RunId
BackendDispatcher::Run(ForwardedCall aCall,
                       callers::CallResultCallback aCallback)
{
  return mImpl->Run(std::move(aCall), std::move(aCallback));
}

void
BackendDispatcher::Cancel(RunId aRun)
{
  mImpl->Cancel(aRun);
}

void
BackendDispatcher::BeginStop(const StopWindow& aWindow)
{
  mImpl->BeginStop(aWindow);
}

void
BackendDispatcher::Drain()
{
  mImpl->Drain();
}

std::size_t
BackendDispatcher::InFlight() const
{
  return mImpl->InFlight();
}

ServerLoad
BackendDispatcher::Load(const std::string& aRoute) const
{
  return mImpl->Load(aRoute);
}

void
BackendDispatcher::CountSlowInFlight()
{
  mImpl->CountSlowInFlight();
}

const EvidenceTable&
BackendDispatcher::Evidence() const
{
  return mImpl->Evidence();
}

} // namespace knapweedpaddle::backends
