#pragma once

#include "knapweedpaddle/config/ConfigStore.h"
#include "knapweedpaddle/store/StoreClient.h"

#include <functional>

namespace knapweedpaddle::store {

/**
 * Brings a node's configuration up to the platform's newest version: change by
 * change, or by a whole snapshot when it is far behind.
 *
 * Thread safety: control thread only.
 */
class CatalogueReader
{
public:
  /** @param aOnChanged  runs after each change of the store. */
  CatalogueReader(StoreClient& aPlatform,
                  config::ConfigStore& aConfigStore,
                  std::function<void()> aOnChanged);

  /** Called with the platform's newest version, or nothing when it can't be
   * read. */
  using HeadCallback = std::function<void(std::optional<std::uint64_t>)>;

  /** Reads the newest version's number. */
  void ReadHead(HeadCallback aCallback);

  using DoneCallback = std::function<void(bool aReached)>;

  /** Brings the store to at least a version. */
  void CatchUp(std::uint64_t aVersion, DoneCallback aCallback);

private:
  void FetchChanges(std::uint64_t aVersion, DoneCallback aCallback);
  void FetchSnapshot(std::uint64_t aVersion, const DoneCallback& aCallback);
  bool ApplySnapshot(const std::string& aBody);

  StoreClient& mPlatform;
  config::ConfigStore& mConfigStore;
  std::function<void()> mOnChanged;
};

} // namespace knapweedpaddle::store
