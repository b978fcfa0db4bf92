#pragma once

#include "BodyAdmission.h"
#include "knapweedpaddle/backends/BackendDispatcher.h"
#include "knapweedpaddle/callers/CallForwarder.h"
#include "knapweedpaddle/callers/CallerServer.h"
#include "knapweedpaddle/common/PauseDetector.h"
#include "knapweedpaddle/nodes/LinkServer.h"

namespace knapweedpaddle::node {

/**
 * The traffic thread's part of a node: accepts calls from callers, forwards
 * them to other nodes over links, and sends the calls that other nodes forward
 * here to this node's backend server.
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
    /** Answers link requests other than calls; any thread may respond. */
    std::function<void(nodes::LinkRequest,
                       std::function<void(nodes::LinkResponse)>)>
      onPeerRequest;
    /** Receives the call counts of this node's backend server. */
    std::function<void(const backends::EvidenceTable&)> onEvidence;
    /** Receives the requests that may have crashed this node's backend server.
     */
    std::function<void(std::vector<CrashSuspect>)> onSuspects;
    /** Receives the calls of teams at this node; may be empty. */
    std::function<void(std::vector<TeamUsage>)> onTeamUsages;
    /** Runs after a pause of the process. */
    std::function<void()> onPause;
    /** Runs when this node's backend server says that it is leaving; may be
     * empty. */
    std::function<void(const backends::BackendServer&)> onServerLeaving;
    /** Answers HTTP requests for the node itself; empty if there are none. */
    std::function<void(callers::CallRequest, callers::CallerServer::Respond)>
      onNodeRequest;
  };

  /** Settings that stay fixed while the process runs. */
  struct Options
  {
    nodes::NodeId node = nodes::kNoNode;
    std::string address; ///< IPv4 address that linkPort is bound to
    std::uint16_t linkPort = 0;
    std::string callerAddress; ///< "IP:port" that callers connect to
    std::string zone;
    std::uint32_t checkSlots = 0; ///< slots kept for calls of class check
    /** Time within which an accepted configuration is in force on this node. */
    Milliseconds maxConfigApplyTime{ 7000 };
    /** See callers::CallForwarder::Identity. */
    Milliseconds maxKeyAge{ 0 };
    std::size_t allowanceSlots = 0;
    double hedgeShare = 0.13;
    double linkBytesPerMs = 0; ///< rate of the VM's link; 0 if it is not known
    std::size_t maxCallerConnections = 0; ///< open at a time; 0: no limit
    /** Factor by which the calls of any second may exceed the rate that a cold
     * backend server takes. */
    double warmupOvershoot = 1;
    callers::CallerDialect callerDialect;
    backends::BackendDialect backendDialect;
    nodes::LinkClientOptions links;
  };

  TrafficPlane(Services aServices, Options aOptions, std::uint64_t aRandomSeed);

  /**
   * Listens for links and callers. Call before the loop runs.
   *
   * @return false, with the reason in aReason, if a port can't be bound.
   */
  bool Listen(std::string& aReason);

  /** Sets the routing view that calls follow. Any thread. */
  void SetView(routing::RoutingViewPtr aView);

  /** Records the boot time at which the configuration of the last view was the
   * newest one. Any thread. */
  void ConfirmConfig(Microseconds aAsOf);

  /** Takes a coordinator's answer about the allowances of teams. Any thread. */
  void UpdateAllowances(AllowanceUpdate aUpdate);

  /**
   * Sets this node's backend server, or none. Any thread.
   *
   * @param aDone  runs on the traffic thread once the change is in force; may
   * be empty.
   */
  void SetBackend(std::optional<backends::BackendServer> aBackend,
                  std::function<void()> aDone);

  /** Sets the limits on callers' requests. Any thread. */
  void SetCallerLimits(const config::CallerLimits& aLimits);

  /** Sets the service that this node's callers belong to. Any thread. */
  void SetCallerService(const std::string& aService);

  /** Closes each caller connection after its next answer, and takes only calls
   * that the window takes. Any thread. */
  void BeginStop(const StopWindow& aWindow);

  /** Refuses new calls from callers and peers. Any thread. */
  void Drain();

  /** Answers the calls of callers that are in progress. Any thread. */
  void EndCalls();

  /** Returns the number of calls in progress. Traffic thread. */
  std::size_t InFlight() const;

  /** Returns true while answers wait to be sent. Traffic thread. */
  bool HasUnsentAnswers() const;

private:
  void OnLinkRequest(nodes::LinkRequest aRequest,
                     const nodes::LinkResponderPtr& aResponder);
  void OnCall(nodes::LinkRequest aRequest,
              const nodes::LinkResponderPtr& aResponder);
  void OnTick();
  void ReportTeamUsages();
  /** Returns what a view says of the warm-up of services' servers. */
  backends::WarmupTable WarmupOf(const routing::RoutingView& aView) const;
  /** Holds new calls after a pause, until the configuration is confirmed. */
  void CloseAfterPause();

  Services mServices;
  Options mOptions;
  PauseDetector mLongPauses;  ///< pauses that may outdate the configuration
  PauseDetector mShortPauses; ///< pauses that delay the reading of calls
  backends::BackendDispatcher mDispatcher;
  nodes::LinkClient mLinks;
  callers::CallForwarder mForwarder;
  BodyAdmission mBodies;
  nodes::LinkServer mServer;
  callers::CallerServer mCallers;
  std::vector<CrashSuspect> mReportedSuspects; ///< last passed to onSuspects
  backends::EvidenceTable mReportedEvidence;   ///< last passed to onEvidence
};

} // namespace knapweedpaddle::node
