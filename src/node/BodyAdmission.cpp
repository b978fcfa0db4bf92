#include "BodyAdmission.h"

#include "knapweedpaddle/common/HeldBytes.h"
#include "knapweedpaddle/http/Message.h"
#include "knapweedpaddle/telemetry/Log.h"

namespace knapweedpaddle::node {

using nodes::LinkRequest;
using nodes::LinkResponder;
using nodes::LinkResponderPtr;

namespace {

constexpr double kLogLinesPerSecond = 20;
constexpr double kLogBurst = 100;
constexpr const char* kMemoryShort = "memory_short";

} // namespace

BodyAdmission::BodyAdmission(backends::BackendDispatcher& aDispatcher,
                             telemetry::Metrics& aMetrics,
                             std::string aIdHeader,
                             double aLinkBytesPerMs)
  : mDispatcher(aDispatcher)
  , mMetrics(aMetrics)
  , mIdHeader(std::move(aIdHeader))
  , mGate(aLinkBytesPerMs)
  , mLogLimiter(kLogLinesPerSecond, kLogBurst)
{
}

void
BodyAdmission::OnHeaders(const LinkRequest& aRequest,
                         const LinkResponderPtr& aResponder)
{
  std::string reason;
  const auto head = aRequest.path == nodes::kCallPath
                      ? nodes::DecodeCallHead(
                          aRequest, aRequest.begunAt - aRequest.delay, reason)
                      : std::nullopt;
  if (!head || head->bodySize <= nodes::kFreeBodyBytes) {
    // What can't be decoded gets its error response as a whole request.
    aResponder->AcceptBody();
    return;
  }
  const backends::ForwardedCall& call = head->call;
  if (reason = mDispatcher.CheckRefusal(call); !reason.empty()) {
    Refuse(*aResponder, *head, reason);
    return;
  }
  const auto bytes = static_cast<std::size_t>(head->bodySize);
  if (!HeldBytes::HasRoomFor(mExpectedBytes + bytes)) {
    Refuse(*aResponder, *head, kMemoryShort);
    return;
  }
  const Timestamp now = std::chrono::steady_clock::now();
  const backends::Transfer transfer{ ++mLastId,
                                     bytes,
                                     call.deadline,
                                     call.targetDeadline,
                                     static_cast<double>(
                                       mDispatcher.Load(call.route).routeMs) };
  if (const auto refusal = mGate.Add(transfer, now)) {
    Refuse(*aResponder,
           *head,
           std::string(NameOf(backends::kTransferRefusalNames, *refusal)));
    return;
  }
  mTransfers[transfer.id] = { aResponder, *head };
  mExpectedBytes += bytes;
  mIds[aResponder.get()] = transfer.id;
  aResponder->OnCancel([this, raw = aResponder.get()] { OnEnded(raw); });
  GrantTransfers();
}

void
BodyAdmission::OnEnded(const LinkResponder* aResponder)
{
  const auto it = mIds.find(aResponder);
  if (it == mIds.end()) {
    return;
  }
  mGate.Remove(it->second);
  mExpectedBytes -=
    static_cast<std::size_t>(mTransfers.at(it->second).head.bodySize);
  mTransfers.erase(it->second);
  mIds.erase(it);
  GrantTransfers();
}

void
BodyAdmission::OnTick()
{
  for (const auto id : mGate.TakeExpired(std::chrono::steady_clock::now())) {
    const Waiting waiting = std::move(mTransfers.at(id));
    mTransfers.erase(id);
    mExpectedBytes -= static_cast<std::size_t>(waiting.head.bodySize);
    if (const auto responder = waiting.responder.lock()) {
      mIds.erase(responder.get());
      Refuse(*responder,
             waiting.head,
             std::string(NameOf(backends::kTransferRefusalNames,
                                backends::TransferRefusal::kWaitTooLong)));
    }
  }
  GrantTransfers();
}

void
BodyAdmission::GrantTransfers()
{
  for (const auto id : mGate.Grant(std::chrono::steady_clock::now())) {
    if (const auto responder = mTransfers.at(id).responder.lock()) {
      responder->AcceptBody();
    }
  }
}

void
BodyAdmission::Refuse(LinkResponder& aResponder,
                      const nodes::CallHead& aHead,
                      const std::string& aReason)
{
  mMetrics.Count("bodies_refused_total", {});
  LogRefusal(aHead, aReason);
  callers::CallResult result;
  result.outcome = callers::CallOutcome::kNotRun;
  result.callId = aHead.call.callId;
  result.reason = aReason;
  aResponder.Respond(
    nodes::EncodeCallResult(result, mDispatcher.Load(aHead.call.route)));
}

void
BodyAdmission::LogRefusal(const nodes::CallHead& aHead,
                          const std::string& aReason)
{
  if (!mLogLimiter.Take(std::chrono::steady_clock::now())) {
    return;
  }
  const std::string* id = http::FindHeader(aHead.call.headers, mIdHeader);
  LogEvent(telemetry::LogCategory::kBackend,
           telemetry::LogLevel::kInfo,
           "body_refused",
           { { "id", id ? *id : "" },
             { "call", aHead.call.callId },
             { "route", aHead.call.route },
             { "bytes", std::to_string(aHead.bodySize) },
             { "left_out", std::to_string(mLogLimiter.TakeSuppressedCount()) },
             { "reason", aReason } });
}

} // namespace knapweedpaddle::node
