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
 * The control thread's part of a node: ControlCore with its sockets, claims,
 * the operators' API and the export of trace spans.
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
               std::uint64_t aRandomSeed);

  /** Sets the traffic plane. Call before the loops run. */
  void SetTraffic(TrafficPlane& aTraffic) { mTraffic = &aTraffic; }

  store::ClaimBatcher& Claims() { return mClaims; }

  /**
   * Binds the gossip socket and starts the timers. Call before the loop runs.
   *
   * @return false if the socket can't be bound.
   */
  bool Start();

  /** Answers an HTTP request of an operator, backend server or monitor. Any
   * thread. */
  void HandleNodeRequest(callers::CallRequest aRequest,
                         callers::CallerServer::Respond aRespond);

  /** Answers a link request other than a call. Any thread. */
  void HandlePeerRequest(nodes::LinkRequest aRequest,
                         std::function<void(nodes::LinkResponse)> aRespond);

  /** Updates the call counts of this node's backend server. Any thread. */
  void TakeEvidence(const backends::EvidenceTable& aEvidence);
  void TakeSuspects(std::vector<CrashSuspect> aSuspects);

  /** Handles a pause of the process. Any thread. */
  void OnPause();

  /**
   * Notifies peers that this node leaves. Control thread.
   *
   * @param aDone  runs once the peers had time to receive that.
   */
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
