#pragma once

#include "knapweedpaddle/common/EnumNames.h"
#include "knapweedpaddle/common/Reason.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/** The platform's transactional table and object store. */
namespace knapweedpaddle::platform {

enum class PlatformError
{
  kConflict,       ///< a condition failed; nothing was written
  kNotFound,       ///< the object does not exist
  kNotSent,        ///< the platform could not be reached; nothing was written
  kOutcomeUnknown, ///< no answer; a write may have taken effect
  kRefused,        ///< the platform answered with an error; nothing was written
};

inline constexpr std::array<EnumName<PlatformError>, 5> kPlatformErrorNames{ {
  { PlatformError::kConflict, "conflict" },
  { PlatformError::kNotFound, "not_found" },
  { PlatformError::kNotSent, "not_sent" },
  { PlatformError::kOutcomeUnknown, "outcome_unknown" },
  { PlatformError::kRefused, "refused" },
} };

/** Why a platform call failed; conflictingKeys is set for kConflict. */
struct PlatformReason : Reason<PlatformError>
{
  std::vector<std::string> conflictingKeys;
};

/** A row; revision 0 stands for a row that does not exist. */
struct Row
{
  std::string key;
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

/**
 * The platform as this system uses it.
 *
 * Thread safety: control thread only. Callbacks run there, once each, and
 * never from inside the call that started them.
 */
class PlatformClient
{
public:
  using RowsCallback =
    std::function<void(std::optional<std::vector<Row>>, const PlatformReason&)>;
  using DoneCallback = std::function<void(bool, const PlatformReason&)>;
  using ObjectCallback =
    std::function<void(std::optional<std::string>, const PlatformReason&)>;

  virtual ~PlatformClient() = default;

  /** Reads rows by key; absent ones come back with revision 0. */
  virtual void Read(std::vector<std::string> aKeys, RowsCallback aCallback) = 0;

  /** Reads up to aLimit existing rows with keys from aFirst, under aPrefix, in
   * order. */
  virtual void ReadRange(std::string aPrefix,
                         std::string aFirst,
                         std::size_t aLimit,
                         RowsCallback aCallback) = 0;

  virtual void Commit(Transaction aTransaction, DoneCallback aCallback) = 0;

  virtual void PutObject(std::string aName,
                         std::string aBody,
                         DoneCallback aCallback) = 0;
  virtual void GetObject(std::string aName, ObjectCallback aCallback) = 0;
};

} // namespace knapweedpaddle::platform
