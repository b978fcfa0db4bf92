// Order, refusal and fairness of calls that compete for a backend server's
// slots.

#include "knapweedpaddle/backends/SlotQueue.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

using namespace knapweedpaddle;
using namespace knapweedpaddle::backends;
using config::CallClass;

namespace {

const Timestamp kNow{ std::chrono::hours(1) };
const Timestamp kLater = kNow + std::chrono::seconds(10);

/** Returns the limit of a server that has answered and names no rate. */
ServerRateLimit
Unlimited()
{
  ServerRateLimit limit;
  limit.OnAnswer(std::nullopt, kNow, kNow);
  return limit;
}

struct Fixture
{
  explicit Fixture(std::uint32_t aCheckSlots)
    : queue(aCheckSlots,
            rateLimit,
            warmup,
            [this](std::uint64_t aId, std::optional<SlotRefusal> aRefusal) {
              granted.push_back(aId);
              refusals[aId] = aRefusal;
            })
  {
  }

  std::optional<SlotQueue::Admission> Ask(std::uint64_t aId,
                                          CallClass aClass,
                                          Timestamp aDeadline)
  {
    SlotRequest request;
    request.id = aId;
    request.callClass = aClass;
    request.deadline = aDeadline;
    return queue.Request(request, kNow, refusal);
  }

  std::vector<std::uint64_t> granted;
  std::map<std::uint64_t, std::optional<SlotRefusal>> refusals;
  SlotRefusal refusal{};
  ServerRateLimit rateLimit = Unlimited();
  WarmupLimit warmup{ kNow };
  SlotQueue queue;
};

} // namespace

TEST_CASE("calls of class check have reserved slots and go first in the queue",
          "[slots]")
{
  Fixture it(1);
  it.queue.SetSlots(3);
  CHECK(it.Ask(1, CallClass::kIdempotent, kLater) ==
        SlotQueue::Admission::kSlotGranted);
  CHECK(it.Ask(2, CallClass::kAtMostOnce, kLater) ==
        SlotQueue::Admission::kSlotGranted);
  CHECK(it.Ask(3, CallClass::kIdempotent, kLater) ==
        SlotQueue::Admission::kQueued);
  CHECK(it.Ask(4, CallClass::kCheck, kLater) ==
        SlotQueue::Admission::kSlotGranted);
  CHECK(it.Ask(5, CallClass::kCheck, kLater) == SlotQueue::Admission::kQueued);
  it.queue.Release(CallClass::kIdempotent, Milliseconds(5), kNow);
  it.queue.Release(CallClass::kAtMostOnce, Milliseconds(5), kNow);
  CHECK(it.granted == std::vector<std::uint64_t>{ 5, 3 });
}

TEST_CASE(
  "a call is refused when its deadline is too near or the queue is full",
  "[slots]")
{
  Fixture it(0);
  it.queue.SetSlots(1);
  REQUIRE(it.Ask(1, CallClass::kIdempotent, kLater) ==
          SlotQueue::Admission::kSlotGranted);
  CHECK_FALSE(it.Ask(2, CallClass::kIdempotent, kNow).has_value());
  CHECK(it.refusal == SlotRefusal::kDeadlineTooNear);
  for (std::uint64_t n = 0; n < 4; ++n) {
    CHECK(it.Ask(10 + n, CallClass::kIdempotent, kLater) ==
          SlotQueue::Admission::kQueued);
  }
  CHECK_FALSE(it.Ask(20, CallClass::kIdempotent, kLater).has_value());
  CHECK(it.refusal == SlotRefusal::kQueueFull);
}

TEST_CASE("draining refuses queued and new calls", "[slots]")
{
  Fixture it(0);
  it.queue.SetSlots(1);
  REQUIRE(it.Ask(1, CallClass::kIdempotent, kLater) ==
          SlotQueue::Admission::kSlotGranted);
  REQUIRE(it.Ask(2, CallClass::kIdempotent, kLater) ==
          SlotQueue::Admission::kQueued);
  it.queue.Drain();
  CHECK(it.refusals[2] == SlotRefusal::kDraining);
  CHECK_FALSE(it.Ask(3, CallClass::kCheck, kLater).has_value());
  CHECK(it.refusal == SlotRefusal::kDraining);
  CHECK(it.queue.Busy() == 1);
}

TEST_CASE("queued calls are ordered by target deadline", "[slots]")
{
  Fixture it(0);
  it.queue.SetSlots(1);
  REQUIRE(it.Ask(1, CallClass::kIdempotent, kLater) ==
          SlotQueue::Admission::kSlotGranted);
  const auto ask =
    [&it](std::uint64_t aId, std::uint32_t aPriority, int aTargetMs) {
      SlotRequest request;
      request.id = aId;
      request.deadline = kLater;
      request.priority = aPriority;
      request.targetDeadline = kNow + Milliseconds(aTargetMs);
      return it.queue.Request(request, kNow, it.refusal);
    };
  CHECK(ask(2, 1, 100) == SlotQueue::Admission::kQueued);
  CHECK(ask(3, 1, 50) == SlotQueue::Admission::kQueued);
  CHECK(ask(4, 0, 20) == SlotQueue::Admission::kQueued);
  for (int n = 0; n < 3; ++n) {
    it.queue.Release(CallClass::kIdempotent, Milliseconds(5), kNow);
  }
  CHECK(it.granted == std::vector<std::uint64_t>{ 4, 3, 2 });
}

TEST_CASE("a call that would miss its latency target is refused", "[slots]")
{
  Fixture it(0);
  it.queue.SetSlots(1);
  REQUIRE(it.Ask(1, CallClass::kIdempotent, kLater) ==
          SlotQueue::Admission::kSlotGranted);
  it.queue.Release(CallClass::kIdempotent, Milliseconds(100), kNow);
  REQUIRE(it.Ask(2, CallClass::kIdempotent, kLater) ==
          SlotQueue::Admission::kSlotGranted);
  SlotRequest request;
  request.id = 3;
  request.deadline = kLater;
  request.serviceMs = 100;
  request.targetLatency = Milliseconds(150);
  CHECK_FALSE(it.queue.Request(request, kNow, it.refusal).has_value());
  CHECK(it.refusal == SlotRefusal::kWaitTooLong);
  request.targetLatency = Milliseconds(400);
  CHECK(it.queue.Request(request, kNow, it.refusal) ==
        SlotQueue::Admission::kQueued);
}

TEST_CASE("queued calls are refused when the server has no slots any more",
          "[slots]")
{
  Fixture it(0);
  it.queue.SetSlots(1);
  REQUIRE(it.Ask(1, CallClass::kIdempotent, kLater) ==
          SlotQueue::Admission::kSlotGranted);
  REQUIRE(it.Ask(2, CallClass::kIdempotent, kLater) ==
          SlotQueue::Admission::kQueued);
  it.queue.SetSlots(0);
  CHECK(it.refusals[2] == SlotRefusal::kDraining);
}

TEST_CASE("queued calls are refused shortly before their deadline", "[slots]")
{
  Fixture it(0);
  it.queue.SetSlots(1);
  REQUIRE(it.Ask(1, CallClass::kIdempotent, kLater) ==
          SlotQueue::Admission::kSlotGranted);
  REQUIRE(it.Ask(2, CallClass::kIdempotent, kLater) ==
          SlotQueue::Admission::kQueued);
  it.queue.Update(kLater - Milliseconds(60));
  CHECK(it.refusals.empty());
  it.queue.Update(kLater - Milliseconds(20));
  CHECK(it.refusals[2] == SlotRefusal::kDeadlineTooNear);
}

TEST_CASE(
  "a call that is certain to miss its deadline at the server is refused "
  "while its caller can still be told",
  "[slots]")
{
  Fixture it(0);
  it.queue.SetSlots(1);
  SlotRequest request;
  request.deadline = kLater;
  request.serviceMs = 300;
  request.id = 1;
  REQUIRE(it.queue.Request(request, kNow, it.refusal) ==
          SlotQueue::Admission::kSlotGranted);
  request.id = 2;
  REQUIRE(it.queue.Request(request, kNow, it.refusal) ==
          SlotQueue::Admission::kQueued);
  it.queue.Update(kLater - Milliseconds(100));
  CHECK(it.refusals.empty());
  it.queue.Update(kLater - Milliseconds(80));
  CHECK(it.refusals[2] == SlotRefusal::kDeadlineTooNear);
  // The same holds for a call that would get a slot at once.
  it.queue.Release(request.callClass, std::nullopt, kNow);
  request.id = 3;
  CHECK_FALSE(it.queue.Request(request, kLater - Milliseconds(80), it.refusal));
  CHECK(it.refusal == SlotRefusal::kDeadlineTooNear);
}

TEST_CASE("in overload no route starves, and priority order is kept", "[slots]")
{
  // Three routes together offer twice as many calls as the slots can serve.
  struct Route
  {
    std::string name;
    std::uint32_t priority;
    int targetMs;
    int admitted = 0;
    int offered = 0;
  };
  std::vector<Route> routes{ { "urgent", 0, 300 },
                             { "plain", 1, 200 },
                             { "lax", 2, 500 } };
  constexpr Milliseconds kService{ 100 };
  constexpr int kSlots = 10;
  std::multimap<Timestamp, int> ends;
  SlotQueue* current = nullptr;
  Timestamp now = kNow;
  ServerRateLimit rateLimit = Unlimited();
  WarmupLimit warmup{ kNow };
  SlotQueue queue(0,
                  rateLimit,
                  warmup,
                  [&](std::uint64_t, std::optional<SlotRefusal> aRefusal) {
                    if (!aRefusal) {
                      ends.emplace(now + kService, 0);
                    }
                  });
  current = &queue;
  queue.SetSlots(kSlots);
  SlotRefusal refusal{};
  for (int n = 0; n < 4000; ++n) {
    now = kNow + Milliseconds(5) * n;
    while (!ends.empty() && ends.begin()->first <= now) {
      ends.erase(ends.begin());
      current->Release(CallClass::kIdempotent, kService, now);
    }
    Route& route = routes[static_cast<std::size_t>(n) % routes.size()];
    SlotRequest request;
    request.id = static_cast<std::uint64_t>(n) + 1;
    request.deadline = now + Milliseconds(2000);
    request.priority = route.priority;
    request.targetLatency = Milliseconds(route.targetMs);
    request.targetDeadline = now + request.targetLatency;
    request.route = route.name;
    request.serviceMs = 100;
    const auto answer = queue.Request(request, now, refusal);
    ++route.offered;
    route.admitted += answer ? 1 : 0;
    if (answer == SlotQueue::Admission::kSlotGranted) {
      ends.emplace(now + kService, 0);
    }
  }
  const auto share = [&routes](std::size_t aRoute) {
    return static_cast<double>(routes[aRoute].admitted) /
           routes[aRoute].offered;
  };
  INFO(share(0) << " " << share(1) << " " << share(2));
  CHECK(share(0) + 0.05 >= share(1));
  CHECK(share(1) + 0.05 >= share(2));
  CHECK(share(2) > 0.25);
}

namespace {

/** Offers calls to a queue faster than its slots can serve them; each refused
 * call is retried once, with the same target deadline. */
struct Overload
{
  static constexpr int kSlots = 10;
  static constexpr Milliseconds kService{ 100 };
  static constexpr Milliseconds kTarget{ 300 };
  static constexpr Milliseconds kRetryDelay{ 200 };
  static constexpr int kCalls = 3000;

  struct Offer
  {
    std::uint64_t id = 0;
    Timestamp firstAt;
  };

  Overload()
    : queue(0,
            rateLimit,
            warmup,
            [this](std::uint64_t aId, std::optional<SlotRefusal> aRefusal) {
              aRefusal ? Refused(aId) : Started(aId);
            })
  {
    queue.SetSlots(kSlots);
  }

  void Run(Milliseconds aGap)
  {
    for (int n = 0; n < kCalls; ++n) {
      const Timestamp at = kNow + aGap * n;
      offers.emplace(at, Offer{ static_cast<std::uint64_t>(n) + 1, at });
    }
    while (!offers.empty()) {
      now = offers.begin()->first;
      const Offer offer = offers.begin()->second;
      offers.erase(offers.begin());
      ReleaseEndedCalls();
      queue.Update(now);
      Ask(offer);
    }
  }

  void ReleaseEndedCalls()
  {
    const Timestamp until = now;
    while (!ends.empty() && ends.begin()->first <= until) {
      now = ends.begin()->first;
      const Timestamp firstAt = ends.begin()->second;
      ends.erase(ends.begin());
      ++served;
      onTime += now - firstAt <= kTarget ? 1 : 0;
      queue.Release(CallClass::kIdempotent, kService, now);
    }
    now = until;
  }

  void Ask(const Offer& aOffer)
  {
    SlotRequest request;
    request.id = aOffer.id;
    request.deadline = aOffer.firstAt + Milliseconds(2000);
    request.targetLatency = kTarget;
    request.targetDeadline = aOffer.firstAt + kTarget;
    request.route = "lookup";
    request.serviceMs = static_cast<double>(kService.count());
    firstAt[aOffer.id] = aOffer.firstAt;
    SlotRefusal refusal{};
    const auto answer = queue.Request(request, now, refusal);
    if (!answer) {
      Refused(aOffer.id);
    } else if (*answer == SlotQueue::Admission::kSlotGranted) {
      Started(aOffer.id);
    }
  }

  void Started(std::uint64_t aId)
  {
    ends.emplace(now + kService, firstAt.at(aId));
  }

  void Refused(std::uint64_t aId)
  {
    if (retried[aId]) {
      return;
    }
    retried[aId] = true;
    offers.emplace(now + kRetryDelay, Offer{ aId, firstAt.at(aId) });
  }

  Timestamp now = kNow;
  std::multimap<Timestamp, Offer> offers;
  /** Maps the end of a served call to the time of its first try. */
  std::multimap<Timestamp, Timestamp> ends;
  std::map<std::uint64_t, Timestamp> firstAt;
  std::map<std::uint64_t, bool> retried;
  int served = 0;
  int onTime = 0;
  ServerRateLimit rateLimit = Unlimited();
  WarmupLimit warmup{ kNow };
  SlotQueue queue;
};

} // namespace

TEST_CASE("in overload most served calls meet their latency target", "[slots]")
{
  Overload it;
  it.Run(Milliseconds(6)); // 1.67 times the capacity of the slots
  INFO("served " << it.served << ", on time " << it.onTime);
  CHECK(it.onTime >= it.served * 9 / 10);
  CHECK(it.served >= Overload::kCalls * 5 / 10);
}

TEST_CASE(
  "a call that missed its target waits behind others, for a short time only",
  "[slots]")
{
  Fixture it(0);
  it.queue.SetSlots(1);
  REQUIRE(it.Ask(1, CallClass::kIdempotent, kLater) ==
          SlotQueue::Admission::kSlotGranted);
  const auto ask = [&it](std::uint64_t aId, Milliseconds aLeft) {
    SlotRequest request;
    request.id = aId;
    request.deadline = kLater;
    request.targetLatency = Milliseconds(200);
    request.targetDeadline = kNow + aLeft;
    request.serviceMs = 20;
    return it.queue.Request(request, kNow, it.refusal);
  };
  CHECK(ask(2, Milliseconds(-50)) == SlotQueue::Admission::kQueued);
  CHECK(ask(3, Milliseconds(150)) == SlotQueue::Admission::kQueued);
  CHECK(ask(4, Milliseconds(-90)) == SlotQueue::Admission::kQueued);
  it.queue.Release(CallClass::kIdempotent, Milliseconds(5), kNow);
  CHECK(it.granted == std::vector<std::uint64_t>{ 3 });
  it.queue.Release(CallClass::kIdempotent, Milliseconds(5), kNow);
  CHECK(it.granted == std::vector<std::uint64_t>{ 3, 2 });
  it.queue.Update(kNow + Milliseconds(100));
  CHECK(it.refusals[4] == SlotRefusal::kWaitTooLong);
}
