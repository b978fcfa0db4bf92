#include "knapweedpaddle/callers/HeldCalls.h"

#include <utility>

namespace knapweedpaddle::callers {

namespace {

constexpr std::size_t kMostHeld = 512; ///< bounds their memory

} // namespace

HeldCalls::~HeldCalls()
{
  TakeAll();
}

HeldCalls::HoldId
HeldCalls::Hold(Milliseconds aLongest, Task aGoOn, Task aGiveUp)
{
  if (mHeld.size() >= kMostHeld) {
    return 0;
  }
  const HoldId id = ++mLastId;
  Held& held = mHeld[id];
  held.goOn = std::move(aGoOn);
  held.giveUp = std::move(aGiveUp);
  held.timer = mScheduler.RunAfter(aLongest, [this, id] {
    const auto node = mHeld.extract(id);
    node.mapped().giveUp();
  });
  return id;
}

void
HeldCalls::Forget(HoldId aId)
{
  if (const auto node = mHeld.extract(aId)) {
    mScheduler.Cancel(node.mapped().timer);
  }
}

void
HeldCalls::GoOn()
{
  for (const auto& [id, held] : TakeAll()) {
    held.goOn();
  }
}

void
HeldCalls::GiveUp()
{
  for (const auto& [id, held] : TakeAll()) {
    held.giveUp();
  }
}

std::map<HeldCalls::HoldId, HeldCalls::Held>
HeldCalls::TakeAll()
{
  for (const auto& [id, held] : mHeld) {
    mScheduler.Cancel(held.timer);
  }
  return std::exchange(mHeld, {});
}

} // namespace knapweedpaddle::callers
