#pragma once

#include "TrafficPlane.h"
#include "knapweedpaddle/backends/Announcement.h"
#include "knapweedpaddle/config/ConfigStore.h"
#include "knapweedpaddle/moves/MoveBoard.h"
#include "knapweedpaddle/moves/ZoneJudge.h"
#include "knapweedpaddle/node/ServingGate.h"
#include "knapweedpaddle/nodes/GossipCodec.h"
#include "knapweedpaddle/nodes/GossipSocket.h"
#include "knapweedpaddle/nodes/LinkClient.h"
#include "knapweedpaddle/nodes/Membership.h"
#include "knapweedpaddle/operators/Acceptor.h"
#include "knapweedpaddle/operators/OperatorApi.h"
#include "knapweedpaddle/platform/CatalogueReader.h"
#include "knapweedpaddle/platform/ClaimBatcher.h"
#include "knapweedpaddle/platform/HttpPlatformClient.h"

#include <random>
#include <set>

namespace knapweedpaddle::node {

/**
 * What runs on the control thread: membership, configuration, moves, claims
 * and the operators' API.
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

  ControlPlane(Services aServices, const settings::NodeSettings& aSettings, std::uint64_t aSeed);

  /** Before the loops run. */
  void SetTraffic(TrafficPlane& aTraffic) { mTraffic = &aTraffic; }
  platform::ClaimBatcher& Claims() { return mClaims; }

  /** Binds the gossip socket and starts timers. Before the loop runs. */
  bool Start();

  /** Any thread: answers an operator's, backend server's or monitor's request. */
  void HandleNodeRequest(callers::CallRequest aRequest, callers::CallerServer::Respond aRespond);

  /** Any thread: answers a link request that is not a call. */
  void HandleLink(nodes::LinkRequest aRequest, std::function<void(nodes::LinkResponse)> aRespond);

  /** Any thread: takes the counts of the own backend server's calls over. */
  void TakeEvidence(const backends::EvidenceTable& aEvidence);

  /** Any thread: the process was found to have been paused. */
  void NotePause();

  /** Control thread: tells everybody that this node leaves; then runs aDone. */
  void Leave(std::function<void()> aDone);

private:
  // Membership
  void OnTick();
  void OnPause();
  void OnGossip(const nodes::GossipMessage& aMessage);
  void Send(const std::vector<nodes::Datagram>& aDatagrams);
  void UpdateSelf();
  void Bootstrap();
  void Join(std::vector<std::string> aAddresses);
  void OnJoinAnswer(const std::string& aBody);
  void WriteMemberRow();
  nodes::JoinAnswer MakeJoinAnswer(const nodes::MemberRecord& aAsker) const;

  // Configuration
  void OnSecond();
  void PollHead();
  void BeginGate();
  void UpdateGate();
  void OnPeerVersion(nodes::NodeId aPeer, std::uint64_t aVersion);
  void Pull(nodes::NodeId aPeer);
  bool ApplyPull(const std::string& aBody);
  void OnConfigChanged();
  nodes::PullAnswer MakePullAnswer(std::uint64_t aFromVersion) const;

  // Routing and moves
  void Publish();
  void PublishIfChanged();
  void JudgeMoves();
  void MergeProgress(const std::vector<nodes::MoveProgress>& aProgress);
  void SendEvidence();
  void RecordMoves();
  void RecordMove(const config::MoveEntry& aMove, config::MoveState aState, std::string aReason);
  std::set<std::string> ZonesOf(const std::string& aService) const;
  std::string ExplainMove(const std::string& aName) const;

  // Backend server
  bool Announce(const std::string& aBody, std::string& aReason);
  void ExpireAnnouncement();

  void CountControlBytes(const char* aKind, std::size_t aSent, std::size_t aReceived);
  void ExportSpans();

  Services mServices;
  const settings::NodeSettings& mSettings;
  std::mt19937_64 mRandom;
  TrafficPlane* mTraffic = nullptr;
  PauseDetector mPauses;

  config::ConfigStore mStore;
  platform::HttpPlatformClient mPlatform;
  platform::CatalogueReader mReader;
  platform::ClaimBatcher mClaims;
  operators::Acceptor mAcceptor;
  nodes::Membership mMembers;
  nodes::GossipSocket mGossip;
  nodes::LinkClient mLinks;
  moves::MoveBoard mBoard;
  moves::ZoneJudge mJudge;
  ServingGate mGate;
  operators::OperatorApi mApi;
  runtime::HttpClient mTraceClient;

  std::optional<backends::Announcement> mBackend;
  Timestamp mAnnouncedAt;
  backends::EvidenceTable mEvidence;
  std::uint64_t mPublishedMembers = 0;
  bool mViewDirty = true;
  bool mLeaving = false;
  bool mPulling = false;
  bool mMemberRowWritten = false;
  std::uint32_t mSeconds = 0;
  std::uint32_t mJoinsOutstanding = 0;
  bool mJoined = false;
  std::set<std::string> mRecording; ///< moves whose end is being recorded
};

} // namespace knapweedpaddle::node
