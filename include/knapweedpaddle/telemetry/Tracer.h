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
  /** The parent of the next span: 16 hexadecimal digits, empty in a new trace.
   */
  std::string spanId;
  bool sampled = false; ///< whether spans of this trace are recorded

  /** Returns the value of the traceparent header for this context. */
  std::string ToHeader() const;

  /** Parses the value of a traceparent header; returns nullopt when it is
   * malformed. */
  static std::optional<TraceContext> Parse(const std::string& aHeader);
};

/** A finished span. */
struct Span
{
  std::string traceId;
  std::string spanId;
  std::string parentId; ///< empty for the root span of a trace
  std::string name;
  std::int64_t startMicroseconds = 0; ///< since the Unix epoch
  std::int64_t durationMicroseconds = 0;
  std::string detail; ///< outcome or error of the call
};

/**
 * Decides which calls are traced and queues their spans for export. The queue
 * is bounded; spans that do not fit are dropped and counted.
 *
 * Thread safety: any thread.
 */
class Tracer
{
public:
  /**
   * @param aService       the service name that spans are exported under.
   * @param aSampledShare  share of the calls without a traceparent header that
   *                       are traced, 0 to 1.
   * @param aSeed          seeds trace ids, span ids and sampling.
   */
  Tracer(std::string aService, double aSampledShare, std::uint64_t aSeed);

  /** Returns the context of an incoming call: the one in its traceparent
   * header, or that of a new trace. */
  TraceContext Begin(const std::string& aTraceparent);

  /** Returns a context of the same trace with a new span id. */
  TraceContext Child(const TraceContext& aParent);

  /** Queues a finished span for export. */
  void Record(Span aSpan);

  /** Removes all queued spans and returns them as a Zipkin v2 JSON array, or
   * "" when there are none. */
  std::string TakeBatch();

  /** Returns the number of spans dropped because the queue was full. */
  std::uint64_t Dropped() const { return mDropped; }

private:
  std::string RandomHex(std::size_t aDigits);

  std::string mService;
  double mSampledShare;
  std::mutex mMutex;
  std::mt19937_64 mRandom;
  std::vector<Span> mQueue;
  std::atomic<std::uint64_t> mDropped{ 0 };
};

} // namespace knapweedpaddle::telemetry
