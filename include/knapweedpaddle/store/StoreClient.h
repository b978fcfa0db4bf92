#pragma once

#include "knapweedpaddle/common/EnumNames.h"
#include "knapweedpaddle/common/Reason.h"
#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/** The platform's transactional table and object store. */
namespace knapweedpaddle::store {

enum class StoreError
{
  kConflict,       ///< a condition failed; nothing was written
  kNotFound,       ///< the object does not exist
  kHistoryGone,    ///< the changes asked for are no longer kept
  kNotSent,        ///< the store could not be reached; nothing was written
  kOutcomeUnknown, ///< no answer; a write may have taken effect
  kRefused,        ///< the store answered with an error; nothing was written
};

inline constexpr std::array<EnumName<StoreError>, 6> kStoreErrorNames{ {
  { StoreError::kConflict, "conflict" },
  { StoreError::kNotFound, "not_found" },
  { StoreError::kHistoryGone, "history_gone" },
  { StoreError::kNotSent, "not_sent" },
  { StoreError::kOutcomeUnknown, "outcome_unknown" },
  { StoreError::kRefused, "refused" },
} };

/** Why a call failed; conflictingKeys is set for kConflict. */
struct StoreReason : Reason<StoreError>
{
  std::vector<std::string> conflictingKeys;
};

/** A row; revision 0 stands for a row that does not exist. */
struct Row
{
  std::string key; ///< "table/name"
  std::string value;
  std::uint64_t revision = 0;
};

/** Holds when the row's present revision is the one given (0: absent). */
struct Condition
{
  std::string key;
  std::uint64_t revision = 0;
};

struct Write
{
  std::string key;
  std::string value;
  bool remove = false;
};

/** Writes that take effect together, and only if every condition holds. */
struct Transaction
{
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

/** Rows of one table with the store's revision as of which they were read. */
struct TableRows
{
  std::vector<Row> rows; ///< those removed have revision 0
  std::uint64_t revision = 0;
};

/**
 * The store as this system uses it. The part of a key before its first slash
 * names the row's table.
 *
 * Thread safety: control thread only. Callbacks run there, once each, and
 * never from inside the call that started them.
 */
class StoreClient
{
public:
  using RowsCallback =
    std::function<void(std::optional<std::vector<Row>>, const StoreReason&)>;
  using TableCallback =
    std::function<void(std::optional<TableRows>, const StoreReason&)>;
  using DoneCallback = std::function<void(bool, const StoreReason&)>;
  using ObjectCallback =
    std::function<void(std::optional<std::string>, const StoreReason&)>;

  virtual ~StoreClient() = default;

  /** Reads rows by key; absent ones come back with revision 0. */
  virtual void Read(std::vector<std::string> aKeys, RowsCallback aCallback) = 0;

  /** Reads up to aLimit existing rows with keys from aFirst, under aPrefix, in
   * order. */
  virtual void ReadRange(std::string aPrefix,
                         std::string aFirst,
                         std::size_t aLimit,
                         RowsCallback aCallback) = 0;

  /** Reads a whole table, and the revision to follow its changes from. */
  virtual void ReadTable(std::string aTable, TableCallback aCallback) = 0;

  /**
   * Waits for changes of a table after a revision; no rows when there were
   * none in time.
   */
  virtual void Follow(std::string aTable,
                      std::uint64_t aAfter,
                      Milliseconds aWait,
                      TableCallback aCallback) = 0;

  virtual void Commit(Transaction aTransaction, DoneCallback aCallback) = 0;

  virtual void PutObject(std::string aName,
                         std::string aBody,
                         DoneCallback aCallback) = 0;
  virtual void GetObject(std::string aName, ObjectCallback aCallback) = 0;
};

} // namespace knapweedpaddle::store
