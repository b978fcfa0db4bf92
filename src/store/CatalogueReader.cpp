#include "knapweedpaddle/store/CatalogueReader.h"

#include "knapweedpaddle/config/EntryCodec.h"
#include "knapweedpaddle/store/CatalogueRows.h"

namespace knapweedpaddle::store {

namespace {

/** Further behind than this, a whole snapshot is read first. */
constexpr std::uint64_t kMaxChangesBehind = 64;

} // namespace

CatalogueReader::CatalogueReader(StoreClient& aPlatform,
                                 config::ConfigStore& aStore,
                                 std::function<void()> aChanged)
  : mPlatform(aPlatform)
  , mStore(aStore)
  , mChanged(std::move(aChanged))
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
  if (mStore.Version() >= aVersion) {
    aCallback(true);
    return;
  }
  if (aVersion - mStore.Version() > kMaxChangesBehind) {
    FetchSnapshot(aVersion, aCallback);
    return;
  }
  FetchChanges(aVersion, std::move(aCallback));
}

void
CatalogueReader::FetchChanges(std::uint64_t aVersion, DoneCallback aCallback)
{
  mPlatform.ReadRange(
    kChangePrefix,
    ChangeKey(mStore.Version() + 1),
    kMaxChangesBehind,
    [this, aVersion, callback = std::move(aCallback)](
      const std::optional<std::vector<Row>>& aRows, const StoreReason&) {
      if (!aRows) {
        callback(false);
        return;
      }
      const std::uint64_t before = mStore.Version();
      config::ConfigReason reason;
      for (const auto& it : *aRows) {
        if (const auto change = config::DecodeChange(it.value, reason)) {
          mStore.Apply(*change, reason);
        }
      }
      if (mStore.Version() != before) {
        mChanged();
      }
      if (mStore.Version() >= aVersion || mStore.Version() == before) {
        callback(mStore.Version() >= aVersion);
        return;
      }
      CatchUp(aVersion, callback);
    });
}

void
CatalogueReader::FetchSnapshot(std::uint64_t aVersion,
                               const DoneCallback& aCallback)
{
  const auto onBody =
    [this, aVersion, aCallback](const std::optional<std::string>& aBody,
                                const StoreReason&) {
      if (aBody && Replace(*aBody)) {
        mChanged();
      }
      FetchChanges(aVersion, aCallback);
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
      if (version <= mStore.Version()) {
        FetchChanges(aVersion, aCallback);
        return;
      }
      mPlatform.GetObject(SnapshotObject(version), onBody);
    });
}

bool
CatalogueReader::Replace(const std::string& aBody)
{
  config::ConfigReason reason;
  const auto snapshot = config::DecodeSnapshot(aBody, reason);
  return snapshot && mStore.Replace(*snapshot, reason);
}

} // namespace knapweedpaddle::store
