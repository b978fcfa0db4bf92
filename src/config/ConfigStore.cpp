#include "knapweedpaddle/config/ConfigStore.h"

namespace knapweedpaddle::config {

ConfigStore::ConfigStore(std::size_t aHistoryLimit)
  : mHistoryLimit(aHistoryLimit)
  , mCurrent(std::make_shared<Snapshot>())
{
}

bool
ConfigStore::Apply(const Change& aChange, ConfigReason& aReason)
{
  const std::string name = "change " + std::to_string(aChange.version);
  if (aChange.version <= Version()) {
    aReason.Set(ConfigError::kStale,
                name + " is not newer than version " +
                  std::to_string(Version()));
    return false;
  }
  if (aChange.version != Version() + 1) {
    aReason.Set(ConfigError::kGap,
                name + " does not directly follow version " +
                  std::to_string(Version()));
    return false;
  }
  Snapshot next = ApplyChange(*mCurrent, aChange);
  if (next.Digest() != aChange.digest) {
    aReason.Set(ConfigError::kDigestMismatch,
                name + " does not result in digest " + aChange.digest);
    return false;
  }
  if (!SetCurrentIfValid(std::move(next), aReason)) {
    return false;
  }
  mHistory.push_back(aChange);
  if (mHistory.size() > mHistoryLimit) {
    mHistory.pop_front();
  }
  return true;
}

bool
ConfigStore::Replace(const Snapshot& aSnapshot, ConfigReason& aReason)
{
  if (aSnapshot.version <= Version()) {
    aReason.Set(ConfigError::kStale,
                "snapshot " + std::to_string(aSnapshot.version) +
                  " is not newer than version " + std::to_string(Version()));
    return false;
  }
  if (!SetCurrentIfValid(aSnapshot, aReason)) {
    return false;
  }
  mHistory.clear();
  return true;
}

std::optional<std::vector<Change>>
ConfigStore::ChangesAfter(std::uint64_t aVersion) const
{
  if (aVersion >= Version()) {
    return std::vector<Change>{};
  }
  if (mHistory.empty() || mHistory.front().version > aVersion + 1) {
    return std::nullopt;
  }
  const auto first =
    mHistory.begin() +
    static_cast<std::ptrdiff_t>(aVersion + 1 - mHistory.front().version);
  return std::vector<Change>(first, mHistory.end());
}

bool
ConfigStore::SetCurrentIfValid(Snapshot aSnapshot, ConfigReason& aReason)
{
  if (!Validate(aSnapshot, aReason)) {
    return false;
  }
  mCurrent = std::make_shared<const Snapshot>(std::move(aSnapshot));
  return true;
}

} // namespace knapweedpaddle::config
