#include "knapweedpaddle/callers/HeldCalls.h"

#include <utility>

namespace knapweedpaddle::callers {

namespace {

constexpr std::size_t kMaxHeldCalls = 512; ///< limits the memory used

} // namespace

HeldCalls::~HeldCalls()
{
  TakeAll();
}

HeldCalls::HoldId
HeldCalls::Hold(Milliseconds aMaxWait, Task aResume, Task aReject)
{
  if (mEntries.size() >= kMaxHeldCalls) {
    return 0;
  }
  const HoldId id = ++mLastId;
  Entry& held = mEntries[id];
  held.resume = std::move(aResume);
  held.reject = std::move(aReject);
  held.timer = mScheduler.RunAfter(aMaxWait, [this, id] {
    const auto node = mEntries.extract(id);
    node.mapped().reject();
  });
  return id;
}

void
HeldCalls::Remove(HoldId aId)
{
  if (const auto node = mEntries.extract(aId)) {
    mScheduler.Cancel(node.mapped().timer);
  }
}

void
HeldCalls::ResumeAll()
{
  for (const auto& [id, held] : TakeAll()) {
    held.resume();
  }
}

void
HeldCalls::RejectAll()
{
  for (const auto& [id, held] : TakeAll()) {
    held.reject();
  }
}

std::map<HeldCalls::HoldId, HeldCalls::Entry>
HeldCalls::TakeAll()
{
  for (const auto& [id, held] : mEntries) {
    mScheduler.Cancel(held.timer);
  }
  return std::exchange(mEntries, {});
}

} // namespace knapweedpaddle::callers
