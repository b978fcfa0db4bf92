#pragma once

#include "LinkPeerClient.h"
#include "TrafficPlane.h"
#include "knapweedpaddle/node/ControlCore.h"
#include "knapweedpaddle/nodes/GossipSocket.h"
#include "knapweedpaddle/operators/OperatorApi.h"
#include "knapweedpaddle/store/ClaimBatcher.h"
#include "knapweedpaddle/store/StoreFactory.h"

namespace knapweedpaddle::node {

/**
 * What runs on the control thread: the decisions of ControlCore with their
 * sockets, claims, the operators' API and the export of spans.
 *
 * Thread safety: each method says on which thread it runs.
 */
class ControlPlane
{
public:
  struct Services
  {
    runtime::EventLoop& loop;
    telemetry::Metrics& metrics;
    telemetry::Tracer& tracer;
    callers::CallJournal& journal;
  };

  ControlPlane(Services aServices,
               const settings::NodeSettings& aSettings,
               const store::StoreFactory& aMakeStore,
               std::uint64_t aSeed);

  /** Before the loops run. */
  void SetTraffic(TrafficPlane& aTraffic) { mTraffic = &aTraffic; }
  store::ClaimBatcher& Claims() { return mClaims; }

  /** Binds the gossip socket and starts timers. Before the loop runs. */
  bool Start();

  /** Any thread: answers an operator's, backend server's or monitor's request.
   */
  void HandleNodeRequest(callers::CallRequest aRequest,
                         callers::CallerServer::Respond aRespond);

  /** Any thread: answers a link request that is not a call. */
  void HandlePeerRequest(nodes::LinkRequest aRequest,
                         std::function<void(nodes::LinkResponse)> aRespond);

  /** Any thread: takes the counts of the own backend server's calls over. */
  void TakeEvidence(const backends::EvidenceTable& aEvidence);

  /** Any thread: the process was found to have been paused. */
  void OnPause();

  /** Control thread: tells everybody that this node leaves; then runs aDone. */
  void Leave(std::function<void()> aDone);

private:
  void OnSecond();
  void ExportSpans();
  void CountControlBytes(const std::string& aKind,
                         std::size_t aSent,
                         std::size_t aReceived);
  static void LogCoreEvent(const std::string& aEvent,
                           const std::string& aDetail);

  Services mServices;
  const settings::NodeSettings& mSettings;
  TrafficPlane* mTraffic = nullptr;
  std::unique_ptr<store::StoreClient> mStore;
  store::ClaimBatcher mClaims;
  LinkPeerClient mPeers;
  nodes::GossipSocket mGossip;
  ControlCore mCore;
  operators::OperatorApi mApi;
  runtime::HttpClient mTraceClient;
};

} // namespace knapweedpaddle::node
