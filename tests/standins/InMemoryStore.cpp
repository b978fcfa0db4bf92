#include "InMemoryStore.h"

namespace knapweedpaddle::standins {

using store::Row;

std::vector<Row>
InMemoryStore::Read(const std::vector<std::string>& aKeys) const
{
  std::vector<Row> rows;
  for (const auto& key : aKeys) {
    const auto it = mRows.find(key);
    rows.push_back(it == mRows.end() ? Row{ key, "", 0 } : it->second);
  }
  return rows;
}

std::vector<Row>
InMemoryStore::ReadRange(const std::string& aPrefix,
                         const std::string& aFirst,
                         std::size_t aLimit) const
{
  std::vector<Row> rows;
  for (auto it = mRows.lower_bound(std::max(aPrefix, aFirst));
       it != mRows.end() && it->first.starts_with(aPrefix) &&
       rows.size() < aLimit;
       ++it) {
    rows.push_back(it->second);
  }
  return rows;
}

store::TableRows
InMemoryStore::ReadTable(const std::string& aTable) const
{
  return ChangesAfter(aTable, 0);
}

store::TableRows
InMemoryStore::ChangesAfter(const std::string& aTable,
                            std::uint64_t aRevision) const
{
  store::TableRows news;
  news.revision = mRevision;
  const std::string prefix = aTable + "/";
  for (const auto& [key, row] : mRows) {
    if (key.starts_with(prefix) && row.revision > aRevision) {
      news.rows.push_back(row);
    }
  }
  for (const auto& [key, revision] : mRemovedRevisions) {
    if (key.starts_with(prefix) && aRevision > 0 && revision > aRevision) {
      news.rows.push_back({ key, "", 0 });
    }
  }
  return news;
}

std::vector<std::string>
InMemoryStore::Commit(const store::Transaction& aTransaction)
{
  std::vector<std::string> failedKeys;
  for (const auto& it : aTransaction.conditions) {
    const auto row = mRows.find(it.key);
    if ((row == mRows.end() ? 0 : row->second.revision) != it.revision) {
      failedKeys.push_back(it.key);
    }
  }
  if (!failedKeys.empty()) {
    return failedKeys;
  }
  for (const auto& it : aTransaction.writes) {
    ++mRevision;
    if (it.remove) {
      mRows.erase(it.key);
      mRemovedRevisions[it.key] = mRevision;
    } else {
      mRows[it.key] = Row{ it.key, it.value, mRevision };
      mRemovedRevisions.erase(it.key);
    }
  }
  return {};
}

void
InMemoryStore::RestoreFrom(const InMemoryStore& aCopy)
{
  const std::uint64_t history = mHistory + 1;
  *this = aCopy;
  mHistory = history;
}

const std::string*
InMemoryStore::GetObject(const std::string& aName) const
{
  const auto it = mObjects.find(aName);
  return it == mObjects.end() ? nullptr : &it->second;
}

} // namespace knapweedpaddle::standins
