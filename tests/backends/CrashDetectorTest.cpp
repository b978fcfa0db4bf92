#include "knapweedpaddle/backends/CrashDetector.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using backends::CrashDetector;

namespace {

constexpr std::uint64_t kDeadly = 1;
constexpr std::uint64_t kHarmless = 2;
constexpr std::uint64_t kOther = 3;

Timestamp
At(std::int64_t aMilliseconds)
{
  return Timestamp{} + Milliseconds(aMilliseconds);
}

/** Lets the server of a node crash while it runs requests. */
void
Crash(CrashDetector& aNode,
      std::int64_t aAt,
      const std::vector<std::uint64_t>& aRequests)
{
  for (const auto it : aRequests) {
    aNode.OnConnectionLost(it, At(aAt));
  }
  aNode.OnServerDown(At(aAt + 5));
}

/** Tells each node what the others saw. */
void
Exchange(std::vector<CrashDetector>& aNodes, std::int64_t aAt)
{
  for (std::size_t n = 0; n < aNodes.size(); ++n) {
    CrashSuspects others;
    for (std::size_t k = 0; k < aNodes.size(); ++k) {
      if (k != n) {
        for (const auto& it : aNodes[k].Report(At(aAt))) {
          MergeSuspect(others, it);
        }
      }
    }
    aNodes[n].SetOtherNodes(std::move(others));
  }
}

} // namespace

TEST_CASE("a request that crashed three servers is blocked at all nodes",
          "[backends]")
{
  std::vector<CrashDetector> nodes(4);
  for (std::size_t n = 0; n < 3; ++n) {
    CHECK_FALSE(nodes[3].IsBlocked(kDeadly));
    const auto at = static_cast<std::int64_t>(n) * 1000;
    Crash(nodes[n], at, { kDeadly, kOther + n });
    Exchange(nodes, at + 500);
  }
  for (const auto& it : nodes) {
    CHECK(it.IsBlocked(kDeadly));
    CHECK_FALSE(it.IsBlocked(kOther));
  }
}

TEST_CASE("a frequent request that is answered elsewhere is never blocked",
          "[backends]")
{
  std::vector<CrashDetector> nodes(2);
  for (std::int64_t n = 0; n < 5; ++n) {
    Crash(nodes[0], n * 1000, { kDeadly, kHarmless });
    Exchange(nodes, n * 1000 + 100);
    nodes[1].OnResponse(kHarmless, true, At(n * 1000), At(n * 1000 + 200));
    Exchange(nodes, n * 1000 + 300);
  }
  CHECK(nodes[1].IsBlocked(kDeadly));
  CHECK_FALSE(nodes[0].IsBlocked(kHarmless));
  CHECK_FALSE(nodes[1].IsBlocked(kHarmless));
}

TEST_CASE("a lost response of a server that is up is no crash", "[backends]")
{
  CrashDetector node;
  for (std::int64_t n = 0; n < 5; ++n) {
    node.OnConnectionLost(kHarmless, At(n * 1000));
    node.OnResponse(kOther, true, At(n * 1000 + 10), At(n * 1000 + 20));
    CHECK(node.OnServerDown(At(n * 1000 + 500)) == 0);
  }
  CHECK_FALSE(node.IsBlocked(kHarmless));
}

TEST_CASE("a refusal does not show that a request is harmless", "[backends]")
{
  CrashDetector node;
  for (std::int64_t n = 0; n < 3; ++n) {
    Crash(node, n * 1000, { kDeadly });
    node.OnResponse(kDeadly, false, At(n * 1000 + 100), At(n * 1000 + 101));
  }
  CHECK(node.IsBlocked(kDeadly));
}

TEST_CASE("suspects are forgotten ten minutes after their last crash",
          "[backends]")
{
  CrashDetector node;
  for (std::int64_t n = 0; n < 3; ++n) {
    Crash(node, n * 1000, { kDeadly });
  }
  CHECK(node.Report(At(600'000)).size() == 1);
  CHECK(node.Report(At(603'000)).empty());
  CHECK_FALSE(node.IsBlocked(kDeadly));
}
