#pragma once

#include "knapweedpaddle/runtime/EventLoop.h"
#include "knapweedpaddle/store/ClaimBatcher.h"

namespace knapweedpaddle::node {

/** Passes claims from the traffic thread to the control thread, and their
 * outcomes back. */
class ClaimBridge : public backends::ClaimService
{
public:
  ClaimBridge(runtime::EventLoop& aTraffic, runtime::EventLoop& aControl)
    : mTraffic(aTraffic)
    , mControl(aControl)
  {
  }

  /** Sets the batcher that answers the claims. Call before the loops run. */
  void SetBatcher(store::ClaimBatcher& aBatcher) { mBatcher = &aBatcher; }

  void Claim(const std::string& aKey,
             const std::string& aCallId,
             Callback aCallback) override
  {
    mControl.Post([this, aKey, aCallId, callback = std::move(aCallback)] {
      mBatcher->Claim(
        aKey, aCallId, [this, callback](backends::ClaimOutcome aOutcome) {
          mTraffic.Post([callback, aOutcome] { callback(aOutcome); });
        });
      mBatcher->Tick(std::chrono::steady_clock::now());
    });
  }

private:
  runtime::EventLoop& mTraffic;
  runtime::EventLoop& mControl;
  store::ClaimBatcher* mBatcher = nullptr;
};

} // namespace knapweedpaddle::node
