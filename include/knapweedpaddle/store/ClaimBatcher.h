#pragma once

#include "knapweedpaddle/backends/ClaimService.h"
#include "knapweedpaddle/common/Time.h"
#include "knapweedpaddle/store/StoreClient.h"

#include <deque>
#include <set>

namespace knapweedpaddle::store {

/**
 * Claims idempotency keys in the platform's table, many in one write. A claim
 * whose write brought no answer is settled by reading its row back.
 *
 * Thread safety: control thread only. The owner calls Tick() at least every
 * few milliseconds.
 */
class ClaimBatcher : public backends::ClaimService
{
public:
  /** @param aWritesPerSecond  most transactions a second. */
  ClaimBatcher(StoreClient& aPlatform, std::uint32_t aWritesPerSecond);

  void Claim(const std::string& aKey,
             const std::string& aCallId,
             Callback aCallback) override;

  /** Sends the waiting claims when the write budget allows it. */
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
  void OnConflict(Batch aBatch, const std::vector<std::string>& aTaken);
  void ResolveByReading(Batch aBatch);
  void Answer(PendingClaim& aClaim, backends::ClaimOutcome aOutcome);

  StoreClient& mPlatform;
  Milliseconds mWriteInterval;
  Timestamp mNextWriteAt{};
  bool mBusy = false;
  std::deque<PendingClaim> mWaiting;
  std::set<std::string> mPendingKeys; ///< row keys waiting or being written
};

} // namespace knapweedpaddle::store
