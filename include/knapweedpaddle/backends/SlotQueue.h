#pragma once

#include "knapweedpaddle/backends/AdmissionFairness.h"
#include "knapweedpaddle/common/Time.h"
#include "knapweedpaddle/config/Entry.h"

#include <deque>
#include <functional>
#include <optional>

/** The node's own backend server: its slots, health and calls. */
namespace knapweedpaddle::backends {

enum class SlotRefusal
{
  kQueueFull,
  kDeadlineTooNear, ///< the wait would outlast the deadline
  kWaitTooLong,     ///< the answer would come after its target time
  kDraining,
};

inline constexpr std::array<EnumName<SlotRefusal>, 4> kSlotRefusalNames{ {
  { SlotRefusal::kQueueFull, "queue_full" },
  { SlotRefusal::kDeadlineTooNear, "deadline_too_near" },
  { SlotRefusal::kWaitTooLong, "wait_too_long" },
  { SlotRefusal::kDraining, "draining" },
} };

/** A call that wants a slot. */
struct SlotRequest
{
  std::uint64_t id = 0; ///< unique among the calls present
  config::CallClass callClass = config::CallClass::kIdempotent;
  Timestamp deadline;
  std::uint32_t priority = 0;      ///< 0 is the most urgent
  Milliseconds targetLatency{ 0 }; ///< in which an answer is wanted; 0: none
  /** When that time ends, counted from the caller's first try; nothing: target
   * from now. */
  Timestamp targetDeadline{};
  std::string route;
  double serviceMs = 0; ///< expected time at the backend server
  Timestamp giveUpAt{}; ///< set by the queue for a call that will be late
};

/**
 * Admits calls to the backend server's slots. Some slots are kept for calls of
 * class check, which also wait before all others; the others wait by target
 * time. A call is refused at once when the wait that the recent service time
 * suggests would outlast its deadline, or most of what is left of its target
 * time. Calls that will miss their target anyway wait behind those that can
 * still meet it, and not for long: in overload a slot is worth most to a call
 * that is answered on time.
 *
 * Thread safety: the traffic thread only.
 */
class SlotQueue
{
public:
  /** Called when a queued call got a slot, or can't get one any more. */
  using SlotCallback =
    std::function<void(std::uint64_t aId, std::optional<SlotRefusal>)>;

  SlotQueue(std::uint32_t aCheckSlots, SlotCallback aGranted);

  /**
   * Sets the number of slots; 0 while no backend server is known, which also
   * refuses what waits.
   */
  void SetSlots(std::uint32_t aSlots);

  enum class Admission
  {
    kSlotGranted, ///< the call has a slot now
    kQueued,      ///< the callback tells
  };

  /** @return nothing, with the reason in aRefusal, when the call is refused. */
  std::optional<Admission> Request(const SlotRequest& aRequest,
                                   Timestamp aNow,
                                   SlotRefusal& aRefusal);

  /**
   * Gives a slot of a call of a class back and grants it to the next call.
   *
   * @param aServiceTime  nothing for a call that the server did not end.
   */
  void Release(config::CallClass aClass,
               std::optional<Milliseconds> aServiceTime,
               Timestamp aNow);

  /** Forgets a queued call; true when it was queued. */
  bool Cancel(std::uint64_t aId);

  /** Refuses queued calls whose deadline passed. */
  void Expire(Timestamp aNow);

  /** Refuses all new and queued calls from now on. */
  void Drain();

  std::uint32_t Busy() const { return mBusyChecks + mBusyRegular; }
  std::uint32_t Slots() const { return mSlots; }
  /** Returns the moving average of a call's time at the backend server. */
  double ServiceMs() const { return mServiceMs; }
  std::size_t Queued() const
  {
    return mQueuedChecks.size() + mQueuedRegular.size() + mQueuedLate.size();
  }

private:
  bool HasSlotFor(config::CallClass aClass) const;
  std::uint32_t& BusyOf(config::CallClass aClass);
  Milliseconds ExpectedWait(const SlotRequest& aRequest, bool aLate) const;
  Milliseconds MaxWait(const SlotRequest& aRequest,
                       bool aLate,
                       Timestamp aNow) const;
  std::optional<SlotRefusal> RefusalFor(const SlotRequest& aRequest,
                                        bool aLate,
                                        Timestamp aNow) const;
  std::deque<SlotRequest>::const_iterator InsertPosition(
    const SlotRequest& aRequest) const;
  using RequestQueue = std::deque<SlotRequest>;

  std::array<RequestQueue*, 3> Queues()
  {
    return { &mQueuedChecks, &mQueuedRegular, &mQueuedLate };
  }
  void RefuseQueued();
  void QueueLate(SlotRequest aRequest, Timestamp aNow);
  void MoveLateCalls(Timestamp aNow);
  void GrantNext(Timestamp aNow);

  std::uint32_t mCheckSlots;
  AdmissionFairness mFairness;
  SlotCallback mCallback;
  std::uint32_t mSlots = 0;
  std::uint32_t mBusyChecks = 0;
  std::uint32_t mBusyRegular = 0;
  double mServiceMs = 0;     ///< moving average
  double mAveragedCalls = 0; ///< calls in it, up to its span
  bool mDraining = false;
  std::deque<SlotRequest> mQueuedChecks;
  std::deque<SlotRequest> mQueuedRegular; ///< by targetDeadline
  std::deque<SlotRequest>
    mQueuedLate; ///< will miss their target; the oldest first
};

} // namespace knapweedpaddle::backends
