#pragma once

#include <functional>

namespace knapweedpaddle::runtime {
class EventLoop;
}

namespace knapweedpaddle::node {

/**
 * Blocks SIGTERM, SIGINT and SIGHUP in all threads that start later, and tells
 * a loop of them. SIGPIPE is ignored.
 *
 * @pre no other thread runs yet.
 * @param aOnSignal  gets the signal's number, on the loop's thread.
 */
void
WatchSignals(runtime::EventLoop& aLoop, std::function<void(int)> aOnSignal);

} // namespace knapweedpaddle::node
