#pragma once

#include "knapweedpaddle/store/StoreClient.h"

#include <map>
#include <string>
#include <vector>

namespace knapweedpaddle::standins {

/** The platform's table and object store in memory. Not thread safe. */
class InMemoryStore
{
public:
  std::vector<store::Row> Read(const std::vector<std::string>& aKeys) const;

  std::vector<store::Row> ReadRange(const std::string& aPrefix,
                                    const std::string& aFirst,
                                    std::size_t aLimit) const;

  /** Returns all rows of a table; keys begin with the table's name. */
  store::TableNews ReadTable(const std::string& aTable) const;

  /** Returns a table's rows that changed after a revision, each once. */
  store::TableNews ChangesAfter(const std::string& aTable,
                                std::uint64_t aRevision) const;

  std::uint64_t Revision() const { return mRevision; }

  /** Returns the keys whose conditions failed; empty when the writes took
   * effect. */
  std::vector<std::string> Commit(const store::Transaction& aTransaction);

  void PutObject(const std::string& aName, const std::string& aBody)
  {
    mObjects[aName] = aBody;
  }
  const std::string* GetObject(const std::string& aName) const;

private:
  std::map<std::string, store::Row> mRows;
  std::map<std::string, std::uint64_t> mRemovedRevisions; ///< revisions, by key
  std::map<std::string, std::string> mObjects;
  std::uint64_t mRevision = 0;
};

} // namespace knapweedpaddle::standins
