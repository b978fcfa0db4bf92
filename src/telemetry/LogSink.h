#pragma once

#include <cstdint>
#include <mutex>
#include <string>

namespace knapweedpaddle::telemetry {

/**
 * Writes lines to a descriptor and never waits for its reader: lines that can't
 * be taken at once are dropped, counted, and told of by the next one.
 *
 * Thread safety: any thread.
 */
class LogSink
{
public:
  explicit LogSink(int aDescriptor);

  /** Writes a line; a longer one than a pipe takes at once is cut. */
  void Write(const std::string& aLine);

  /** Number of lines dropped so far. */
  std::uint64_t Dropped() const;

private:
  bool IsWritable() const;
  void Put(const std::string& aLine);

  int mDescriptor;
  mutable std::mutex mMutex;
  std::uint64_t mDropped = 0;
  std::uint64_t mUntold = 0;
};

} // namespace knapweedpaddle::telemetry
