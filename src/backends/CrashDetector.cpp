#include "knapweedpaddle/backends/CrashDetector.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace knapweedpaddle::backends {

namespace {

/** A request that crashed this many servers is not run again. */
constexpr std::uint32_t kMaxCrashes = 3;
/** A suspect is forgotten this long after its last crash or response. */
constexpr std::chrono::minutes kSuspicionTime{ 10 };
/** Number of suspects that a node reports to the others. */
constexpr std::size_t kMaxReported = 16;

} // namespace

std::uint64_t
CrashDetector::HashOf(const std::string& aMethod,
                      const std::string& aPath,
                      const std::string& aBody)
{
  XXH64_hash_t hash = XXH3_64bits(aMethod.data(), aMethod.size());
  hash = XXH3_64bits_withSeed(aPath.data(), aPath.size(), hash);
  return XXH3_64bits_withSeed(aBody.data(), aBody.size(), hash);
}

void
CrashDetector::OnConnectionLost(std::uint64_t aRequest, Timestamp aNow)
{
  mLost.push_back({ aRequest, aNow });
}

void
CrashDetector::OnResponse(std::uint64_t aRequest,
                          bool aRan,
                          Timestamp aSentAt,
                          Timestamp aNow)
{
  std::erase_if(mLost, [aSentAt](const LostRequest& aLost) {
    return aLost.lostAt < aSentAt;
  });
  const CrashSuspect total = Total(aRequest);
  if (aRan && total.crashes > 0 && !total.answered) {
    OwnSuspect& own = mOwn[aRequest];
    own.suspect.request = aRequest;
    own.suspect.answered = true;
    own.seenAt = aNow;
  }
}

std::size_t
CrashDetector::OnServerDown(Timestamp aNow)
{
  const auto lost = std::exchange(mLost, {});
  std::uint32_t most = 0;
  for (const auto& it : lost) {
    most = std::max(most, Total(it.request).crashes);
  }
  // Of the requests in progress, only those that were in progress at the most
  // earlier crashes are suspected further.
  std::vector<std::uint64_t> suspects;
  for (const auto& it : lost) {
    if (Total(it.request).crashes == most &&
        std::ranges::find(suspects, it.request) == suspects.end()) {
      suspects.push_back(it.request);
    }
  }
  for (const auto it : suspects) {
    OwnSuspect& own = mOwn[it];
    own.suspect.request = it;
    ++own.suspect.crashes;
    own.seenAt = aNow;
  }
  return suspects.size();
}

void
CrashDetector::SetOtherNodes(CrashSuspects aSuspects)
{
  mOthers = std::move(aSuspects);
}

bool
CrashDetector::IsBlocked(std::uint64_t aRequest) const
{
  const CrashSuspect total = Total(aRequest);
  return total.crashes >= kMaxCrashes && !total.answered;
}

std::vector<CrashSuspect>
CrashDetector::Report(Timestamp aNow)
{
  std::erase_if(mOwn, [aNow](const auto& aItem) {
    return aNow - aItem.second.seenAt > kSuspicionTime;
  });
  std::vector<OwnSuspect> own;
  own.reserve(mOwn.size());
  for (const auto& [request, it] : mOwn) {
    own.push_back(it);
  }
  std::ranges::stable_sort(
    own, [](const OwnSuspect& aFirst, const OwnSuspect& aSecond) {
      return std::pair(aFirst.suspect.crashes, aFirst.seenAt) >
             std::pair(aSecond.suspect.crashes, aSecond.seenAt);
    });
  own.resize(std::min(own.size(), kMaxReported));
  std::vector<CrashSuspect> report;
  report.reserve(own.size());
  for (const auto& it : own) {
    report.push_back(it.suspect);
  }
  return report;
}

CrashSuspect
CrashDetector::Total(std::uint64_t aRequest) const
{
  CrashSuspects total;
  if (const auto it = mOwn.find(aRequest); it != mOwn.end()) {
    MergeSuspect(total, it->second.suspect);
  }
  if (const auto it = mOthers.find(aRequest); it != mOthers.end()) {
    MergeSuspect(total, it->second);
  }
  return total.empty() ? CrashSuspect{ aRequest } : total.begin()->second;
}

} // namespace knapweedpaddle::backends
