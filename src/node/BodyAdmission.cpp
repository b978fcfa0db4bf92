#include "BodyAdmission.h"

namespace knapweedpaddle::node {

using nodes::LinkRequest;
using nodes::LinkResponder;
using nodes::LinkResponderPtr;

BodyAdmission::BodyAdmission(backends::BackendDispatcher& aDispatcher,
                             telemetry::Metrics& aMetrics,
                             double aLinkBytesPerMs)
  : mDispatcher(aDispatcher)
  , mMetrics(aMetrics)
  , mGate(aLinkBytesPerMs)
{
}

void
BodyAdmission::OnHeaders(const LinkRequest& aRequest,
                         const LinkResponderPtr& aResponder)
{
  std::string reason;
  const auto head =
    aRequest.path == nodes::kCallPath
      ? nodes::DecodeCallHead(aRequest, aRequest.begunAt, reason)
      : std::nullopt;
  if (!head || head->bodySize <= nodes::kFreeBodyBytes) {
    // What can't be decoded gets its error response as a whole request.
    aResponder->AcceptBody();
    return;
  }
  const backends::ForwardedCall& call = head->call;
  if (reason = mDispatcher.CheckRefusal(call); !reason.empty()) {
    Refuse(aResponder, call.callId, call.route, reason);
    return;
  }
  const Timestamp now = std::chrono::steady_clock::now();
  const backends::Transfer transfer{ ++mLastId,
                                     static_cast<std::size_t>(head->bodySize),
                                     call.deadline,
                                     call.targetDeadline,
                                     static_cast<double>(
                                       mDispatcher.Load(call.route).routeMs) };
  if (const auto refusal = mGate.Add(transfer, now)) {
    Refuse(aResponder,
           call.callId,
           call.route,
           std::string(NameOf(backends::kTransferRefusalNames, *refusal)));
    return;
  }
  mTransfers[transfer.id] = { aResponder, call.callId, call.route };
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
  mTransfers.erase(it->second);
  mIds.erase(it);
  GrantTransfers();
}

void
BodyAdmission::OnTick()
{
  for (const auto id : mGate.TakeExpired(std::chrono::steady_clock::now())) {
    const Waiting waiting = mTransfers.at(id);
    mTransfers.erase(id);
    if (const auto responder = waiting.responder.lock()) {
      mIds.erase(responder.get());
      Refuse(responder,
             waiting.callId,
             waiting.route,
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
BodyAdmission::Refuse(const LinkResponderPtr& aResponder,
                      const std::string& aCallId,
                      const std::string& aRoute,
                      const std::string& aReason)
{
  mMetrics.Count("bodies_refused_total", { { "reason", aReason } });
  callers::CallResult result;
  result.outcome = callers::CallOutcome::kNotRun;
  result.callId = aCallId;
  result.reason = aReason;
  aResponder->Respond(
    nodes::EncodeCallResult(result, mDispatcher.Load(aRoute)));
}

} // namespace knapweedpaddle::node
