#pragma once

#include "knapweedpaddle/backends/CallOwner.h"
#include "knapweedpaddle/callers/CallForwarder.h"
#include "knapweedpaddle/common/PauseDetector.h"
#include "knapweedpaddle/nodes/LinkServer.h"
#include "knapweedpaddle/settings/NodeSettings.h"

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
      onControl;
    std::function<void(const backends::EvidenceTable&)> onEvidence;
    std::function<void()> onPause;
  };

  TrafficPlane(Services aServices,
               const settings::NodeSettings& aSettings,
               std::uint64_t aSeed);

  /** Listens for links; false when the port is taken. Before the loop runs. */
  bool Listen();

  /** Any thread. */
  void SetView(routing::RoutingViewPtr aView);

  /** Any thread. */
  void SetBackend(std::optional<backends::BackendServer> aBackend);

  /** Any thread; the callback runs on the traffic thread. */
  void Forward(callers::CallRequest aRequest, callers::CallCallback aCallback);

  /** Any thread. Refuses new work and tells peers. */
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
  const settings::NodeSettings& mSettings;
  PauseDetector mPauses; ///< after which the configuration may be out of date
  PauseDetector mStaleness; ///< after which calls may have waited unread
  backends::CallOwner mOwner;
  nodes::LinkClient mLinks;
  callers::CallForwarder mForwarder;
  nodes::LinkServer mServer;
  backends::EvidenceTable mReported;
};

} // namespace knapweedpaddle::node
