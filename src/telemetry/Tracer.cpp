#include "knapweedpaddle/telemetry/Tracer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace knapweedpaddle::telemetry {

namespace {

constexpr std::size_t kMaxQueuedSpans = 2048;
constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
constexpr std::size_t kTraceparentSize = 55;

/** Returns whether a text has lower-case hexadecimal digits only, as the W3C
 * header demands. */
bool
IsHex(const std::string& aText)
{
  return std::ranges::all_of(aText, [](char aChar) {
    return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'f');
  });
}

/** Returns whether an id is all zeros, which the W3C header forbids. */
bool
IsZero(const std::string& aText)
{
  return std::ranges::all_of(aText, [](char aChar) { return aChar == '0'; });
}

} // namespace

std::string
TraceContext::ToHeader() const
{
  return "00-" + traceId + "-" + spanId + (sampled ? "-01" : "-00");
}

std::optional<TraceContext>
TraceContext::Parse(const std::string& aHeader)
{
  if (aHeader.size() < kTraceparentSize || aHeader.substr(0, 3) != "00-" ||
      aHeader[35] != '-' || aHeader[52] != '-') {
    return std::nullopt;
  }
  // Version "00", trace id, span id and flags, separated by hyphens.
  TraceContext context;
  context.traceId = aHeader.substr(3, kTraceIdDigits);
  context.spanId = aHeader.substr(36, kSpanIdDigits);
  const std::string flags = aHeader.substr(53, 2);
  if (!IsHex(context.traceId) || !IsHex(context.spanId) || !IsHex(flags) ||
      IsZero(context.traceId) || IsZero(context.spanId)) {
    return std::nullopt;
  }
  context.sampled = (std::stoi(flags, nullptr, 16) & 1) != 0;
  return context;
}

Tracer::Tracer(std::string aService, double aSampledShare, std::uint64_t aSeed)
  : mService(std::move(aService))
  , mSampledShare(aSampledShare)
  , mRandom(aSeed)
{
}

TraceContext
Tracer::Begin(const std::string& aTraceparent)
{
  if (auto parent = TraceContext::Parse(aTraceparent)) {
    return *parent;
  }
  TraceContext context;
  context.traceId = RandomHex(kTraceIdDigits);
  const std::scoped_lock lock(mMutex);
  context.sampled =
    std::uniform_real_distribution<double>(0, 1)(mRandom) < mSampledShare;
  return context;
}

TraceContext
Tracer::Child(const TraceContext& aParent)
{
  TraceContext child = aParent;
  child.spanId = RandomHex(kSpanIdDigits);
  return child;
}

void
Tracer::Record(Span aSpan)
{
  const std::scoped_lock lock(mMutex);
  if (mQueue.size() >= kMaxQueuedSpans) {
    ++mDropped;
    return;
  }
  mQueue.push_back(std::move(aSpan));
}

std::string
Tracer::TakeBatch()
{
  std::vector<Span> spans;
  {
    const std::scoped_lock lock(mMutex);
    spans.swap(mQueue);
  }
  if (spans.empty()) {
    return {};
  }
  auto array = nlohmann::json::array();
  for (const auto& it : spans) {
    nlohmann::json span{ { "traceId", it.traceId },
                         { "id", it.spanId },
                         { "name", it.name },
                         { "timestamp", it.startMicroseconds },
                         { "duration", it.durationMicroseconds },
                         { "localEndpoint", { { "serviceName", mService } } },
                         { "tags", { { "detail", it.detail } } } };
    if (!it.parentId.empty()) {
      span["parentId"] = it.parentId;
    }
    array.push_back(std::move(span));
  }
  return array.dump();
}

std::string
Tracer::RandomHex(std::size_t aDigits)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  const std::scoped_lock lock(mMutex);
  std::string text;
  for (std::size_t n = 0; n < aDigits; ++n) {
    text += kDigits[mRandom() & 15];
  }
  return text;
}

} // namespace knapweedpaddle::telemetry
