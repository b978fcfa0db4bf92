#include "knapweedpaddle/http/LoadShedding.h"

#include <algorithm>

namespace knapweedpaddle::http {

namespace {

constexpr std::size_t kMinHeldBytes = 16UL * 1024;
constexpr Milliseconds kStallTime{ 1000 };

std::optional<std::size_t>
IndexOf(const std::vector<SheddingCandidate>& aCandidates,
        std::vector<SheddingCandidate>::const_iterator aItem)
{
  return aItem == aCandidates.end() ? std::nullopt
                                    : std::optional(static_cast<std::size_t>(
                                        aItem - aCandidates.begin()));
}

} // namespace

std::optional<std::size_t>
ChooseForMemory(const std::vector<SheddingCandidate>& aCandidates,
                Timestamp aNow)
{
  std::optional<std::size_t> best;
  bool isBestStalled = false;
  for (std::size_t n = 0; n < aCandidates.size(); ++n) {
    const SheddingCandidate& it = aCandidates[n];
    if (it.heldBytes < kMinHeldBytes) {
      continue;
    }
    const bool isStalled = aNow - it.progressAt >= kStallTime;
    bool isBetter = !best || (isStalled && !isBestStalled);
    if (best && isStalled == isBestStalled) {
      isBetter = isStalled ? it.heldBytes > aCandidates[*best].heldBytes
                           : it.requestBegan > aCandidates[*best].requestBegan;
    }
    if (isBetter) {
      best = n;
      isBestStalled = isStalled;
    }
  }
  return best;
}

std::optional<std::size_t>
ChooseForDescriptors(const std::vector<SheddingCandidate>& aCandidates)
{
  return IndexOf(
    aCandidates,
    std::ranges::min_element(aCandidates, {}, &SheddingCandidate::progressAt));
}

} // namespace knapweedpaddle::http
