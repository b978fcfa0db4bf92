// The connection that a server ends to keep within its limits.

#include "knapweedpaddle/http/LoadShedding.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using namespace knapweedpaddle::http;

namespace {

const Timestamp kNow{ std::chrono::hours(1) };
constexpr std::size_t kKilobyte = 1024;

/** @param aBegan     how long ago the request began to arrive.
 *  @param aProgress  how long ago bytes last moved. */
SheddingCandidate
Candidate(std::size_t aBytes, Milliseconds aBegan, Milliseconds aProgress)
{
  return { aBytes, kNow - aBegan, kNow - aProgress };
}

} // namespace

// Load: uploads that stand still beside others that go on. The former must not
// cost the latter their place.
TEST_CASE("the largest upload that stands still is ended first", "[shedding]")
{
  const std::vector<SheddingCandidate> candidates{
    Candidate(900 * kKilobyte, Milliseconds(9000), Milliseconds(5)),
    Candidate(200 * kKilobyte, Milliseconds(4000), Milliseconds(3000)),
    Candidate(300 * kKilobyte, Milliseconds(4000), Milliseconds(1500)),
    Candidate(500 * kKilobyte, Milliseconds(700), Milliseconds(10)),
  };
  CHECK(ChooseForMemory(candidates, kNow) == 2);
}

// Load: more uploads at once than there is memory for. If the largest were
// ended, none would ever be complete.
TEST_CASE("of uploads that go on the last one is ended", "[shedding]")
{
  const std::vector<SheddingCandidate> candidates{
    Candidate(900 * kKilobyte, Milliseconds(9000), Milliseconds(5)),
    Candidate(100 * kKilobyte, Milliseconds(700), Milliseconds(10)),
    Candidate(500 * kKilobyte, Milliseconds(800), Milliseconds(10)),
  };
  CHECK(ChooseForMemory(candidates, kNow) == 1);
}

TEST_CASE("small requests are not ended for memory", "[shedding]")
{
  const std::vector<SheddingCandidate> candidates{
    Candidate(2 * kKilobyte, Milliseconds(9000), Milliseconds(5000)),
    Candidate(15 * kKilobyte, Milliseconds(10), Milliseconds(10)),
  };
  CHECK_FALSE(ChooseForMemory(candidates, kNow));
  CHECK_FALSE(ChooseForMemory({}, kNow));
}

TEST_CASE("the connection that stood still for longest is closed for another",
          "[shedding]")
{
  const std::vector<SheddingCandidate> candidates{
    Candidate(0, Milliseconds(9000), Milliseconds(50)),
    Candidate(0, Milliseconds(9000), Milliseconds(5000)),
    Candidate(900 * kKilobyte, Milliseconds(9000), Milliseconds(300)),
  };
  CHECK(ChooseForDescriptors(candidates) == 1);
  CHECK_FALSE(ChooseForDescriptors({}));
}
