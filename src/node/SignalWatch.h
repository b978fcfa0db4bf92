#pragma once

#include <functional>

namespace knapweedpaddle::runtime {
class EventLoop;
}

namespace knapweedpaddle::node {

/**
 * Delivers SIGTERM, SIGINT and SIGHUP to a loop's thread. They are blocked in
 * this thread and in all threads that start later; SIGPIPE is ignored.
 *
 * @pre No other thread runs yet.
 * @param aOnSignal  receives the signal's number, on the loop's thread.
 */
void
WatchSignals(runtime::EventLoop& aLoop, std::function<void(int)> aOnSignal);

} // namespace knapweedpaddle::node
