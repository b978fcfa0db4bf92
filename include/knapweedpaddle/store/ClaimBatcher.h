#pragma once

#include "knapweedpaddle/backends/ClaimService.h"
#include "knapweedpaddle/common/Time.h"
#include "knapweedpaddle/store/StoreClient.h"

#include <deque>
#include <set>

namespace knapweedpaddle::store {

/**
 * Claims idempotency keys by writing rows to the platform's store, many rows in
 * one transaction. If a write gets no answer, the rows are read back to find
 * out whether it took effect.
 *
 * Thread safety: control thread only. The owner calls Tick() at least every
 * few milliseconds.
 */
class ClaimBatcher : public backends::ClaimService
{
public:
  /** @param aWritesPerSecond  most transactions started per second. */
  ClaimBatcher(StoreClient& aPlatform, std::uint32_t aWritesPerSecond);

  void Claim(const std::string& aKey,
             const std::string& aCallId,
             Callback aCallback) override;

  /** Sends the waiting claims if the limit on writes per second allows it. */
  void Tick(Timestamp aNow);

private:
  struct PendingClaim
  {
    std::string rowKey;
    std::string callId;
    Callback callback;
  };

  using Batch = std::vector<PendingClaim>;

  void Commit(Batch aBatch);
  /** Answers the claims on rows that exist and writes the others again. */
  void OnConflict(Batch aBatch, const std::vector<std::string>& aTaken);
  /** Answers claims of unknown outcome from what their rows hold now. */
  void ResolveByReading(Batch aBatch);
  void Answer(PendingClaim& aClaim, backends::ClaimOutcome aOutcome);

  StoreClient& mPlatform;
  Milliseconds mWriteInterval;
  Timestamp mNextWriteAt{};
  bool mBusy = false; ///< a batch is being written or read back
  std::deque<PendingClaim> mWaiting;
  std::set<std::string> mPendingKeys; ///< row keys of the unanswered claims
};

} // namespace knapweedpaddle::store
