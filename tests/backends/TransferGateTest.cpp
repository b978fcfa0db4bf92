// TransferGate decides which large bodies peers may send to a node. Without it
// bodies fill a slow link, and short calls behind them time out.

#include "knapweedpaddle/backends/TransferGate.h"

#include <catch2/catch.hpp>
#include <map>

using namespace knapweedpaddle;
using namespace knapweedpaddle::backends;

namespace {

constexpr double kBytesPerMs = 1600; // 13 Mbit/s
constexpr std::size_t kBodyBytes = 60'000;
const Timestamp kStart = Timestamp(std::chrono::hours(1));

Transfer
MakeTransfer(std::uint64_t aId,
             Milliseconds aTarget,
             std::size_t aBytes = kBodyBytes)
{
  return { aId, aBytes, kStart + 4 * aTarget, kStart + aTarget, 300 };
}

} // namespace

TEST_CASE("bodies do not wait on a link whose rate is not known", "[transfers]")
{
  TransferGate gate(0);
  for (std::uint64_t id = 1; id <= 100; ++id) {
    CHECK_FALSE(gate.Add(MakeTransfer(id, Milliseconds(1200)), kStart));
  }
  CHECK(gate.Grant(kStart).size() == 100);
}

TEST_CASE("a body larger than the link's share is let through alone",
          "[transfers]")
{
  TransferGate gate(kBytesPerMs);
  CHECK_FALSE(gate.Add(MakeTransfer(1, Milliseconds(9000), 360'000), kStart));
  CHECK(gate.Grant(kStart) == std::vector<std::uint64_t>{ 1 });
  CHECK_FALSE(gate.Add(MakeTransfer(2, Milliseconds(9000)), kStart));
  CHECK(gate.Grant(kStart).empty());
  gate.Remove(1);
  CHECK(gate.Grant(kStart) == std::vector<std::uint64_t>{ 2 });
}

TEST_CASE("waiting bodies are let through in the order of their targets",
          "[transfers]")
{
  TransferGate gate(kBytesPerMs);
  gate.Add(MakeTransfer(1, Milliseconds(5000)), kStart);
  CHECK(gate.Grant(kStart).size() == 1);
  gate.Add(MakeTransfer(2, Milliseconds(4000)), kStart);
  gate.Add(MakeTransfer(3, Milliseconds(2000)), kStart);
  gate.Remove(1);
  CHECK(gate.Grant(kStart) == std::vector<std::uint64_t>{ 3 });
}

TEST_CASE("a body that would come too late is refused before it is sent",
          "[transfers]")
{
  TransferGate gate(kBytesPerMs);
  std::uint64_t id = 0;
  std::optional<TransferRefusal> refusal;
  while (!refusal && id < 1000) {
    refusal = gate.Add(MakeTransfer(++id, Milliseconds(1200)), kStart);
    gate.Grant(kStart);
  }
  // 900 ms are left for transfers of 47 ms each.
  CHECK(refusal == TransferRefusal::kWaitTooLong);
  CHECK(id >= 15);
  CHECK(id <= 20);
  // With an earlier target it goes ahead of those that wait.
  CHECK_FALSE(gate.Add(MakeTransfer(id + 1, Milliseconds(600)), kStart));
  // With less time than it needs it is refused in any case.
  CHECK(gate.Add(MakeTransfer(id + 2, Milliseconds(80)), kStart) ==
        TransferRefusal::kDeadlineTooNear);
}

TEST_CASE("waiting bodies that became too late are given up", "[transfers]")
{
  TransferGate gate(kBytesPerMs);
  gate.Add(MakeTransfer(1, Milliseconds(1200)), kStart);
  gate.Add(MakeTransfer(2, Milliseconds(1200)), kStart);
  CHECK(gate.Grant(kStart).size() == 1);
  CHECK(gate.TakeExpired(kStart + Milliseconds(500)).empty());
  CHECK(gate.TakeExpired(kStart + Milliseconds(1190)).size() == 1);
  CHECK(gate.TakeExpired(kStart + Milliseconds(1190)).empty());
}

TEST_CASE("a sender that stalls does not hold up the others", "[transfers]")
{
  TransferGate gate(kBytesPerMs);
  gate.Add(MakeTransfer(1, Milliseconds(1200)), kStart);
  gate.Add(MakeTransfer(2, Milliseconds(1200)), kStart);
  CHECK(gate.Grant(kStart).size() == 1);
  CHECK(gate.Grant(kStart + Milliseconds(100)).empty());
  CHECK(gate.Grant(kStart + Milliseconds(300)).size() == 1);
}

TEST_CASE("in overload the bodies let through arrive in time, and the link is "
          "used",
          "[transfers]")
{
  // Open-loop arrivals of twice what the link carries; the link transfers the
  // granted bodies one after the other.
  TransferGate gate(kBytesPerMs);
  std::map<std::uint64_t, Timestamp> targets;
  std::uint64_t id = 0;
  int arrived = 0;
  int inTime = 0;
  Timestamp linkFreeAt = kStart;
  std::map<Timestamp, std::uint64_t> onLink; // arrival time and id
  for (Milliseconds at(0); at < Milliseconds(20'000); at += Milliseconds(1)) {
    const Timestamp now = kStart + at;
    if (at.count() % 19 == 0) {
      Transfer transfer = MakeTransfer(++id, Milliseconds(1200));
      transfer.deadline += at;
      transfer.targetDeadline += at;
      if (!gate.Add(transfer, now)) {
        targets[id] = transfer.targetDeadline;
      }
    }
    while (!onLink.empty() && onLink.begin()->first <= now) {
      const std::uint64_t done = onLink.begin()->second;
      ++arrived;
      inTime += now + Milliseconds(300) <= targets.at(done) ? 1 : 0;
      gate.Remove(done);
      onLink.erase(onLink.begin());
    }
    gate.TakeExpired(now);
    for (const auto granted : gate.Grant(now)) {
      linkFreeAt =
        std::max(linkFreeAt, now) + Microseconds(static_cast<std::int64_t>(
                                      1000 * kBodyBytes / kBytesPerMs));
      onLink[linkFreeAt] = granted;
    }
  }
  CHECK(inTime == arrived);
  CHECK(arrived > 0.8 * 20'000 * kBytesPerMs / kBodyBytes);
}
