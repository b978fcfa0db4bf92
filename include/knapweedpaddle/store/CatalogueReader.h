#pragma once

#include "knapweedpaddle/config/ConfigStore.h"
#include "knapweedpaddle/store/StoreClient.h"

#include <functional>

namespace knapweedpaddle::store {

/**
 * Reads catalogue changes from the platform's store and applies them to a
 * ConfigStore. A node that is many versions behind reads a snapshot first.
 *
 * Thread safety: control thread only.
 */
class CatalogueReader
{
public:
  /** @param aOnChanged  called whenever aConfigStore has a newer version. */
  CatalogueReader(StoreClient& aPlatform,
                  config::ConfigStore& aConfigStore,
                  std::function<void()> aOnChanged);

  /** Receives the newest catalogue version, or nothing if it can't be read. */
  using HeadCallback = std::function<void(std::optional<std::uint64_t>)>;

  /** Reads the number of the newest catalogue version. */
  void ReadHead(HeadCallback aCallback);

  /** Receives whether the ConfigStore has reached the requested version. */
  using DoneCallback = std::function<void(bool aReached)>;

  /**
   * Reads and applies changes until the ConfigStore has at least aVersion, or
   * until a read fails or yields no newer version.
   */
  void CatchUp(std::uint64_t aVersion, DoneCallback aCallback);

private:
  /** @param aAfterSnapshot  a snapshot was read, if there is a newer one. */
  void FetchChanges(std::uint64_t aVersion,
                    bool aAfterSnapshot,
                    DoneCallback aCallback);
  void FetchSnapshot(std::uint64_t aVersion, const DoneCallback& aCallback);
  bool ApplySnapshot(const std::string& aBody);

  StoreClient& mPlatform;
  config::ConfigStore& mConfigStore;
  std::function<void()> mOnChanged;
};

} // namespace knapweedpaddle::store
