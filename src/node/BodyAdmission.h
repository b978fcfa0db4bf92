#pragma once

#include "knapweedpaddle/backends/BackendDispatcher.h"
#include "knapweedpaddle/backends/TransferGate.h"
#include "knapweedpaddle/nodes/CallCodec.h"
#include "knapweedpaddle/nodes/LinkServer.h"

namespace knapweedpaddle::node {

/**
 * Decides on the headers of a peer's call whether its body may be sent here: a
 * call that the backend server could not run in time is refused before its body
 * uses the link.
 *
 * Thread safety: the traffic thread only.
 */
class BodyAdmission
{
public:
  /** @param aLinkBytesPerMs  rate of the node's link; 0 if it is not known. */
  BodyAdmission(backends::BackendDispatcher& aDispatcher,
                telemetry::Metrics& aMetrics,
                double aLinkBytesPerMs);

  /** Accepts or refuses the body of a request; or lets it wait. */
  void OnHeaders(const nodes::LinkRequest& aRequest,
                 const nodes::LinkResponderPtr& aResponder);

  /** Notes that a request arrived whole, or that it was cancelled. */
  void OnEnded(const nodes::LinkResponder* aResponder);

  /** Refuses the bodies that waited for too long. Call every 100 ms or so. */
  void OnTick();

private:
  struct Waiting
  {
    std::weak_ptr<nodes::LinkResponder> responder;
    std::string callId;
    std::string route;
  };

  void GrantTransfers();
  void Refuse(const nodes::LinkResponderPtr& aResponder,
              const std::string& aCallId,
              const std::string& aRoute,
              const std::string& aReason);

  backends::BackendDispatcher& mDispatcher;
  telemetry::Metrics& mMetrics;
  backends::TransferGate mGate;
  std::uint64_t mLastId = 0;
  std::unordered_map<std::uint64_t, Waiting> mTransfers;
  std::unordered_map<const nodes::LinkResponder*, std::uint64_t> mIds;
};

} // namespace knapweedpaddle::node
