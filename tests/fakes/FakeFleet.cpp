#include "FakeFleet.h"

#include <nlohmann/json.hpp>

namespace knapweedpaddle::fakes {

namespace {

using Json = nlohmann::json;

constexpr std::uint16_t kPort = 7100;
/** 10.0.0.1; no socket is opened. */
constexpr std::uint64_t kFirstAddress = 0x0a000001;
constexpr Milliseconds kLatency{ 2 };
constexpr Milliseconds kPeerTimeout{ 1500 };
constexpr Milliseconds kCallInterval{ 250 };
constexpr std::uint64_t kCallsPerInterval = 60;

} // namespace

/** Scheduler of a node, whose timers do not run once that process has ended. */
class FleetScheduler : public runtime::Scheduler
{
public:
  FleetScheduler(FakeClock& aClock, FakeFleet::NodeState& aNode)
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
    return mClock.ScheduleAt(mClock.Now() + aDelay,
                             [this, task = std::move(aTask)] {
                               if (mNode.incarnation == mIncarnation) {
                                 task();
                               }
                             });
  }

  void Cancel(TimerId aTimer) override { mClock.Cancel(aTimer); }

private:
  FakeClock& mClock;
  FakeFleet::NodeState& mNode;
  std::uint64_t mIncarnation;
};

/** Sends one node's requests to its peers over the simulated network. */
class FleetPeerClient : public nodes::PeerClient
{
public:
  FleetPeerClient(FakeFleet& aFleet, FakeFleet::NodeState& aSelf)
    : mFleet(aFleet)
    , mSelf(aSelf)
  {
  }

  void Join(const std::string& aAddress,
            const nodes::MemberUpdate& aSelf,
            JoinCallback aCallback) override
  {
    SendRequest<nodes::JoinAnswer>(
      aAddress,
      [aSelf](node::FleetCore& aCore) { return aCore.OnJoin(aSelf); },
      std::move(aCallback));
  }

  void Pull(const std::string& aAddress,
            std::uint64_t aFrom,
            PullCallback aCallback) override
  {
    SendRequest<nodes::PullAnswer>(
      aAddress,
      [aFrom](node::FleetCore& aCore) { return aCore.OnPull(aFrom); },
      std::move(aCallback));
  }

  void Report(const std::string& aAddress,
              const moves::EvidenceReport& aReport) override
  {
    SendRequest<bool>(
      aAddress,
      [aReport](node::FleetCore& aCore) {
        aCore.OnReport(aReport);
        return true;
      },
      [](std::optional<bool>) {});
  }

private:
  template<typename T, typename Handler, typename Callback>
  void SendRequest(const std::string& aAddress,
                   Handler aHandler,
                   Callback aCallback)
  {
    const auto answered = std::make_shared<bool>(false);
    mFleet.Deliver(mSelf, kPeerTimeout, [answered, aCallback] {
      if (!std::exchange(*answered, true)) {
        aCallback(std::nullopt);
      }
    });
    FakeFleet::NodeState* peer = mFleet.FindByLinkAddress(aAddress);
    if (!peer || peer->incarnation == 0 || !FakeFleet::CanReach(mSelf, *peer)) {
      return;
    }
    mFleet.Deliver(
      *peer, kLatency, [this, peer, aHandler, answered, aCallback] {
        const T result = aHandler(*peer->core);
        if (!FakeFleet::CanReach(mSelf, *peer)) {
          return;
        }
        mFleet.Deliver(mSelf, kLatency, [answered, aCallback, result] {
          if (!std::exchange(*answered, true)) {
            aCallback(result);
          }
        });
      });
  }

  FakeFleet& mFleet;
  FakeFleet::NodeState& mSelf;
};

FakeFleet::FakeFleet(std::uint64_t aSeed)
  : mRandom(aSeed)
{
  MakeCalls();
}

FakeFleet::~FakeFleet() = default;

FakeFleet::NodeState&
FakeFleet::Add(const std::string& aZone,
               const std::string& aService,
               const std::string& aVersion)
{
  NodeState& node = nodes.emplace_back();
  const std::uint64_t address = kFirstAddress + nodes.size();
  node.id = nodes::NodeId{ address << 16 | kPort };
  node.settings.zone = aZone;
  node.settings.service = aService;
  node.settings.backendAddress = AddressWithPort(node.id, kPort + 1);
  node.version = aVersion;
  return node;
}

void
FakeFleet::Start(NodeState& aNode)
{
  if (aNode.core) {
    Kill(aNode);
    NodeState& old = mEndedNodes.emplace_back();
    old.scheduler = std::move(aNode.scheduler);
    old.store = std::move(aNode.store);
    old.orders = std::move(aNode.orders);
    old.peers = std::move(aNode.peers);
    old.core = std::move(aNode.core);
  }
  aNode.incarnation = static_cast<std::uint64_t>(clock.WallTime());
  aNode.view.reset();
  aNode.configVersion = 0;
  aNode.confirmedAt.reset();
  aNode.evidence.clear();
  std::set<std::string> zones;
  for (const auto& it : nodes) {
    zones.insert(it.settings.zone);
  }
  aNode.settings.zones.assign(zones.begin(), zones.end());
  aNode.allowances = std::make_unique<callers::TeamAllowances>(zones.size());
  aNode.scheduler = std::make_unique<FleetScheduler>(clock, aNode);
  aNode.store = std::make_unique<FakePlatform>(clock, shared, mRandom());
  aNode.store->SetFaultPlan([&aNode](bool) { return aNode.storeFault; });
  aNode.orders = std::make_unique<platform::RowOrderStore>(*aNode.store);
  aNode.peers = std::make_unique<FleetPeerClient>(*this, aNode);
  nodes::MemberRecord self;
  self.node = aNode.id;
  self.linkPort = kPort;
  self.zone = aNode.settings.zone;
  self.incarnation = aNode.incarnation;
  aNode.core = std::make_unique<node::FleetCore>(
    node::FleetCore::Services{
      *aNode.scheduler,
      *aNode.store,
      *aNode.orders,
      *aNode.peers,
      [this, &aNode](const nodes::Datagram& aDatagram) {
        Send(aNode, aDatagram);
      },
      [this, &aNode](routing::RoutingViewPtr aView) {
        configRegressed |= aView->config->version < aNode.configVersion;
        aNode.configVersion = aView->config->version;
        aNode.view = std::move(aView);
      },
      [this, &aNode](Microseconds aAsOf) { OnConfirmed(aNode, aAsOf); },
      [](const config::CallerLimits&) {},
      [&aNode](const AllowanceUpdate& aUpdate) {
        aNode.allowances->OnUpdate(aUpdate);
      },
      [](const std::optional<backends::BackendServer>&,
         const std::function<void()>& aDone) {
        if (aDone) {
          aDone();
        }
      },
      [](const std::string&, const std::string&) {},
    },
    aNode.settings,
    self,
    mRandom());
  aNode.core->Start();
  Report(aNode);
}

void
FakeFleet::StartAll()
{
  for (auto& it : nodes) {
    Start(it);
  }
}

void
FakeFleet::Kill(NodeState& aNode)
{
  aNode.incarnation = 0;
  aNode.view.reset();
  aNode.store->Disconnect();
}

void
FakeFleet::Report(NodeState& aNode)
{
  backends::ServerReport report;
  report.id = "i-" + ToString(aNode.id);
  report.service = aNode.settings.service;
  report.address = aNode.settings.backendAddress;
  report.version = aNode.version;
  report.slots = 12;
  report.sequence = ++aNode.reportCount;
  report.startedAtMs = 1;
  aNode.core->OnServerReport(report, [] {});
  Deliver(
    aNode, aNode.settings.reportInterval, [this, &aNode] { Report(aNode); });
}

void
FakeFleet::WriteConfig(std::uint64_t aVersion)
{
  Json routes = Json::object();
  for (int n = 0; n < 20; ++n) {
    routes["r" + std::to_string(n)] = {
      { "host", "h" + std::to_string(n) },
      { "prefix", "/v" + std::to_string(n == 0 ? aVersion : 0) + "/" },
      { "kind", "safe" },
      { "timeout-s", 1 },
      { "target-latency-s", 0.3 },
      { "priority", 1 },
      { "service", "svc" },
      { "max-attempts", 2 }
    };
  }
  Json config{ { "version", "r" + std::to_string(aVersion) },
               { "routes", routes },
               { "services", { { "svc", Json::object() } } },
               { "limits", Json::object() } };
  for (const auto& [name, allowance] : teams) {
    config["tenants"][name] = { { "api-keys", { "key-" + name } },
                                { "rate-per-s", allowance.callsPerSecond },
                                { "burst", allowance.burst } };
  }
  store::Transaction transaction;
  transaction.writes.push_back({ "op/config", config.dump(), false });
  shared.table.Commit(transaction);
  mConfigWrites.emplace_back(clock.BootTime(), aVersion);
}

void
FakeFleet::OnConfirmed(NodeState& aNode, Microseconds aAsOf)
{
  aNode.confirmedAt = aAsOf;
  for (const auto& [writtenAt, version] : mConfigWrites) {
    outdatedConfirmed |= writtenAt <= aAsOf && version > aNode.configVersion;
  }
}

bool
FakeFleet::AllConfirmed(Milliseconds aMaxAge) const
{
  return std::ranges::all_of(nodes, [&](const NodeState& aNode) {
    return aNode.incarnation == 0 ||
           (aNode.confirmedAt &&
            clock.BootTime() - *aNode.confirmedAt <= aMaxAge);
  });
}

void
FakeFleet::OrderRollout(const std::string& aToVersion, Milliseconds aDuration)
{
  const Json order{ { "service", "svc" },
                    { "to", aToVersion },
                    { "duration-s",
                      std::chrono::duration<double>(aDuration).count() } };
  store::Transaction transaction;
  transaction.writes.push_back({ "op/rollout/svc", order.dump(), false });
  shared.table.Commit(transaction);
}

void
FakeFleet::WriteOtherRows(int aCount)
{
  for (int n = 0; n < aCount; ++n) {
    store::Transaction transaction;
    transaction.writes.push_back({ "other/row", std::to_string(n), false });
    shared.table.Commit(transaction);
  }
}

void
FakeFleet::RestoreStore(const standins::InMemoryStore& aCopy,
                        const std::function<void()>& aRewrite)
{
  const auto setFault = [this](PlatformFault aFault) {
    for (auto& it : nodes) {
      it.storeFault = aFault;
    }
  };
  setFault(PlatformFault::kDown);
  shared.table.RestoreFrom(aCopy);
  aRewrite();
  clock.RunFor(Milliseconds(1000));
  setFault(PlatformFault::kNone);
}

void
FakeFleet::SilenceStoreConnections()
{
  for (auto& it : nodes) {
    it.store->SilencePendingRequests();
  }
}

std::string
FakeFleet::RolloutState() const
{
  const auto rows = shared.table.Read({ "status/rollout/svc" });
  const Json json = Json::parse(rows.front().value, nullptr, false);
  return json.is_object() ? json.value("state", "") : "";
}

bool
FakeFleet::AllServe(std::uint64_t aVersion) const
{
  return std::ranges::all_of(nodes, [aVersion](const NodeState& aNode) {
    return aNode.incarnation == 0 || aNode.configVersion >= aVersion;
  });
}

FakeFleet::NodeState*
FakeFleet::FindByLinkAddress(const std::string& aLinkAddress)
{
  const auto it =
    std::ranges::find_if(nodes, [&aLinkAddress](const NodeState& aNode) {
      return AddressWithPort(aNode.id, kPort) == aLinkAddress;
    });
  return it == nodes.end() ? nullptr : &*it;
}

void
FakeFleet::Deliver(NodeState& aNode, Milliseconds aDelay, FakeClock::Task aTask)
{
  clock.ScheduleAt(
    clock.Now() + aDelay,
    [&aNode, incarnation = aNode.incarnation, task = std::move(aTask)] {
      if (incarnation != 0 && aNode.incarnation == incarnation) {
        task();
      }
    });
}

void
FakeFleet::Send(NodeState& aFrom, const nodes::Datagram& aDatagram)
{
  NodeState* peer = FindByLinkAddress(AddressWithPort(aDatagram.to, kPort));
  const bool lost =
    std::uniform_real_distribution<double>(0, 1)(mRandom) < loss;
  if (!peer || lost || !CanReach(aFrom, *peer)) {
    return;
  }
  Deliver(*peer, kLatency, [peer, message = aDatagram.message] {
    peer->core->Receive(message);
  });
}

void
FakeFleet::MakeCalls()
{
  std::vector<NodeState*> running;
  for (auto& it : nodes) {
    if (it.incarnation != 0 && it.view) {
      running.push_back(&it);
    }
  }
  for (std::uint64_t n = 0; !running.empty() && n < kCallsPerInterval; ++n) {
    const NodeState& ingress = *running[mRandom() % running.size()];
    const double draw = std::uniform_real_distribution<double>(0, 1)(mRandom);
    const auto versions =
      ingress.view->VersionsFor("svc", config::CallClass::kIdempotent, draw);
    std::vector<NodeState*> owners;
    for (const auto& version : versions) {
      std::ranges::copy_if(running,
                           std::back_inserter(owners),
                           [&version](const NodeState* aNode) {
                             return version.Matches(aNode->version);
                           });
      if (!owners.empty()) {
        break;
      }
    }
    if (owners.empty()) {
      continue;
    }
    NodeState& owner = *owners[mRandom() % owners.size()];
    const bool isNew = owner.version == "v2";
    const bool fails = isNew && std::uniform_real_distribution<double>(0, 1)(
                                  mRandom) < failShare;
    backends::EvidenceSums& sums = owner.evidence[{ owner.version, "r0" }];
    ++sums.calls;
    sums.failures += fails ? 1 : 0;
    ++totalCalls;
    callsToNewVersion += isNew ? 1 : 0;
  }
  for (NodeState* it : running) {
    it->core->TakeEvidence(it->evidence);
  }
  clock.ScheduleAt(clock.Now() + kCallInterval, [this] { MakeCalls(); });
}

} // namespace knapweedpaddle::fakes
