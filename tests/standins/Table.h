#pragma once

#include "knapweedpaddle/platform/PlatformClient.h"

#include <map>
#include <string>
#include <vector>

namespace knapweedpaddle::standins {

/** The platform's table and object store in memory. Not thread safe. */
class Table
{
public:
  std::vector<platform::Row> Read(const std::vector<std::string>& aKeys) const;

  std::vector<platform::Row> ReadRange(const std::string& aPrefix,
                                       const std::string& aFirst,
                                       std::size_t aLimit) const;

  /** Returns the keys whose conditions failed; empty when the writes took
   * effect. */
  std::vector<std::string> Commit(const platform::Transaction& aTransaction);

  void PutObject(const std::string& aName, const std::string& aBody)
  {
    mObjects[aName] = aBody;
  }
  const std::string* GetObject(const std::string& aName) const;

private:
  std::map<std::string, platform::Row> mRows;
  std::map<std::string, std::string> mObjects;
  std::uint64_t mRevision = 0;
};

} // namespace knapweedpaddle::standins
