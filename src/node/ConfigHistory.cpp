#include "knapweedpaddle/node/ConfigHistory.h"

#include "knapweedpaddle/common/Compression.h"
#include "knapweedpaddle/config/EntryCodec.h"

#include <absl/strings/escaping.h>
#include <algorithm>

namespace knapweedpaddle::node {

namespace {

constexpr std::size_t kMaxChanges = 48; ///< changes kept for peers' pulls
constexpr std::size_t kMaxDecodedBytes = 64UL * 1024 * 1024;

/** Compresses a text and encodes the result in base64. */
std::string
EncodeForWire(const std::string& aText)
{
  return absl::Base64Escape(Compress(aText));
}

std::optional<std::string>
DecodeFromWire(const std::string& aBytes, config::ConfigReason& aReason)
{
  std::string compressed;
  if (absl::Base64Unescape(aBytes, &compressed)) {
    if (auto text = Decompress(compressed, kMaxDecodedBytes)) {
      return text;
    }
  }
  aReason.Set(
    config::ConfigError::kMalformed,
    "a peer's configuration can't be decoded: not base64 of compressed "
    "data, or too large");
  return std::nullopt;
}

} // namespace

void
ConfigHistory::Add(const config::SnapshotPtr& aBefore,
                   const config::SnapshotPtr& aAfter)
{
  mLatest = aAfter;
  mEncodedLatest.clear();
  if (!aBefore || aBefore->callerLimits != aAfter->callerLimits) {
    mChanges.clear(); // A change does not carry caller limits.
    return;
  }
  mChanges.push_back({ config::Difference(*aBefore, *aAfter), "" });
  if (mChanges.size() > kMaxChanges) {
    mChanges.pop_front();
  }
}

nodes::PullAnswer
ConfigHistory::MakePullAnswer(std::uint64_t aFrom)
{
  nodes::PullAnswer answer;
  if (!mLatest) {
    return answer;
  }
  answer.configVersion = mLatest->version;
  if (mLatest->version <= aFrom) {
    return answer;
  }
  auto it = std::ranges::find_if(mChanges, [aFrom](const KeptChange& aChange) {
    return aChange.change.baseVersion == aFrom;
  });
  if (it == mChanges.end()) {
    if (mEncodedLatest.empty()) {
      mEncodedLatest = EncodeForWire(config::EncodeSnapshot(*mLatest));
    }
    answer.snapshot = mEncodedLatest;
    return answer;
  }
  for (; it != mChanges.end(); ++it) {
    answer.changes.push_back(EncodeOnce(*it));
  }
  return answer;
}

const std::string&
ConfigHistory::EncodeOnce(KeptChange& aChange)
{
  if (aChange.encoded.empty()) {
    aChange.encoded = EncodeForWire(config::EncodeChange(aChange.change));
    aChange.change.upserts.clear();
    aChange.change.removals.clear();
  }
  return aChange.encoded;
}

std::optional<config::Change>
DecodeSentChange(const std::string& aBytes, config::ConfigReason& aReason)
{
  const auto text = DecodeFromWire(aBytes, aReason);
  return text ? config::DecodeChange(*text, aReason) : std::nullopt;
}

std::optional<config::Snapshot>
DecodeSentSnapshot(const std::string& aBytes, config::ConfigReason& aReason)
{
  const auto text = DecodeFromWire(aBytes, aReason);
  return text ? config::DecodeSnapshot(*text, aReason) : std::nullopt;
}

} // namespace knapweedpaddle::node
