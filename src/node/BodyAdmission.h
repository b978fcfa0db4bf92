#pragma once

#include "knapweedpaddle/backends/BackendDispatcher.h"
#include "knapweedpaddle/backends/TransferGate.h"
#include "knapweedpaddle/nodes/CallCodec.h"
#include "knapweedpaddle/nodes/LinkServer.h"
#include "knapweedpaddle/telemetry/LogRateLimiter.h"

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
  /**
   * @param aIdHeader        header with the caller's id of a call; may be
   * empty.
   * @param aLinkBytesPerMs  rate of the node's link; 0 if it is not known.
   */
  BodyAdmission(backends::BackendDispatcher& aDispatcher,
                telemetry::Metrics& aMetrics,
                std::string aIdHeader,
                double aLinkBytesPerMs);

  /** Accepts or refuses the body of a request; or lets it wait. */
  void OnHeaders(const nodes::LinkRequest& aRequest,
                 const nodes::LinkResponderPtr& aResponder);

  /** Notes that a request arrived whole, or that it was cancelled. */
  void OnEnded(const nodes::LinkResponder* aResponder);

  /** Refuses the bodies that waited for too long. Call every 100 ms or so. */
  void OnTick();

private:
  /** A call whose body has not arrived whole. */
  struct Waiting
  {
    std::weak_ptr<nodes::LinkResponder> responder;
    nodes::CallHead head;
  };

  void GrantTransfers();
  void Refuse(nodes::LinkResponder& aResponder,
              const nodes::CallHead& aHead,
              const std::string& aReason);
  void LogRefusal(const nodes::CallHead& aHead, const std::string& aReason);

  backends::BackendDispatcher& mDispatcher;
  telemetry::Metrics& mMetrics;
  std::string mIdHeader;
  backends::TransferGate mGate;
  telemetry::LogRateLimiter mLogLimiter;
  std::uint64_t mLastId = 0;
  std::size_t mExpectedBytes = 0; ///< of the bodies that have not arrived whole
  std::unordered_map<std::uint64_t, Waiting> mTransfers;
  std::unordered_map<const nodes::LinkResponder*, std::uint64_t> mIds;
};

} // namespace knapweedpaddle::node
