#pragma once

#include "knapweedpaddle/common/Time.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace knapweedpaddle::telemetry {

/** The W3C trace context of a call. */
struct TraceContext
{
  std::string traceId; ///< 32 hexadecimal digits
  std::string spanId;  ///< 16 hexadecimal digits; the parent of the next span
  bool sampled = false;

  /** Returns the value of a traceparent header. */
  std::string ToHeader() const;

  /** Parses a traceparent header; nothing when it is malformed. */
  static std::optional<TraceContext> Parse(const std::string& aHeader);
};

/** One finished span. */
struct Span
{
  std::string traceId;
  std::string spanId;
  std::string parentId;
  std::string name;
  std::int64_t startMicroseconds = 0; ///< since the epoch
  std::int64_t durationMicroseconds = 0;
  std::string detail; ///< outcome or error
};

/**
 * Decides which calls are traced and queues their spans for export. The queue
 * is bounded; spans beyond it are dropped and counted.
 *
 * Thread safety: any thread.
 */
class Tracer
{
public:
  /** @param aShare  share of calls without a parent to trace, 0 to 1. */
  Tracer(std::string aService, double aShare, std::uint64_t aSeed);

  /** Returns the context of an incoming call: its parent's, or a new one. */
  TraceContext Begin(const std::string& aTraceparent);

  /** Returns a context with a new span id, a child of the one given. */
  TraceContext Child(const TraceContext& aParent);

  void Record(Span aSpan);

  /** Takes all queued spans as a Zipkin v2 JSON array; empty when there are
   * none. */
  std::string TakeBatch();

  std::uint64_t Dropped() const { return mDropped; }

private:
  std::string RandomHex(std::size_t aDigits);

  std::string mService;
  double mShare;
  std::mutex mMutex;
  std::mt19937_64 mRandom;
  std::vector<Span> mQueue;
  std::atomic<std::uint64_t> mDropped{ 0 };
};

} // namespace knapweedpaddle::telemetry
