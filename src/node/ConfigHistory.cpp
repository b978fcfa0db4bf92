#include "knapweedpaddle/node/ConfigHistory.h"

#include "knapweedpaddle/common/Compression.h"
#include "knapweedpaddle/config/EntryCodec.h"

#include <absl/strings/escaping.h>
#include <algorithm>

namespace knapweedpaddle::node {

namespace {

constexpr std::size_t kLimit = 48; ///< changes kept for peers
constexpr std::size_t kMaxBytes = 64UL * 1024 * 1024;

/** Text on the wire: compressed, then in base64. */
std::string
Packed(const std::string& aText)
{
  return absl::Base64Escape(Compress(aText));
}

std::optional<std::string>
Unpacked(const std::string& aBytes, config::ConfigReason& aReason)
{
  std::string compressed;
  if (absl::Base64Unescape(aBytes, &compressed)) {
    if (auto text = Decompress(compressed, kMaxBytes)) {
      return text;
    }
  }
  aReason.Set(config::ConfigError::kMalformed,
              "a peer's configuration can't be unpacked");
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
    mItems.clear(); // A change does not carry limits.
    return;
  }
  mItems.push_back({ config::Difference(*aBefore, *aAfter), "" });
  if (mItems.size() > kLimit) {
    mItems.pop_front();
  }
}

nodes::PullAnswer
ConfigHistory::AnswerFor(std::uint64_t aFrom)
{
  nodes::PullAnswer answer;
  if (!mLatest) {
    return answer;
  }
  answer.configVersion = mLatest->version;
  if (mLatest->version <= aFrom) {
    return answer;
  }
  auto it = std::ranges::find_if(mItems, [aFrom](const Item& aItem) {
    return aItem.change.baseVersion == aFrom;
  });
  if (it == mItems.end()) {
    if (mEncodedLatest.empty()) {
      mEncodedLatest = Packed(config::EncodeSnapshot(*mLatest));
    }
    answer.snapshot = mEncodedLatest;
    return answer;
  }
  for (; it != mItems.end(); ++it) {
    answer.changes.push_back(Encoded(*it));
  }
  return answer;
}

const std::string&
ConfigHistory::Encoded(Item& aItem)
{
  if (aItem.encoded.empty()) {
    aItem.encoded = Packed(config::EncodeChange(aItem.change));
    aItem.change.upserts.clear();
    aItem.change.removals.clear();
  }
  return aItem.encoded;
}

std::optional<config::Change>
DecodeSentChange(const std::string& aBytes, config::ConfigReason& aReason)
{
  const auto text = Unpacked(aBytes, aReason);
  return text ? config::DecodeChange(*text, aReason) : std::nullopt;
}

std::optional<config::Snapshot>
DecodeSentSnapshot(const std::string& aBytes, config::ConfigReason& aReason)
{
  const auto text = Unpacked(aBytes, aReason);
  return text ? config::DecodeSnapshot(*text, aReason) : std::nullopt;
}

} // namespace knapweedpaddle::node
