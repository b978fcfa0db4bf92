#pragma once

#include "knapweedpaddle/store/StoreClient.h"

#include <functional>
#include <memory>

namespace knapweedpaddle::runtime {
class EventLoop;
}

namespace knapweedpaddle::store {

/** Hears the bytes sent and received by each call. */
using ByteCounter =
  std::function<void(std::size_t aSent, std::size_t aReceived)>;

/**
 * Makes the client of the store at "IP:port" that runs on a loop. Calls that do
 * not wait for changes end after the timeout.
 */
using StoreFactory =
  std::function<std::unique_ptr<StoreClient>(runtime::EventLoop& aLoop,
                                             const std::string& aAddress,
                                             Milliseconds aTimeout,
                                             ByteCounter aCounter)>;

} // namespace knapweedpaddle::store
