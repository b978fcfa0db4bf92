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
    ++mUnreported;
    return;
  }
  if (mUnreported > 0) {
    WriteCut("level=warning category=node event=log_lines_dropped count=" +
             std::to_string(mUnreported));
    mUnreported = 0;
    if (!IsWritable()) {
      ++mDropped;
      ++mUnreported;
      return;
    }
  }
  WriteCut(aLine);
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
  // poll reports a pipe as writable when it takes PIPE_BUF bytes without
  // blocking.
  pollfd state{ mDescriptor, POLLOUT, 0 };
  return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0 &&
         (state.revents & POLLERR) == 0;
}

void
LogSink::WriteCut(const std::string& aLine)
{
  std::string line = aLine.substr(0, PIPE_BUF - 1);
  line += '\n';
  if (write(mDescriptor, line.data(), line.size()) < 0) {
    ++mDropped;
    ++mUnreported;
  }
}

} // namespace knapweedpaddle::telemetry
