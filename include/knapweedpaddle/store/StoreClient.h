#pragma once

#include "knapweedpaddle/common/EnumNames.h"
#include "knapweedpaddle/common/Reason.h"
#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/** Access to the platform's transactional tables and object store. */
namespace knapweedpaddle::store {

/** Why a store call failed, and whether it may have written anything. */
enum class StoreError
{
  kConflict,       ///< a condition did not hold; nothing was written
  kNotFound,       ///< the object does not exist
  kHistoryGone,    ///< the requested changes are no longer available
  kNotSent,        ///< the store could not be reached; nothing was written
  kOutcomeUnknown, ///< no answer arrived; a write may have taken effect
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

/** The error of a store call; conflictingKeys is set for kConflict only. */
struct StoreReason : Reason<StoreError>
{
  std::vector<std::string> conflictingKeys;
};

/** A row of a table; revision 0 means that the row does not exist. Revisions
 * are described in Revision.h. */
struct Row
{
  std::string key; ///< "table/name"
  std::string value;
  std::uint64_t revision = 0;
};

/** Holds if the row has this revision; 0 means that it must not exist. */
struct Condition
{
  std::string key;
  std::uint64_t revision = 0;
};

/** Sets the value of a row or removes the row. */
struct Write
{
  std::string key;
  std::string value;
  bool remove = false; ///< removes the row; value is ignored
};

/** Writes that take effect atomically, and only if every condition holds. */
struct Transaction
{
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

/** Rows of a table, and the store's revision at which they were read. */
struct TableRows
{
  std::vector<Row> rows; ///< removed rows have revision 0
  std::uint64_t revision = 0;
};

/**
 * Asynchronous client of the platform's store. The part of a row's key before
 * the first slash is the name of its table.
 *
 * Thread safety: control thread only. Each callback runs exactly once, on the
 * control thread, and never before the call that it was passed to returns.
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

  /** Reads rows by key; rows that do not exist are returned with revision 0. */
  virtual void Read(std::vector<std::string> aKeys, RowsCallback aCallback) = 0;

  /** Reads up to aLimit existing rows in key order, from aFirst on, whose keys
   * begin with aPrefix. */
  virtual void ReadRange(std::string aPrefix,
                         std::string aFirst,
                         std::size_t aLimit,
                         RowsCallback aCallback) = 0;

  /** Reads a whole table, and the revision to pass to Follow(). */
  virtual void ReadTable(std::string aTable, TableCallback aCallback) = 0;

  /**
   * Reads the rows of a table that changed after a revision; fails with
   * kHistoryGone if the store was restored since. If there are none
   * yet, waits up to aWait for one and returns no rows after that.
   */
  virtual void Follow(std::string aTable,
                      std::uint64_t aAfter,
                      Milliseconds aWait,
                      TableCallback aCallback) = 0;

  /** Commits a transaction; fails with kConflict if a condition doesn't hold.
   */
  virtual void Commit(Transaction aTransaction, DoneCallback aCallback) = 0;

  /** Writes an object and replaces any earlier one of that name. */
  virtual void PutObject(std::string aName,
                         std::string aBody,
                         DoneCallback aCallback) = 0;
  /** Reads an object; fails with kNotFound if it does not exist. */
  virtual void GetObject(std::string aName, ObjectCallback aCallback) = 0;
};

} // namespace knapweedpaddle::store
