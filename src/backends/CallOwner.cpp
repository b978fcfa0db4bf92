#include "knapweedpaddle/backends/CallOwner.h"

#include <algorithm>
#include <array>

namespace knapweedpaddle::backends {

using callers::CallOutcome;
using callers::CallResult;
using runtime::EventLoop;
using runtime::HttpError;
using runtime::HttpReason;
using runtime::HttpResponse;

namespace {

constexpr long kMaxBackendConnections = 128;
constexpr Milliseconds kExpireEvery{ 25 };
constexpr int kFirstServerError = 500;

/** Headers that concern one connection and are not passed on. */
constexpr std::array<std::string_view, 8> kHopHeaders{
  "connection",       "keep-alive", "transfer-encoding", "content-length",
  "proxy-connection", "te",         "upgrade",           "expect",
};

bool
IsHopHeader(const std::string& aName)
{
  return std::ranges::find(kHopHeaders, aName) != kHopHeaders.end();
}

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
    runtime::HttpClient::RequestId request = 0;
    Timestamp sentAt;
    std::int64_t sentAtWallMicroseconds = 0;
  };

  Impl(Services aServices, std::uint32_t aCheckSlots)
    : mServices(aServices)
    , mHttp(aServices.loop, kMaxBackendConnections)
    , mSlots(aCheckSlots,
             [this](std::uint64_t aId, std::optional<SlotRefusal> aRefusal) {
               OnGranted(aId, aRefusal);
             })
  {
    mServices.loop.RunEvery(kExpireEvery, [this] {
      if (mSlots.Queued() > 0) {
        mSlots.Expire(Now());
      }
    });
  }

  void SetBackend(std::optional<BackendServer> aBackend)
  {
    mBackend = std::move(aBackend);
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
      mSlots.Release(callClass, Milliseconds(0), Now());
    }
  }

  void Drain() { mSlots.Drain(); }

  std::size_t InFlight() const { return mRunning.size(); }
  std::uint32_t BusySlots() const { return mSlots.Busy(); }
  const EvidenceTable& Evidence() const { return mEvidence; }

private:
  static Timestamp Now() { return std::chrono::steady_clock::now(); }

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
    if (mBackend->service != call.service ||
        mBackend->version != call.version) {
      Refuse(aRun,
             "the backend server here is " + mBackend->service + " " +
               mBackend->version + ", not " + call.service + " " +
               call.version);
      return;
    }
    SlotRefusal refusal{};
    const auto answer = mSlots.Request(
      SlotRequest{ aRun, call.callClass, call.deadline }, Now(), refusal);
    if (!answer) {
      Refuse(aRun, std::string(NameOf(kSlotRefusalNames, refusal)));
      return;
    }
    if (*answer == SlotQueue::Answer::kTaken) {
      OnSlot(aRun);
    }
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
    runtime::HttpRequest request;
    request.method = call.method;
    request.url = "http://" + mBackend->address + call.path;
    request.body = call.body;
    request.timeout =
      std::chrono::duration_cast<Milliseconds>(call.deadline - now);
    request.neverRepeat = call.callClass == config::CallClass::kAtMostOnce;
    for (const auto& it : call.headers) {
      if (!IsHopHeader(it.name)) {
        request.headers.push_back(it);
      }
    }
    const auto span = mServices.tracer.Child(call.trace);
    request.headers.push_back({ "traceparent", span.ToHeader() });
    request.headers.push_back({ "knapweed-call-id", call.callId });
    request.headers.push_back(
      { "knapweed-timeout-ms", std::to_string(request.timeout.count()) });
    running.dispatched = true;
    running.sentAt = now;
    running.sentAtWallMicroseconds = WallMicroseconds();
    running.request =
      mHttp.Send(std::move(request),
                 [this, aRun, span](std::optional<HttpResponse> aResponse,
                                    const HttpReason& aReason) {
                   OnBackendAnswer(aRun, span, std::move(aResponse), aReason);
                 });
  }

  void OnBackendAnswer(RunId aRun,
                       const telemetry::TraceContext& aSpan,
                       std::optional<HttpResponse> aResponse,
                       const HttpReason& aReason)
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
    const bool notSent = !aResponse && aReason.code == HttpError::kNotSent;
    AddEvidence(running.call,
                elapsed,
                aResponse && aResponse->status < kFirstServerError);

    CallResult result;
    result.callId = running.call.callId;
    if (!aResponse) {
      result.outcome = notSent ? CallOutcome::kNotRun : CallOutcome::kUnknown;
      result.reason = aReason.message;
      Finish(aRun, std::move(result));
      return;
    }
    result.outcome = CallOutcome::kAnswered;
    result.status = aResponse->status;
    result.body = std::move(aResponse->body);
    std::ranges::copy_if(
      aResponse->headers,
      std::back_inserter(result.headers),
      [](const auto& aItem) { return !IsHopHeader(aItem.name); });
    Finish(aRun, std::move(result));
  }

  void AddEvidence(const OwnedCall& aCall,
                   Microseconds aElapsed,
                   bool aSucceeded)
  {
    EvidenceSums& sums = mEvidence[{ aCall.version, aCall.route }];
    ++sums.calls;
    sums.failures += aSucceeded ? 0 : 1;
    sums.slow += aElapsed > aCall.slowAfter ? 1 : 0;
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
      const auto served =
        running.dispatched
          ? std::chrono::duration_cast<Milliseconds>(now - running.sentAt)
          : Milliseconds(0);
      mSlots.Release(running.call.callClass, served, now);
    }
    mServices.metrics.Count(
      "owner_calls_total",
      { { "outcome",
          std::string(NameOf(callers::kCallOutcomeNames, aResult.outcome)) } });
    running.callback(std::move(aResult));
  }

  Services mServices;
  runtime::HttpClient mHttp;
  SlotQueue mSlots;
  std::optional<BackendServer> mBackend;
  RunId mLastRun = 0;
  std::unordered_map<RunId, Running> mRunning;
  EvidenceTable mEvidence;
};

CallOwner::CallOwner(Services aServices, std::uint32_t aCheckSlots)
  : mImpl(std::make_unique<Impl>(aServices, aCheckSlots))
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

std::uint32_t
CallOwner::BusySlots() const
{
  return mImpl->BusySlots();
}

const EvidenceTable&
CallOwner::Evidence() const
{
  return mImpl->Evidence();
}

} // namespace knapweedpaddle::backends
