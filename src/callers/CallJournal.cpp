#include "knapweedpaddle/callers/CallJournal.h"

#include <algorithm>

namespace knapweedpaddle::callers {

CallJournal::CallJournal(std::size_t aLimit)
  : mLimit(aLimit)
{
}

void
CallJournal::Add(CallRecord aRecord)
{
  const std::scoped_lock lock(mMutex);
  mRecords.push_back(std::move(aRecord));
  if (mRecords.size() > mLimit) {
    mRecords.pop_front();
  }
}

std::optional<CallRecord>
CallJournal::Find(const std::string& aCallId) const
{
  const std::scoped_lock lock(mMutex);
  const auto it = std::ranges::find(mRecords, aCallId, &CallRecord::callId);
  if (it == mRecords.end()) {
    return std::nullopt;
  }
  return *it;
}

} // namespace knapweedpaddle::callers
