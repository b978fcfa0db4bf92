#include "knapweedpaddle/store/ClaimBatcher.h"

#include "knapweedpaddle/store/CatalogueRows.h"

#include <algorithm>

namespace knapweedpaddle::store {

using backends::ClaimOutcome;

namespace {

constexpr std::size_t kMaxWaitingClaims = 512;
constexpr std::size_t kMaxClaimsPerWrite = 128;
constexpr std::int64_t kMillisecondsPerSecond = 1000;

} // namespace

ClaimBatcher::ClaimBatcher(StoreClient& aPlatform,
                           std::uint32_t aWritesPerSecond)
  : mPlatform(aPlatform)
  , mWriteInterval(kMillisecondsPerSecond /
                   std::max<std::int64_t>(aWritesPerSecond, 1))
{
}

void
ClaimBatcher::Claim(const std::string& aKey,
                    const std::string& aCallId,
                    Callback aCallback)
{
  PendingClaim claim{ ClaimKey(aKey), aCallId, std::move(aCallback) };
  if (mWaiting.size() >= kMaxWaitingClaims) {
    claim.callback(ClaimOutcome::kOverBudget);
    return;
  }
  if (!mPendingKeys.insert(claim.rowKey).second) {
    claim.callback(ClaimOutcome::kTaken);
    return;
  }
  mWaiting.push_back(std::move(claim));
}

void
ClaimBatcher::Tick(Timestamp aNow)
{
  if (mBusy || mWaiting.empty() || aNow < mNextWriteAt) {
    return;
  }
  mNextWriteAt = aNow + mWriteInterval;
  Batch batch;
  while (!mWaiting.empty() && batch.size() < kMaxClaimsPerWrite) {
    batch.push_back(std::move(mWaiting.front()));
    mWaiting.pop_front();
  }
  Commit(std::move(batch));
}

void
ClaimBatcher::Commit(Batch aBatch)
{
  if (aBatch.empty()) {
    mBusy = false;
    return;
  }
  mBusy = true;
  Transaction transaction;
  for (const auto& it : aBatch) {
    transaction.conditions.push_back({ it.rowKey, 0 });
    transaction.writes.push_back({ it.rowKey, it.callId, false });
  }
  mPlatform.Commit(std::move(transaction),
                   [this, batch = std::move(aBatch)](
                     bool aDone, const StoreReason& aReason) mutable {
                     if (aDone) {
                       for (auto& it : batch) {
                         Answer(it, ClaimOutcome::kGranted);
                       }
                       mBusy = false;
                       return;
                     }
                     switch (aReason.code) {
                       case StoreError::kConflict:
                         OnConflict(std::move(batch), aReason.conflictingKeys);
                         return;
                       case StoreError::kOutcomeUnknown:
                         ResolveByReading(std::move(batch));
                         return;
                       default:
                         for (auto& it : batch) {
                           Answer(it, ClaimOutcome::kUnavailable);
                         }
                         mBusy = false;
                     }
                   });
}

void
ClaimBatcher::OnConflict(Batch aBatch, const std::vector<std::string>& aTaken)
{
  Batch rest;
  for (auto& it : aBatch) {
    if (std::ranges::find(aTaken, it.rowKey) != aTaken.end()) {
      Answer(it, ClaimOutcome::kTaken);
    } else {
      rest.push_back(std::move(it));
    }
  }
  if (rest.size() == aBatch.size()) {
    // The platform did not report which rows conflict.
    ResolveByReading(std::move(rest));
    return;
  }
  Commit(std::move(rest));
}

void
ClaimBatcher::ResolveByReading(Batch aBatch)
{
  std::vector<std::string> keys;
  keys.reserve(aBatch.size());
  for (const auto& it : aBatch) {
    keys.push_back(it.rowKey);
  }
  mPlatform.Read(
    keys,
    [this,
     batch = std::move(aBatch)](const std::optional<std::vector<Row>>& aRows,
                                const StoreReason&) mutable {
      for (auto& it : batch) {
        // The write may still take effect later, so a missing row does not
        // mean that it failed. Only a row with this call's id grants the claim.
        ClaimOutcome outcome = ClaimOutcome::kUnavailable;
        if (aRows) {
          const auto row = std::ranges::find(*aRows, it.rowKey, &Row::key);
          if (row != aRows->end() && row->revision != 0) {
            outcome = row->value == it.callId ? ClaimOutcome::kGranted
                                              : ClaimOutcome::kTaken;
          }
        }
        Answer(it, outcome);
      }
      mBusy = false;
    });
}

void
ClaimBatcher::Answer(PendingClaim& aClaim, ClaimOutcome aOutcome)
{
  mPendingKeys.erase(aClaim.rowKey);
  aClaim.callback(aOutcome);
}

} // namespace knapweedpaddle::store
