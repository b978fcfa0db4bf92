#pragma once

#include "knapweedpaddle/store/StoreClient.h"

#include <map>
#include <string>
#include <vector>

namespace knapweedpaddle::standins {

/** An in-memory version of the platform's row and object store. Not thread
 * safe. */
class InMemoryStore
{
public:
  /** Returns a row for each key; revision 0 where no row exists. */
  std::vector<store::Row> Read(const std::vector<std::string>& aKeys) const;

  /** Returns rows in the order of their keys.
   *
   * @param aPrefix  only keys that begin with it.
   * @param aFirst   only this key and those after it.
   * @param aLimit   highest number of rows. */
  std::vector<store::Row> ReadRange(const std::string& aPrefix,
                                    const std::string& aFirst,
                                    std::size_t aLimit) const;

  /** Returns all rows of a table, which are those whose keys begin with the
   * table's name and a slash. */
  store::TableRows ReadTable(const std::string& aTable) const;

  /** Returns the rows of a table that changed after a revision, each once in
   * its present state; a removed row has revision 0. */
  store::TableRows ChangesAfter(const std::string& aTable,
                                std::uint64_t aRevision) const;

  /** Returns the revision of the last write to a row; 0 before the first. */
  std::uint64_t Revision() const { return mRevision; }

  /** Applies all writes if all conditions hold, otherwise none.
   *
   * @return the keys whose conditions failed; empty if the writes were applied.
   */
  std::vector<std::string> Commit(const store::Transaction& aTransaction);

  /** Replaces the content by an older copy, after which revisions are given out
   * again, and starts a new history. */
  void RestoreFrom(const InMemoryStore& aCopy);

  /** Returns how often the store was restored. */
  std::uint64_t History() const { return mHistory; }

  void PutObject(const std::string& aName, const std::string& aBody)
  {
    mObjects[aName] = aBody;
  }
  const std::string* GetObject(const std::string& aName) const;

private:
  std::map<std::string, store::Row> mRows;
  /** Revisions at which rows were removed, by key. */
  std::map<std::string, std::uint64_t> mRemovedRevisions;
  std::map<std::string, std::string> mObjects;
  std::uint64_t mRevision = 0;
  std::uint64_t mHistory = 0;
};

} // namespace knapweedpaddle::standins
