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
  struct Pending
  {
    std::string rowKey;
    std::string callId;
    Callback callback;
  };

  using Batch = std::vector<Pending>;

  void Commit(Batch aBatch);
  void OnConflict(Batch aBatch, const std::vector<std::string>& aTaken);
  void Settle(Batch aBatch);
  void Answer(Pending& aPending, backends::ClaimOutcome aOutcome);

  StoreClient& mPlatform;
  Milliseconds mInterval;
  Timestamp mNextWrite{};
  bool mBusy = false;
  std::deque<Pending> mWaiting;
  std::set<std::string> mHeld; ///< row keys waiting or being written
};

} // namespace knapweedpaddle::store
