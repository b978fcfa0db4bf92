#include "knapweedpaddle/store/CatalogueReader.h"

#include "knapweedpaddle/config/EntryCodec.h"
#include "knapweedpaddle/store/CatalogueRows.h"

namespace knapweedpaddle::store {

namespace {

/** A node that is more changes behind than this reads a snapshot first. */
constexpr std::uint64_t kMaxChangesBehind = 64;

} // namespace

CatalogueReader::CatalogueReader(StoreClient& aPlatform,
                                 config::ConfigStore& aConfigStore,
                                 std::function<void()> aOnChanged)
  : mPlatform(aPlatform)
  , mConfigStore(aConfigStore)
  , mOnChanged(std::move(aOnChanged))
{
}

void
CatalogueReader::ReadHead(HeadCallback aCallback)
{
  mPlatform.Read(
    { kHeadKey },
    [callback = std::move(aCallback)](
      const std::optional<std::vector<Row>>& aRows, const StoreReason&) {
      if (!aRows || aRows->empty()) {
        callback(std::nullopt);
        return;
      }
      callback(VersionOf(aRows->front()));
    });
}

void
CatalogueReader::CatchUp(std::uint64_t aVersion, DoneCallback aCallback)
{
  if (mConfigStore.Version() >= aVersion) {
    aCallback(true);
    return;
  }
  if (aVersion - mConfigStore.Version() > kMaxChangesBehind) {
    FetchSnapshot(aVersion, aCallback);
    return;
  }
  FetchChanges(aVersion, false, std::move(aCallback));
}

void
CatalogueReader::FetchChanges(std::uint64_t aVersion,
                              bool aAfterSnapshot,
                              DoneCallback aCallback)
{
  mPlatform.ReadRange(
    kChangePrefix,
    ChangeKey(mConfigStore.Version() + 1),
    kMaxChangesBehind,
    [this, aVersion, aAfterSnapshot, callback = std::move(aCallback)](
      const std::optional<std::vector<Row>>& aRows, const StoreReason&) {
      if (!aRows) {
        callback(false);
        return;
      }
      const std::uint64_t before = mConfigStore.Version();
      config::ConfigReason reason;
      for (const auto& it : *aRows) {
        if (const auto change = config::DecodeChange(it.value, reason)) {
          mConfigStore.Apply(*change, reason);
        }
      }
      if (mConfigStore.Version() != before) {
        mOnChanged();
      }
      if (mConfigStore.Version() >= aVersion) {
        callback(true);
      } else if (mConfigStore.Version() != before) {
        CatchUp(aVersion, callback);
      } else if (aAfterSnapshot) {
        callback(false);
      } else {
        // A restored store may lack the rows of some changes.
        FetchSnapshot(aVersion, callback);
      }
    });
}

void
CatalogueReader::FetchSnapshot(std::uint64_t aVersion,
                               const DoneCallback& aCallback)
{
  const auto onBody =
    [this, aVersion, aCallback](const std::optional<std::string>& aBody,
                                const StoreReason&) {
      if (aBody && ApplySnapshot(*aBody)) {
        mOnChanged();
      }
      FetchChanges(aVersion, true, aCallback);
    };
  mPlatform.Read(
    { kSnapshotKey },
    [this, aVersion, aCallback, onBody](
      const std::optional<std::vector<Row>>& aRows, const StoreReason&) {
      if (!aRows || aRows->empty()) {
        aCallback(false);
        return;
      }
      const auto version = VersionOf(aRows->front()).value_or(0);
      if (version <= mConfigStore.Version()) {
        FetchChanges(aVersion, true, aCallback);
        return;
      }
      mPlatform.GetObject(SnapshotObjectName(version), onBody);
    });
}

bool
CatalogueReader::ApplySnapshot(const std::string& aBody)
{
  config::ConfigReason reason;
  const auto snapshot = config::DecodeSnapshot(aBody, reason);
  return snapshot && mConfigStore.Replace(*snapshot, reason);
}

} // namespace knapweedpaddle::store
