#pragma once

#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace knapweedpaddle::callers {

/** What happened to one call, step by step. */
struct CallRecord
{
  std::string callId;
  std::string callerId; ///< the caller's own id of the call, or empty
  std::string path;
  std::string outcome;
  std::vector<std::string> steps;
};

/**
 * Remembers the latest calls that brought no answer, for `knapweed explain`.
 *
 * Thread safety: any thread.
 */
class CallJournal
{
public:
  /** @param aLimit  number of calls kept. */
  explicit CallJournal(std::size_t aLimit);

  void Add(CallRecord aRecord);
  std::optional<CallRecord> Find(const std::string& aCallId) const;

private:
  std::size_t mLimit;
  mutable std::mutex mMutex;
  std::deque<CallRecord> mRecords;
};

} // namespace knapweedpaddle::callers
