#include "FakeMesh.h"

#include "knapweedpaddle/config/EntryCodec.h"
#include "knapweedpaddle/store/CatalogueRows.h"

#include <numeric>

namespace knapweedpaddle::fakes {

namespace {

/** Bytes of IPv4 and UDP headers. */
constexpr std::size_t kDatagramOverhead = 28;
/** Bytes of headers and framing that are counted for a request or an answer. */
constexpr std::size_t kStreamOverhead = 240;
constexpr Milliseconds kPeerTimeout{ 1500 };
constexpr std::size_t kSeedsPerZone = 3;
constexpr std::uint16_t kLinkPort = 7101;
/** 10.0.0.1; no socket is opened. */
constexpr std::uint64_t kFirstAddress = 0x0a000001;

} // namespace

/**
 * Scheduler of a node. Its timers are held back while the node is paused and do
 * not run once it was killed or restarted.
 */
class MeshScheduler : public runtime::Scheduler
{
public:
  MeshScheduler(FakeClock& aClock, FakeMesh::NodeState& aNode)
    : mClock(aClock)
    , mNode(aNode)
    , mIncarnation(aNode.incarnation)
  {
  }

  Timestamp Now() const override { return mClock.Now(); }
  WallMilliseconds WallTime() const override { return mClock.WallTime(); }
  Microseconds BootTime() const override { return mClock.BootTime(); }

  TimerId RunAfter(Milliseconds aDelay, Task aTask) override
  {
    return mClock.ScheduleAt(
      mClock.Now() + aDelay,
      [this, task = std::move(aTask), incarnation = mIncarnation] {
        if (!mNode.alive || mNode.incarnation != incarnation) {
          return;
        }
        if (mNode.paused) {
          mNode.deferredTasks.push_back(task);
          return;
        }
        task();
      });
  }

  void Cancel(TimerId aTimer) override { mClock.Cancel(aTimer); }

private:
  FakeClock& mClock;
  FakeMesh::NodeState& mNode;
  std::uint64_t mIncarnation;
};

/** Sends one node's requests to its peers over the simulated network. */
class MeshPeerClient : public nodes::PeerClient
{
public:
  MeshPeerClient(FakeMesh& aMesh, FakeMesh::NodeState& aSelf)
    : mMesh(aMesh)
    , mSelf(aSelf)
  {
  }

  void Join(const std::string& aAddress,
            const nodes::MemberUpdate& aSelf,
            JoinCallback aCallback) override
  {
    SendRequest<nodes::JoinAnswer>(
      aAddress,
      nodes::EncodeJoinRequest(aSelf).size(),
      [aSelf](node::ControlCore& aCore) { return aCore.OnJoin(aSelf); },
      [](const nodes::JoinAnswer& aAnswer) {
        return nodes::EncodeJoinAnswer(aAnswer).size();
      },
      std::move(aCallback));
  }

  void Pull(const std::string& aAddress,
            std::uint64_t aFrom,
            PullCallback aCallback) override
  {
    SendRequest<nodes::PullAnswer>(
      aAddress,
      nodes::EncodePullRequest(aFrom).size(),
      [aFrom](node::ControlCore& aCore) { return aCore.OnPull(aFrom); },
      [](const nodes::PullAnswer& aAnswer) {
        return nodes::EncodePullAnswer(aAnswer).size();
      },
      std::move(aCallback));
  }

  void Report(const std::string& aAddress,
              const moves::EvidenceReport& aReport) override
  {
    SendRequest<bool>(
      aAddress,
      moves::EncodeEvidence(aReport).size(),
      [aReport](node::ControlCore& aCore) {
        aCore.OnReport(aReport);
        return true;
      },
      [](bool) { return std::size_t{ 0 }; },
      [](std::optional<bool>) {});
  }

private:
  template<typename T, typename Handler, typename Size, typename Callback>
  void SendRequest(const std::string& aAddress,
                   std::size_t aBytes,
                   Handler aHandler,
                   Size aSize,
                   Callback aCallback)
  {
    FakeMesh::NodeState* peer = mMesh.FindByLinkAddress(aAddress);
    mSelf.sentBytes += aBytes + kStreamOverhead;
    const auto answered = std::make_shared<bool>(false);
    mMesh.Deliver(mSelf, kPeerTimeout, [answered, aCallback] {
      if (!std::exchange(*answered, true)) {
        aCallback(std::nullopt);
      }
    });
    if (!peer || !mMesh.Reaches(mSelf.zone, peer->zone)) {
      return;
    }
    const Milliseconds latency = mMesh.Latency(mSelf, *peer);
    const std::uint64_t incarnation = mSelf.incarnation;
    mMesh.Deliver(
      *peer,
      latency,
      [this, peer, incarnation, aBytes, aHandler, aSize, aCallback, answered] {
        peer->receivedBytes += aBytes + kStreamOverhead;
        const T result = aHandler(*peer->core);
        peer->sentBytes += aSize(result) + kStreamOverhead;
        if (!mMesh.Reaches(peer->zone, mSelf.zone) ||
            mSelf.incarnation != incarnation) {
          return;
        }
        mMesh.Deliver(mSelf,
                      mMesh.Latency(*peer, mSelf),
                      [this, aSize, result, aCallback, answered] {
                        if (!std::exchange(*answered, true)) {
                          mSelf.receivedBytes +=
                            aSize(result) + kStreamOverhead;
                          aCallback(result);
                        }
                      });
      });
  }

  FakeMesh& mMesh;
  FakeMesh::NodeState& mSelf;
};

FakeMesh::FakeMesh(std::uint64_t aSeed)
  : mRandom(aSeed)
{
}

FakeMesh::~FakeMesh() = default;

FakeMesh::NodeState&
FakeMesh::Add(const std::string& aZone, const std::string& aService)
{
  NodeState& node = members.emplace_back();
  const std::uint64_t address = kFirstAddress + members.size();
  node.id = nodes::NodeId{ address << 16 | 7100 };
  node.zone = aZone;
  node.backend = backends::BackendServer{
    AddressWithPort(node.id, 7200), aService, "v1", 12
  };
  return node;
}

void
FakeMesh::Start(NodeState& aNode)
{
  if (aNode.core) {
    Kill(aNode);
    NodeState& old = mEndedNodes.emplace_back();
    old.scheduler = std::move(aNode.scheduler);
    old.platform = std::move(aNode.platform);
    old.peers = std::move(aNode.peers);
    old.core = std::move(aNode.core);
  }
  aNode.alive = true;
  aNode.paused = false;
  aNode.deferredTasks.clear();
  aNode.incarnation = std::max(static_cast<std::uint64_t>(clock.WallTime()),
                               aNode.incarnation + 1);
  aNode.scheduler = std::make_unique<MeshScheduler>(clock, aNode);
  aNode.platform = std::make_unique<FakePlatform>(clock, shared, mRandom());
  aNode.platform->SetFaultPlan([this, &aNode](bool) {
    return mPlatformCuts.contains(aNode.zone) ? PlatformFault::kLostRequest
                                              : mPlatformFault;
  });
  aNode.peers = std::make_unique<MeshPeerClient>(*this, aNode);
  nodes::MemberRecord self;
  self.node = aNode.id;
  self.linkPort = kLinkPort;
  self.callerPort = 7102;
  self.zone = aNode.zone;
  self.incarnation = aNode.incarnation;
  aNode.core = std::make_unique<node::ControlCore>(
    node::ControlCore::Services{
      *aNode.scheduler,
      *aNode.platform,
      *aNode.peers,
      [this, &aNode](const nodes::Datagram& aDatagram) {
        Send(aNode, aDatagram);
      },
      [this, &aNode](routing::RoutingViewPtr aView) {
        OnView(aNode, std::move(aView));
      },
      [](Microseconds) {},
      [](const std::optional<backends::BackendServer>&) {},
      [](const std::string&, const std::string&) {},
    },
    self,
    SeedsFor(aNode),
    mRandom());
  aNode.core->Start();
  Announce(aNode);
}

std::vector<std::string>
FakeMesh::SeedsFor(const NodeState& aNode) const
{
  std::vector<std::string> seeds;
  for (const auto& it : members) {
    if (it.zone == aNode.zone && seeds.size() < kSeedsPerZone) {
      seeds.push_back(AddressWithPort(it.id, kLinkPort));
    }
  }
  return seeds;
}

void
FakeMesh::StartAll()
{
  for (auto& it : members) {
    Start(it);
  }
}

void
FakeMesh::Kill(NodeState& aNode)
{
  aNode.alive = false;
  aNode.view.reset();
  aNode.platform->Disconnect();
  ++aNode.incarnation;
}

void
FakeMesh::Pause(NodeState& aNode)
{
  aNode.paused = true;
}

void
FakeMesh::Resume(NodeState& aNode)
{
  aNode.paused = false;
  for (auto& it : std::exchange(aNode.deferredTasks, {})) {
    Deliver(aNode, Milliseconds(0), std::move(it));
  }
}

void
FakeMesh::Cut(const std::string& aFrom, const std::string& aTo)
{
  mCuts.emplace(aFrom, aTo);
}

void
FakeMesh::Heal()
{
  mCuts.clear();
}

void
FakeMesh::CutPlatform(const std::string& aZone)
{
  mPlatformCuts.insert(aZone);
}

void
FakeMesh::HealPlatform()
{
  mPlatformCuts.clear();
}

void
FakeMesh::Accept(NodeState& aNode,
                 const std::string& aOperation,
                 std::vector<config::Entry> aEntries)
{
  config::ChangeRequest request;
  request.operationId = aOperation;
  request.upserts = std::move(aEntries);
  aNode.core->ChangeAcceptor().Accept(
    std::move(request),
    "owner",
    [this, aOperation](const operators::AcceptResult& aResult) {
      acceptResults[aOperation] = aResult;
    });
}

bool
FakeMesh::AllServe(std::uint64_t aVersion) const
{
  return std::ranges::all_of(members, [aVersion](const NodeState& aNode) {
    return !aNode.alive || (aNode.view && aNode.view->open &&
                            aNode.view->config->version >= aVersion);
  });
}

std::size_t
FakeMesh::ServingCount() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(members, [](const NodeState& aNode) {
      return aNode.alive && aNode.view && aNode.view->open;
    }));
}

double
FakeMesh::SentBytes() const
{
  return std::accumulate(members.begin(),
                         members.end(),
                         0.0,
                         [](double aSum, const NodeState& aNode) {
                           return aSum + static_cast<double>(aNode.sentBytes);
                         });
}

double
FakeMesh::SentDatagrams() const
{
  return std::accumulate(members.begin(),
                         members.end(),
                         0.0,
                         [](double aSum, const NodeState& aNode) {
                           return aSum +
                                  static_cast<double>(aNode.sentDatagrams);
                         });
}

FakeMesh::NodeState*
FakeMesh::Find(nodes::NodeId aId)
{
  const auto index =
    (static_cast<std::uint64_t>(aId) >> 16) - kFirstAddress - 1;
  return index < members.size() ? &members[index] : nullptr;
}

FakeMesh::NodeState*
FakeMesh::FindByLinkAddress(const std::string& aAddress)
{
  const auto id = nodes::ParseNodeId(aAddress);
  return id ? Find(*id) : nullptr;
}

bool
FakeMesh::Reaches(const std::string& aFrom, const std::string& aTo) const
{
  return !mCuts.contains({ aFrom, aTo });
}

Milliseconds
FakeMesh::Latency(const NodeState& aFrom, const NodeState& aTo)
{
  return Milliseconds(aFrom.zone == aTo.zone ? 1 : 2) +
         Milliseconds(static_cast<std::int64_t>(mRandom() % 2));
}

void
FakeMesh::Deliver(NodeState& aNode, Milliseconds aDelay, FakeClock::Task aTask)
{
  const std::uint64_t incarnation = aNode.incarnation;
  clock.ScheduleAt(clock.Now() + aDelay,
                   [&aNode, incarnation, task = std::move(aTask)] {
                     if (!aNode.alive || aNode.incarnation != incarnation) {
                       return;
                     }
                     if (aNode.paused) {
                       aNode.deferredTasks.push_back(task);
                       return;
                     }
                     task();
                   });
}

void
FakeMesh::Send(NodeState& aFrom, const nodes::Datagram& aDatagram)
{
  const std::string bytes = nodes::EncodeGossip(aDatagram.message, "mesh");
  aFrom.sentBytes += bytes.size() + kDatagramOverhead;
  ++aFrom.sentDatagrams;
  NodeState* to = Find(aDatagram.to);
  const bool lost =
    std::uniform_real_distribution<double>(0, 1)(mRandom) < mLoss;
  if (!to || lost || !Reaches(aFrom.zone, to->zone)) {
    return;
  }
  Deliver(*to, Latency(aFrom, *to), [to, bytes] {
    to->receivedBytes += bytes.size() + kDatagramOverhead;
    to->core->Receive(*nodes::DecodeGossip(bytes, "mesh"));
  });
}

void
FakeMesh::OnView(NodeState& aNode, routing::RoutingViewPtr aView)
{
  if (aView->open) {
    const std::uint64_t version = aView->config->version;
    if (version < aNode.servedVersion) {
      violations.push_back("P1: " + ToString(aNode.id) + " went from version " +
                           std::to_string(aNode.servedVersion) + " to " +
                           std::to_string(version));
    }
    if (version > aNode.servedVersion) {
      aNode.servedVersion = version;
      aNode.servedSince = clock.Now();
    }
    config::ConfigReason reason;
    if (!config::Validate(*aView->config, reason)) {
      violations.push_back("P2: " + reason.message);
    }
    const auto row = shared.table.Read({ store::ChangeKey(version) }).front();
    const auto change = config::DecodeChange(row.value, reason);
    if (version > 0 && change && change->digest != aView->config->Digest()) {
      violations.push_back("P3: version " + std::to_string(version) +
                           " has another digest");
    }
  }
  aNode.view = std::move(aView);
}

void
FakeMesh::Announce(NodeState& aNode)
{
  if (aNode.backend) {
    aNode.core->Announce({ *aNode.backend, false });
  }
  aNode.scheduler->RunAfter(Milliseconds(1000),
                            [this, &aNode] { Announce(aNode); });
}

std::vector<config::Entry>
BasicEntries(const std::string& aVersion)
{
  config::ServiceEntry service;
  service.header = { "svc", "owner", 0 };
  service.version = aVersion;
  config::RouteEntry route;
  route.header = { "route", "owner", 0 };
  route.pathPrefix = "/svc/";
  route.service = "svc";
  return { service, route };
}

} // namespace knapweedpaddle::fakes
