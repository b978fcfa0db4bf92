// The calls that a cold backend server gets, and what its callers get while
// many servers are cold.

#include "knapweedpaddle/backends/SlotQueue.h"
#include "knapweedpaddle/routing/LoadBalancer.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <memory>

using namespace knapweedpaddle;
using namespace knapweedpaddle::backends;

namespace {

const Timestamp kNow{ std::chrono::hours(1) };
constexpr std::chrono::seconds kSecond{ 1 };
constexpr std::size_t kCallsPerSecond = 10;
/** Time in which a process does not know what the one before it sent. */
constexpr Milliseconds kStartTime{ 1100 };

/** Counts the calls of the last second. */
struct LastSecond
{
  void Add(Timestamp aNow)
  {
    calls.push_back(aNow);
    while (calls.front() <= aNow - kSecond) {
      calls.pop_front();
    }
    most = std::max(most, calls.size());
  }

  std::deque<Timestamp> calls;
  std::size_t most = 0;
};

} // namespace

// Guards against a burst that an average rate permits after a second without
// calls; it would crash a cold server.
TEST_CASE("a cold server gets no more calls in any second than it takes",
          "[warmup]")
{
  for (unsigned seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    WarmupLimit limit(kNow);
    limit.SetCallsPerSecond(kCallsPerSecond);
    limit.SetWarmupLeft(Milliseconds(60'000), kNow);
    LastSecond sent;
    Timestamp now = kNow;
    while (now < kNow + std::chrono::seconds(20)) {
      now += Milliseconds(random() % 4 == 0 ? random() % 1500 : random() % 20);
      for (unsigned n = random() % 12; n > 0 && limit.HasRoom(now); --n) {
        limit.CountCall(now);
        sent.Add(now);
      }
      if (random() % 50 == 0) {
        limit.SetUnknown();
      }
    }
    CHECK(sent.most <= kCallsPerSecond);
    CHECK(sent.most >= kCallsPerSecond / 2);
  }
}

TEST_CASE("a server is cold until it says otherwise", "[warmup]")
{
  WarmupLimit limit(kNow);
  CHECK_FALSE(limit.IsCold(kNow)); // its service names no limit
  limit.SetCallsPerSecond(kCallsPerSecond);
  CHECK(limit.IsCold(kNow));
  limit.SetWarmupLeft(Milliseconds(500), kNow);
  CHECK(limit.IsCold(kNow + Milliseconds(499)));
  CHECK_FALSE(limit.IsCold(kNow + Milliseconds(500)));
  limit.SetUnknown();
  CHECK(limit.IsCold(kNow + Milliseconds(600)));
  limit.SetWarmupLeft(Milliseconds(0), kNow + Milliseconds(700));
  CHECK_FALSE(limit.IsCold(kNow + Milliseconds(700)));
  CHECK(limit.WaitFor(100, kNow + Milliseconds(700)) == Microseconds(0));
}

// Guards against a restarted node that sends a whole second's calls beside
// those that the process before it sent.
TEST_CASE("a new process leaves a cold server alone for a second", "[warmup]")
{
  WarmupLimit limit(kNow);
  limit.SetCallsPerSecond(kCallsPerSecond);
  limit.SetWarmupLeft(Milliseconds(10'000), kNow);
  CHECK_FALSE(limit.HasRoom(kNow + Milliseconds(900)));
  CHECK(limit.WaitFor(0, kNow + Milliseconds(900)) <= Milliseconds(200));
  CHECK(limit.HasRoom(kNow + kStartTime));
}

TEST_CASE("the wait for a cold server is the time until it has room",
          "[warmup]")
{
  WarmupLimit limit(kNow);
  limit.SetCallsPerSecond(kCallsPerSecond);
  limit.SetWarmupLeft(Milliseconds(60'000), kNow);
  Timestamp now = kNow + kStartTime;
  while (limit.HasRoom(now)) {
    limit.CountCall(now);
    now += Milliseconds(10);
  }
  for (const std::size_t ahead : { 0, 3, 9, 10, 25 }) {
    INFO(ahead << " calls ahead");
    WarmupLimit trial = limit;
    Timestamp at = now;
    for (std::size_t sent = 0; sent <= ahead; at += Milliseconds(1)) {
      if (trial.HasRoom(at)) {
        trial.CountCall(at);
        ++sent;
      }
    }
    const auto error = std::chrono::duration<double, std::milli>(
                         at - now - limit.WaitFor(ahead, now))
                         .count();
    CHECK(std::abs(error) < 60);
  }
}

namespace {

/**
 * Calls to a service, some of whose servers are cold, at a constant rate. A
 * call that its owner refuses is sent to another server, as a node does it.
 */
class Service
{
public:
  static constexpr std::uint32_t kSlots = 12;
  static constexpr Milliseconds kWarmTime{ 100 };
  static constexpr Milliseconds kColdTime{ 200 };
  static constexpr Milliseconds kTarget{ 400 };
  static constexpr int kMaxOwners = 4;

  Service(int aServers, int aCold)
  {
    for (int n = 0; n < aServers; ++n) {
      auto server = std::make_unique<Server>();
      server->isCold = n < aCold;
      server->rate.OnAnswer(std::nullopt, kNow, kNow);
      server->warmup.SetCallsPerSecond(kCallsPerSecond);
      server->warmup.SetWarmupLeft(
        server->isCold ? Milliseconds(60'000) : Milliseconds(0), kNow);
      server->queue = std::make_unique<SlotQueue>(
        0,
        server->rate,
        server->warmup,
        [this, raw = server.get()](std::uint64_t aId,
                                   std::optional<SlotRefusal> aRefusal) {
          aRefusal ? Refused(aId) : Started(*raw, aId);
        });
      server->queue->SetSlots(kSlots);
      routing::Target target;
      target.node = nodes::NodeId{ static_cast<std::uint64_t>(n) + 1 };
      target.zone = "a";
      target.version = "v1";
      target.slots = kSlots;
      mView.targets["svc"].push_back(target);
      mServers.push_back(std::move(server));
    }
  }

  void Run(double aCallsPerSecond, std::chrono::seconds aTime)
  {
    mNow = kNow + kStartTime;
    const Timestamp end = mNow + aTime;
    double due = 0;
    for (; mNow < end + kTarget * 2; mNow += Milliseconds(1)) {
      for (auto& it : mServers) {
        FinishCalls(*it);
        it->queue->Update(mNow);
      }
      due += mNow < end ? aCallsPerSecond / 1000 : 0;
      for (; due >= 1; --due) {
        mCalls[++mLastId].firstAt = mNow;
        Send(mLastId);
      }
    }
  }

  std::size_t Calls() const { return mLastId; }
  std::size_t OnTime() const { return mOnTime; }
  /** Returns the most calls that a cold server got in a second. */
  std::size_t MostToCold() const
  {
    std::size_t most = 0;
    for (const auto& it : mServers) {
      most = std::max(most, it->isCold ? it->sent.most : 0);
    }
    return most;
  }
  /** Returns the fewest calls that a cold server got in all. */
  std::size_t FewestToCold() const
  {
    std::size_t fewest = mLastId;
    for (const auto& it : mServers) {
      fewest = std::min(fewest, it->isCold ? it->calls : fewest);
    }
    return fewest;
  }

private:
  struct Server
  {
    bool isCold = false;
    ServerRateLimit rate;
    WarmupLimit warmup{ kNow };
    std::unique_ptr<SlotQueue> queue;
    std::multimap<Timestamp, std::uint64_t> ends;
    LastSecond sent;
    std::size_t calls = 0;
  };

  struct Call
  {
    Timestamp firstAt{};
    std::vector<nodes::NodeId> tried;
  };

  void Send(std::uint64_t aId)
  {
    Call& call = mCalls.at(aId);
    const auto* target = mBalancer.Pick(mView,
                                        { "svc",
                                          routing::VersionSelector::Only("v1"),
                                          "a",
                                          call.tried,
                                          "r",
                                          kTarget },
                                        mNow);
    if (!target || call.tried.size() >= kMaxOwners) {
      return;
    }
    call.tried.push_back(target->node);
    mBalancer.Start(target->node);
    SlotRequest request;
    request.id = aId;
    request.deadline = call.firstAt + kTarget * 2;
    request.targetLatency = kTarget;
    request.targetDeadline = call.firstAt + kTarget;
    request.serviceMs = static_cast<double>(kWarmTime.count());
    Server& server = ServerOf(target->node);
    SlotRefusal refusal{};
    const auto admission = server.queue->Request(request, mNow, refusal);
    if (!admission) {
      Refused(aId);
    } else if (*admission == SlotQueue::Admission::kSlotGranted) {
      Started(server, aId);
    }
  }

  Server& ServerOf(nodes::NodeId aNode)
  {
    return *mServers[static_cast<std::size_t>(aNode) - 1];
  }

  void Started(Server& aServer, std::uint64_t aId)
  {
    ++aServer.calls;
    aServer.sent.Add(mNow);
    aServer.ends.emplace(mNow + (aServer.isCold ? kColdTime : kWarmTime), aId);
  }

  void Refused(std::uint64_t aId)
  {
    Report(mCalls.at(aId).tried.back());
    Send(aId);
  }

  void FinishCalls(Server& aServer)
  {
    while (!aServer.ends.empty() && aServer.ends.begin()->first <= mNow) {
      const Call& call = mCalls.at(aServer.ends.begin()->second);
      mOnTime += mNow <= call.firstAt + kTarget ? 1 : 0;
      aServer.ends.erase(aServer.ends.begin());
      aServer.queue->Release(config::CallClass::kIdempotent, kWarmTime, mNow);
      Report(call.tried.back());
    }
  }

  /** Reports a server's load with the answer of its owner. */
  void Report(nodes::NodeId aNode)
  {
    const Server& server = ServerOf(aNode);
    ServerLoad load;
    load.busy = server.queue->Busy();
    load.queued = static_cast<std::uint32_t>(server.queue->Queued());
    load.slots = kSlots;
    load.serviceMs = static_cast<std::uint32_t>(
      (server.isCold ? kColdTime : kWarmTime).count());
    load.routeMs = load.serviceMs;
    load.rateIntervalUs =
      static_cast<std::uint32_t>(server.warmup.CallInterval(mNow).count());
    load.rateWaitMs = static_cast<std::uint32_t>(
      server.queue->RateWait(server.queue->Queued(), mNow).count() / 1000);
    mBalancer.Finish(aNode, true, mNow);
    mBalancer.ReportLoad(aNode, "r", load, mNow);
  }

  Timestamp mNow = kNow;
  routing::LoadBalancer mBalancer{ {}, 1 };
  routing::RoutingView mView;
  std::vector<std::unique_ptr<Server>> mServers;
  std::unordered_map<std::uint64_t, Call> mCalls;
  std::uint64_t mLastId = 0;
  std::size_t mOnTime = 0;
};

} // namespace

// Load: calls at 60% of what the warm servers can run, while a third of the
// servers are cold. The cold ones must neither be crowded nor left idle, and
// callers must not notice.
TEST_CASE("calls flow around cold servers, which get what they take",
          "[warmup][load]")
{
  Service it(9, 3);
  constexpr double kWarmCapacity = 6 * 12 / 0.1;
  // The platform counts a server that gets no call for 4 s as left idle.
  it.Run(kWarmCapacity * 0.6, std::chrono::seconds(4));
  INFO("on time " << it.OnTime() << " of " << it.Calls()
                  << ", fewest to a cold server " << it.FewestToCold());
  CHECK(it.MostToCold() <= kCallsPerSecond);
  CHECK(it.FewestToCold() >= 1);
  CHECK(static_cast<double>(it.OnTime()) >=
        0.98 * static_cast<double>(it.Calls()));
}

// Load: all calls for a whole service reach the half of its servers that is
// warm, beyond their capacity, while the other half has come back cold at once.
// Those that can be served must be served on time; the rest must be refused
// rather than sent to servers that it would crash.
TEST_CASE("half of the servers come back cold at once under full load",
          "[warmup][load]")
{
  Service it(10, 5);
  constexpr double kWarmCapacity = 5 * 12 / 0.1;
  constexpr double kOffered = kWarmCapacity * 1.3;
  it.Run(kOffered, std::chrono::seconds(5));
  INFO("on time " << it.OnTime() << " of " << it.Calls());
  CHECK(it.MostToCold() <= kCallsPerSecond);
  CHECK(it.FewestToCold() >= 2 * kCallsPerSecond);
  constexpr double kBest = (kWarmCapacity + 5 * kCallsPerSecond) / kOffered;
  CHECK(static_cast<double>(it.OnTime()) >=
        0.85 * kBest * static_cast<double>(it.Calls()));
}
