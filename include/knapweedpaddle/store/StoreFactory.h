#pragma once

#include "knapweedpaddle/store/StoreClient.h"

#include <functional>
#include <memory>

namespace knapweedpaddle::runtime {
class EventLoop;
}

namespace knapweedpaddle::store {

/** Called with the bytes that a store call sent and received. */
using ByteCounter =
  std::function<void(std::size_t aSent, std::size_t aReceived)>;

/**
 * Creates a client of the store at aAddress ("IP:port"), whose callbacks run on
 * aLoop. A request to the store times out after aTimeout, except for those of
 * StoreClient::Follow(), which have a wait of their own.
 */
using StoreFactory =
  std::function<std::unique_ptr<StoreClient>(runtime::EventLoop& aLoop,
                                             const std::string& aAddress,
                                             Milliseconds aTimeout,
                                             ByteCounter aCounter)>;

} // namespace knapweedpaddle::store
