#include "knapweedpaddle/backends/CallOwner.h"

#include "knapweedpaddle/http/Client.h"
#include "knapweedpaddle/routing/VersionSelector.h"
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

constexpr Milliseconds kExpireEvery{ 25 };
constexpr Milliseconds kMaxIdle{ 4000 };
/** A call that must not repeat is lost when its connection turns out to be
 * dead, so it takes only one that was used a moment ago. */
constexpr Milliseconds kMaxIdleOnce{ 250 };
/** How long calls are refused after a connection was. */
constexpr Milliseconds kDownTime{ 200 };
constexpr double kLogLinesPerSecond = 20;
constexpr double kLogBurst = 100;
constexpr int kFirstServerError = 500;
constexpr int kMisdirected = 421;
constexpr double kFailureWeight = 0.05; ///< of one call in the moving average
constexpr double kRouteWeight = 0.1;    ///< of one call in a route's average
constexpr double kPercent = 100;

CallResult
NotRun(const OwnedCall& aCall, std::string aReason)
{
  CallResult result;
  result.outcome = CallOutcome::kNotRun;
  result.reason = std::move(aReason);
  result.callId = aCall.callId;
  return result;
}

} // namespace

class CallOwner::Impl
{
public:
  struct Running
  {
    OwnedCall call;
    callers::CallCallback callback;
    bool holdsSlot = false;
    bool dispatched = false;
    bool countedSlow = false; ///< while it was still under way
    http::Client::RequestId request = 0;
    Timestamp sentAt;
    std::int64_t sentAtWallMicroseconds = 0;
  };

  Impl(Services aServices, std::uint32_t aCheckSlots)
    : mServices(std::move(aServices))
    , mHttp(mServices.loop, ClientOptionsFor(mServices.dialect))
    , mSlots(aCheckSlots,
             [this](std::uint64_t aId, std::optional<SlotRefusal> aRefusal) {
               OnGranted(aId, aRefusal);
             })
  {
  }

  void SetBackend(std::optional<BackendServer> aBackend)
  {
    if (mBackend && aBackend && mBackend->id != aBackend->id) {
      mDownUntil = {};
    }
    mBackend = std::move(aBackend);
    if (mBackend) {
      mHttp.SetAddress(mBackend->address);
    }
    mSlots.SetSlots(mBackend ? mBackend->slots : 0);
  }

  RunId Run(OwnedCall aCall, callers::CallCallback aCallback)
  {
    const RunId id = ++mLastRun;
    Running& running = mRunning[id];
    running.call = std::move(aCall);
    running.callback = std::move(aCallback);
    Admit(id);
    return id;
  }

  void Cancel(RunId aRun)
  {
    const auto it = mRunning.find(aRun);
    if (it == mRunning.end()) {
      return;
    }
    mSlots.Abandon(aRun);
    if (it->second.dispatched) {
      mHttp.Cancel(it->second.request);
    }
    const bool heldSlot = it->second.holdsSlot;
    const auto callClass = it->second.call.callClass;
    mRunning.erase(it);
    if (heldSlot) {
      mSlots.Release(callClass, std::nullopt, Now());
    }
  }

  void Drain() { mSlots.Drain(); }

  std::size_t InFlight() const { return mRunning.size(); }

  ServerLoad Load(const std::string& aRoute) const
  {
    const bool takesCalls = mBackend && Now() >= mDownUntil;
    return { mSlots.Busy(),
             static_cast<std::uint32_t>(mSlots.Queued()),
             takesCalls ? mSlots.Slots() : 0,
             static_cast<std::uint32_t>(std::lround(mSlots.ServiceMs())),
             static_cast<std::uint32_t>(std::lround(RouteMs(aRoute))),
             static_cast<std::uint32_t>(std::lround(mFailed * kPercent)) };
  }

  void CountOverdue()
  {
    const Timestamp now = Now();
    for (auto& [id, running] : mRunning) {
      if (!running.dispatched || running.countedSlow ||
          now - running.sentAt <= running.call.slowAfter) {
        continue;
      }
      running.countedSlow = true;
      EvidenceSums& sums =
        mEvidence[{ running.call.version, running.call.route }];
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
    options.idHeader = aDialect.echoesCallId ? aDialect.callId : "";
    return options;
  }

  double RouteMs(const std::string& aRoute) const
  {
    const auto it = mRouteMs.find(aRoute);
    return it == mRouteMs.end() ? mSlots.ServiceMs() : it->second;
  }

  void Admit(RunId aRun)
  {
    const auto it = mRunning.find(aRun);
    if (it == mRunning.end()) {
      return;
    }
    Running& running = it->second;
    const OwnedCall& call = running.call;
    if (!mBackend) {
      Refuse(aRun, "no backend server has announced itself here");
      return;
    }
    if (Now() < mDownUntil) {
      Refuse(aRun, "the backend server here refuses connections");
      return;
    }
    const auto selector = routing::VersionSelector::Parse(call.version);
    if (mBackend->service != call.service ||
        !selector.Matches(mBackend->version)) {
      Refuse(aRun,
             "the backend server here is " + mBackend->service + " " +
               mBackend->version + ", not " + call.service + " " +
               call.version);
      return;
    }
    SlotRefusal refusal{};
    const auto answer = mSlots.Request(SlotRequest{ aRun,
                                                    call.callClass,
                                                    call.deadline,
                                                    call.priority,
                                                    call.slowAfter,
                                                    call.targetAt,
                                                    call.route,
                                                    RouteMs(call.route) },
                                       Now(),
                                       refusal);
    if (!answer) {
      Refuse(aRun, std::string(NameOf(kSlotRefusalNames, refusal)));
      return;
    }
    if (*answer == SlotQueue::Answer::kTaken) {
      OnSlot(aRun);
    } else {
      ScheduleExpiry();
    }
  }

  /** Looks after waiting calls only while there are some. */
  void ScheduleExpiry()
  {
    if (mExpiryTimer != 0) {
      return;
    }
    mExpiryTimer = mServices.loop.RunAfter(kExpireEvery, [this] {
      mExpiryTimer = 0;
      mSlots.Expire(Now());
      if (mSlots.Queued() > 0) {
        ScheduleExpiry();
      }
    });
  }

  void OnGranted(RunId aRun, std::optional<SlotRefusal> aRefusal)
  {
    if (aRefusal) {
      Refuse(aRun, std::string(NameOf(kSlotRefusalNames, *aRefusal)));
      return;
    }
    OnSlot(aRun);
  }

  void OnSlot(RunId aRun)
  {
    Running& running = mRunning.at(aRun);
    running.holdsSlot = true;
    if (running.call.callClass != config::CallClass::kAtMostOnce ||
        running.call.idempotencyKey.empty()) {
      Dispatch(aRun);
      return;
    }
    mServices.claims.Claim(
      running.call.idempotencyKey,
      running.call.callId,
      [this, aRun](ClaimOutcome aOutcome) { OnClaim(aRun, aOutcome); });
  }

  void OnClaim(RunId aRun, ClaimOutcome aOutcome)
  {
    mServices.metrics.Count(
      "claims_total",
      { { "outcome", std::string(NameOf(kClaimOutcomeNames, aOutcome)) } });
    const auto it = mRunning.find(aRun);
    if (it == mRunning.end()) {
      return;
    }
    switch (aOutcome) {
      case ClaimOutcome::kGranted:
        Dispatch(aRun);
        return;
      case ClaimOutcome::kTaken: {
        CallResult result = NotRun(
          it->second.call, "idempotency key was used by an earlier call");
        result.outcome = CallOutcome::kUnknown;
        Finish(aRun, std::move(result));
        return;
      }
      case ClaimOutcome::kUnavailable:
      case ClaimOutcome::kOverBudget:
        Refuse(aRun,
               "idempotency key could not be claimed: " +
                 std::string(NameOf(kClaimOutcomeNames, aOutcome)));
        return;
    }
  }

  void Dispatch(RunId aRun)
  {
    Running& running = mRunning.at(aRun);
    const OwnedCall& call = running.call;
    // The process may have been paused since the call was admitted.
    const Timestamp now = Now();
    if (now >= call.deadline) {
      Refuse(aRun, "the deadline passed before dispatch");
      return;
    }
    if (!mBackend) {
      Refuse(aRun, "the backend server left before dispatch");
      return;
    }
    const auto span = mServices.tracer.Child(call.trace);
    running.dispatched = true;
    running.sentAt = now;
    running.sentAtWallMicroseconds = WallMicroseconds();
    running.request =
      mHttp.Send(RequestFor(call, span, now),
                 call.callClass == config::CallClass::kAtMostOnce ? kMaxIdleOnce
                                                                  : kMaxIdle,
                 [this, aRun, span](std::optional<http::Response> aResponse,
                                    const ClientReason& aReason) {
                   OnBackendAnswer(aRun, span, std::move(aResponse), aReason);
                 });
  }

  http::Request RequestFor(const OwnedCall& aCall,
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
    set(mBackend->id.empty() ? "" : dialect.expectServer, mBackend->id);
    return request;
  }

  void OnBackendAnswer(RunId aRun,
                       const telemetry::TraceContext& aSpan,
                       std::optional<http::Response> aResponse,
                       const ClientReason& aReason)
  {
    Running& running = mRunning.at(aRun);
    const auto elapsed =
      std::chrono::duration_cast<Microseconds>(Now() - running.sentAt);
    if (aSpan.sampled) {
      mServices.tracer.Record(
        { aSpan.traceId,
          aSpan.spanId,
          running.call.trace.spanId,
          "backend server",
          running.sentAtWallMicroseconds,
          elapsed.count(),
          aResponse ? std::to_string(aResponse->status) : aReason.message });
    }
    mServices.metrics.Observe("backend_seconds",
                              { { "route", running.call.route } },
                              std::chrono::duration<double>(elapsed).count());
    CallResult result = ResultOf(running.call, std::move(aResponse), aReason);
    if (result.outcome == CallOutcome::kNotRun) {
      // Its time says nothing of the server's speed.
      running.dispatched = false;
    } else {
      AddEvidence(running,
                  elapsed,
                  result.outcome == CallOutcome::kAnswered &&
                    result.status < kFirstServerError);
    }
    Finish(aRun, std::move(result));
  }

  /** Turns what came of a dispatched call into its result. */
  CallResult ResultOf(const OwnedCall& aCall,
                      std::optional<http::Response> aResponse,
                      const ClientReason& aReason)
  {
    const BackendDialect& dialect = mServices.dialect;
    CallResult result;
    result.callId = aCall.callId;
    if (!aResponse) {
      const bool notSent = aReason.code == ClientError::kNotSent;
      if (notSent) {
        mDownUntil = Now() + kDownTime;
      }
      result.outcome = notSent ? CallOutcome::kNotRun : CallOutcome::kUnknown;
      result.reason = aReason.message;
      return result;
    }
    result.status = aResponse->status;
    const bool misdirected =
      result.status == kMisdirected && !dialect.expectServer.empty();
    if (misdirected || (!dialect.notRun.empty() &&
                        http::FindHeader(aResponse->headers, dialect.notRun))) {
      result.outcome = CallOutcome::kNotRun;
      result.arrived = !misdirected;
      result.reason = "the backend server refused with status " +
                      std::to_string(result.status);
      if (misdirected) {
        // Another server has the address; its own report will name it.
        mBackend.reset();
        mSlots.SetSlots(0);
      }
      return result;
    }
    if (!dialect.stamp.empty() && result.status < kFirstServerError &&
        !http::FindHeader(aResponse->headers, dialect.stamp)) {
      result.outcome = CallOutcome::kUnknown;
      result.reason = "an answer with status " + std::to_string(result.status) +
                      " that the backend server did not sign";
      return result;
    }
    result.outcome = CallOutcome::kAnswered;
    result.phrase = std::move(aResponse->reason);
    result.body = std::move(aResponse->body);
    result.headers = http::EndToEnd(aResponse->headers);
    return result;
  }

  void AddEvidence(const Running& aRunning,
                   Microseconds aElapsed,
                   bool aSucceeded)
  {
    const OwnedCall& call = aRunning.call;
    EvidenceSums& sums = mEvidence[{ call.version, call.route }];
    sums.failures += aSucceeded ? 0 : 1;
    if (!aRunning.countedSlow) {
      ++sums.calls;
      sums.slow += aElapsed > call.slowAfter ? 1 : 0;
    }
    mFailed += kFailureWeight * ((aSucceeded ? 0 : 1) - mFailed);
    const double elapsedMs =
      std::chrono::duration<double, std::milli>(aElapsed).count();
    const auto [it, isNew] = mRouteMs.try_emplace(call.route, elapsedMs);
    it->second += kRouteWeight * (elapsedMs - it->second);
  }

  /** Later, so that the callback never runs from inside Run(). */
  void Refuse(RunId aRun, std::string aReason)
  {
    mServices.loop.Post([this, aRun, reason = std::move(aReason)] {
      if (const auto it = mRunning.find(aRun); it != mRunning.end()) {
        Finish(aRun, NotRun(it->second.call, reason));
      }
    });
  }

  void Finish(RunId aRun, CallResult aResult)
  {
    const auto it = mRunning.find(aRun);
    const Running running = std::move(it->second);
    mRunning.erase(it);
    if (running.holdsSlot) {
      const Timestamp now = Now();
      mSlots.Release(running.call.callClass,
                     running.dispatched
                       ? std::optional(std::chrono::duration_cast<Milliseconds>(
                           now - running.sentAt))
                       : std::nullopt,
                     now);
    }
    LogRun(running, aResult);
    mServices.metrics.Count(
      "owner_calls_total",
      { { "outcome",
          std::string(NameOf(callers::kCallOutcomeNames, aResult.outcome)) } });
    running.callback(std::move(aResult));
  }

  /** One line for a call that the backend server did not answer well. */
  void LogRun(const Running& aRunning, const CallResult& aResult)
  {
    const bool plain = aResult.outcome == CallOutcome::kAnswered &&
                       aResult.status < kFirstServerError;
    const Timestamp now = Now();
    if (plain || !mLogBudget.Take(now)) {
      return;
    }
    const OwnedCall& call = aRunning.call;
    const std::string* id =
      http::FindHeader(call.headers, mServices.dialect.callId);
    const auto ran =
      aRunning.dispatched
        ? std::chrono::duration_cast<Milliseconds>(now - aRunning.sentAt)
        : Milliseconds(0);
    LogEvent(
      telemetry::LogCategory::kBackend,
      telemetry::LogLevel::kInfo,
      "run",
      { { "id", id ? *id : "" },
        { "call", call.callId },
        { "server", mBackend ? mBackend->id : "" },
        { "outcome",
          std::string(NameOf(callers::kCallOutcomeNames, aResult.outcome)) },
        { "status", std::to_string(aResult.status) },
        { "ms", std::to_string(ran.count()) },
        { "busy", std::to_string(mSlots.Busy()) },
        { "queued", std::to_string(mSlots.Queued()) },
        { "slots", std::to_string(mSlots.Slots()) },
        { "left_out", std::to_string(mLogBudget.TakeSuppressedCount()) },
        { "reason", aResult.reason } });
  }

  Services mServices;
  http::Client mHttp;
  SlotQueue mSlots;
  std::optional<BackendServer> mBackend;
  RunId mLastRun = 0;
  std::unordered_map<RunId, Running> mRunning;
  EvidenceTable mEvidence;
  telemetry::LogRateLimiter mLogBudget{ kLogLinesPerSecond, kLogBurst };
  EventLoop::TimerId mExpiryTimer = 0;
  Timestamp mDownUntil{};
  std::unordered_map<std::string, double> mRouteMs; ///< moving averages
  double mFailed = 0; ///< moving average of the share of failed calls
};

CallOwner::CallOwner(Services aServices, std::uint32_t aCheckSlots)
  : mImpl(std::make_unique<Impl>(std::move(aServices), aCheckSlots))
{
}

CallOwner::~CallOwner() = default;

void
CallOwner::SetBackend(std::optional<BackendServer> aBackend)
{
  mImpl->SetBackend(std::move(aBackend));
}

CallOwner::RunId
CallOwner::Run(OwnedCall aCall, callers::CallCallback aCallback)
{
  return mImpl->Run(std::move(aCall), std::move(aCallback));
}

void
CallOwner::Cancel(RunId aRun)
{
  mImpl->Cancel(aRun);
}

void
CallOwner::Drain()
{
  mImpl->Drain();
}

std::size_t
CallOwner::InFlight() const
{
  return mImpl->InFlight();
}

ServerLoad
CallOwner::Load(const std::string& aRoute) const
{
  return mImpl->Load(aRoute);
}

void
CallOwner::CountOverdue()
{
  mImpl->CountOverdue();
}

const EvidenceTable&
CallOwner::Evidence() const
{
  return mImpl->Evidence();
}

} // namespace knapweedpaddle::backends
