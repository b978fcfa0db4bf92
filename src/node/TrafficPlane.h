#pragma once

#include "knapweedpaddle/backends/CallOwner.h"
#include "knapweedpaddle/callers/CallForwarder.h"
#include "knapweedpaddle/callers/CallerServer.h"
#include "knapweedpaddle/common/PauseDetector.h"
#include "knapweedpaddle/nodes/LinkServer.h"

namespace knapweedpaddle::node {

/**
 * What runs on the traffic thread: links of other nodes, the own backend
 * server's calls and the ingress of calls.
 *
 * Thread safety: each method says on which thread it runs.
 */
class TrafficPlane
{
public:
  struct Services
  {
    runtime::EventLoop& loop;
    backends::ClaimService& claims;
    telemetry::Metrics& metrics;
    telemetry::Tracer& tracer;
    callers::CallJournal& journal;
    /** Answers link requests that are not calls; any thread may respond. */
    std::function<void(nodes::LinkRequest,
                       std::function<void(nodes::LinkResponse)>)>
      onPeerRequest;
    std::function<void(const backends::EvidenceTable&)> onEvidence;
    std::function<void()> onPause;
    /** Answers callers' requests for the node itself, or empty. */
    std::function<void(callers::CallRequest, callers::CallerServer::Respond)>
      onNodeRequest;
  };

  /** What the plane is told at its start. */
  struct Options
  {
    nodes::NodeId node = nodes::kNoNode;
    std::string address; ///< IPv4 address of the link port
    std::uint16_t linkPort = 0;
    std::string callerAddress; ///< "IP:port"
    std::string zone;
    std::uint32_t checkSlots = 0;
    callers::CallerDialect callerDialect;
    backends::BackendDialect backendDialect;
    nodes::LinkClientOptions links;
  };

  TrafficPlane(Services aServices, Options aOptions, std::uint64_t aSeed);

  /**
   * Listens for links and callers. Before the loop runs.
   *
   * @return false, with the reason in aReason, when a port is taken.
   */
  bool Listen(std::string& aReason);

  /** Any thread. */
  void SetView(routing::RoutingViewPtr aView);

  /**
   * Sets the own backend server.
   *
   * @param aDone  runs on the traffic thread once it holds; may be empty.
   * Any thread.
   */
  void SetBackend(std::optional<backends::BackendServer> aBackend,
                  std::function<void()> aDone);

  /** Any thread. */
  void SetCallerLimits(const config::CallerLimits& aLimits);

  /** Any thread. */
  void SetCallerService(const std::string& aService);

  /** Ends callers' connections with their next answers. Any thread. */
  void DrainCallers();

  /** Refuses new calls of callers and peers. Any thread. */
  void Drain();

  /** Traffic thread: number of calls under way. */
  std::size_t InFlight() const;

private:
  void OnLinkRequest(nodes::LinkRequest aRequest,
                     const nodes::LinkResponderPtr& aResponder);
  void OnCall(nodes::LinkRequest aRequest,
              const nodes::LinkResponderPtr& aResponder);
  void OnTick();
  void CloseAfterPause();

  Services mServices;
  Options mOptions;
  PauseDetector
    mLongPauses; ///< after which the configuration may be out of date
  PauseDetector mShortPauses; ///< after which calls may have waited unread
  backends::CallOwner mOwner;
  nodes::LinkClient mLinks;
  callers::CallForwarder mForwarder;
  nodes::LinkServer mServer;
  callers::CallerServer mCallers;
  backends::EvidenceTable mReportedEvidence;
};

} // namespace knapweedpaddle::node
