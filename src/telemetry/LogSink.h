#pragma once

#include <cstdint>
#include <mutex>
#include <string>

namespace knapweedpaddle::telemetry {

/**
 * Writes lines to a file descriptor without ever blocking on its reader. Lines
 * that can't be written at once are dropped; the next line that can be written
 * is preceded by one with their number.
 *
 * Thread safety: any thread.
 */
class LogSink
{
public:
  explicit LogSink(int aDescriptor);

  /** Writes a line, cut to the size that a pipe takes at once (PIPE_BUF). */
  void Write(const std::string& aLine);

  /** Returns the number of lines dropped so far. */
  std::uint64_t Dropped() const;

private:
  bool IsWritable() const;
  void WriteCut(const std::string& aLine);

  int mDescriptor;
  mutable std::mutex mMutex;
  std::uint64_t mDropped = 0;
  std::uint64_t mUnreported = 0; ///< dropped lines not yet logged
};

} // namespace knapweedpaddle::telemetry
