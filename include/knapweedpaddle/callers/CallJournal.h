#pragma once

#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace knapweedpaddle::callers {

/** Steps and outcome of one call. */
struct CallRecord
{
  std::string callId;   ///< the node's id of the call
  std::string callerId; ///< the caller's id of the call, or empty
  std::string path;
  std::string outcome;
  std::vector<std::string> steps;
};

/**
 * Keeps the records of the latest unanswered calls for `knapweed explain`.
 *
 * Thread safety: any thread.
 */
class CallJournal
{
public:
  /** @param aLimit  maximum number of records; the oldest are dropped first. */
  explicit CallJournal(std::size_t aLimit);

  void Add(CallRecord aRecord);
  /** Finds a record by the node's id of the call. */
  std::optional<CallRecord> Find(const std::string& aCallId) const;

private:
  std::size_t mLimit;
  mutable std::mutex mMutex;
  std::deque<CallRecord> mRecords;
};

} // namespace knapweedpaddle::callers
