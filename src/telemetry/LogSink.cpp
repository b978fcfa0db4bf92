#include "LogSink.h"

#include <climits>
#include <poll.h>
#include <unistd.h>

namespace knapweedpaddle::telemetry {

LogSink::LogSink(int aDescriptor)
  : mDescriptor(aDescriptor)
{
}

void
LogSink::Write(const std::string& aLine)
{
  const std::scoped_lock lock(mMutex);
  if (!IsWritable()) {
    ++mDropped;
    ++mUntold;
    return;
  }
  if (mUntold > 0) {
    Put("level=warning category=node event=log_lines_dropped count=" +
        std::to_string(mUntold));
    mUntold = 0;
    if (!IsWritable()) {
      ++mDropped;
      ++mUntold;
      return;
    }
  }
  Put(aLine);
}

std::uint64_t
LogSink::Dropped() const
{
  const std::scoped_lock lock(mMutex);
  return mDropped;
}

bool
LogSink::IsWritable() const
{
  // A pipe that is writable takes PIPE_BUF bytes without blocking.
  pollfd state{ mDescriptor, POLLOUT, 0 };
  return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0 &&
         (state.revents & POLLERR) == 0;
}

void
LogSink::Put(const std::string& aLine)
{
  std::string line = aLine.substr(0, PIPE_BUF - 1);
  line += '\n';
  if (write(mDescriptor, line.data(), line.size()) < 0) {
    ++mDropped;
    ++mUntold;
  }
}

} // namespace knapweedpaddle::telemetry
