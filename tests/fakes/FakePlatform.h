#pragma once

#include "FakeClock.h"
#include "knapweedpaddle/store/StoreClient.h"
#include "standins/InMemoryStore.h"

#include <memory>
#include <random>

namespace knapweedpaddle::fakes {

/** What happens to a request to the platform. */
enum class PlatformFault
{
  kNone,
  kDown,        ///< refused at once; nothing is written
  kUnreached,   ///< never arrives, and the client knows
  kLostAnswer,  ///< takes effect; the client never hears
  kLateWrite,   ///< takes effect only after the client gave up
  kLostRequest, ///< never arrives; the client can't tell
  kSlow,        ///< answers after half the timeout
};

inline constexpr std::array<EnumName<PlatformFault>, 7> kPlatformFaultNames{ {
  { PlatformFault::kNone, "none" },
  { PlatformFault::kDown, "down" },
  { PlatformFault::kUnreached, "unreached" },
  { PlatformFault::kLostAnswer, "answer lost after the write" },
  { PlatformFault::kLateWrite, "late write" },
  { PlatformFault::kLostRequest, "request lost" },
  { PlatformFault::kSlow, "slow" },
} };

/** The table and objects that all clients share, with counts of what was asked.
 */
struct SharedPlatform
{
  standins::InMemoryStore table;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
};

/** One node's client of the shared platform. */
class FakePlatform : public store::StoreClient
{
public:
  /** Chooses the fault of each request. */
  using FaultPlan = std::function<PlatformFault(bool aIsWrite)>;

  FakePlatform(FakeClock& aClock, SharedPlatform& aShared, std::uint64_t aSeed)
    : mClock(aClock)
    , mShared(aShared)
    , mRandom(aSeed)
  {
  }

  void SetPlan(FaultPlan aPlan) { mPlan = std::move(aPlan); }

  /** Answers of a node that died are dropped. */
  void Kill() { *mDead = true; }

  void Read(std::vector<std::string> aKeys, RowsCallback aCallback) override
  {
    Request<std::vector<store::Row>>(
      false,
      [this, keys = std::move(aKeys)](store::StoreReason&) {
        ++mShared.reads;
        return std::optional(mShared.table.Read(keys));
      },
      std::move(aCallback));
  }

  void ReadRange(std::string aPrefix,
                 std::string aFirst,
                 std::size_t aLimit,
                 RowsCallback aCallback) override
  {
    Request<std::vector<store::Row>>(
      false,
      [this, aPrefix, aFirst, aLimit](store::StoreReason&) {
        ++mShared.reads;
        return std::optional(mShared.table.ReadRange(aPrefix, aFirst, aLimit));
      },
      std::move(aCallback));
  }

  void ReadTable(std::string aTable, NewsCallback aCallback) override
  {
    Request<store::TableNews>(
      false,
      [this, aTable](store::StoreReason&) {
        ++mShared.reads;
        return std::optional(mShared.table.ReadTable(aTable));
      },
      std::move(aCallback));
  }

  void Follow(std::string aTable,
              std::uint64_t aAfter,
              Milliseconds aWait,
              NewsCallback aCallback) override
  {
    static constexpr Milliseconds kStep{ 20 };
    if (aWait > Milliseconds(0) &&
        mShared.table.ChangesAfter(aTable, aAfter).rows.empty()) {
      mClock.At(mClock.Now() + kStep,
                [this, dead = mDead, aTable, aAfter, aWait, aCallback] {
                  if (!*dead) {
                    Follow(aTable, aAfter, aWait - kStep, aCallback);
                  }
                });
      return;
    }
    Request<store::TableNews>(
      false,
      [this, aTable, aAfter](store::StoreReason&) {
        ++mShared.reads;
        return std::optional(mShared.table.ChangesAfter(aTable, aAfter));
      },
      std::move(aCallback));
  }

  void Commit(store::Transaction aTransaction, DoneCallback aCallback) override
  {
    Request<bool>(
      true,
      [this,
       transaction = std::move(aTransaction)](store::StoreReason& aReason) {
        ++mShared.writes;
        aReason.conflictingKeys = mShared.table.Commit(transaction);
        if (aReason.conflictingKeys.empty()) {
          return std::optional(true);
        }
        aReason.code = store::StoreError::kConflict;
        return std::optional<bool>();
      },
      [callback = std::move(aCallback)](std::optional<bool> aDone,
                                        const store::StoreReason& aReason) {
        callback(aDone.has_value(), aReason);
      });
  }

  void PutObject(std::string aName,
                 std::string aBody,
                 DoneCallback aCallback) override
  {
    Request<bool>(
      true,
      [this, aName, aBody](store::StoreReason&) {
        ++mShared.writes;
        mShared.table.PutObject(aName, aBody);
        return std::optional(true);
      },
      [callback = std::move(aCallback)](std::optional<bool> aDone,
                                        const store::StoreReason& aReason) {
        callback(aDone.has_value(), aReason);
      });
  }

  void GetObject(std::string aName, ObjectCallback aCallback) override
  {
    Request<std::string>(
      false,
      [this, aName](store::StoreReason& aReason) {
        ++mShared.reads;
        const std::string* body = mShared.table.GetObject(aName);
        aReason.code = store::StoreError::kNotFound;
        return body ? std::optional(*body) : std::nullopt;
      },
      std::move(aCallback));
  }

private:
  static constexpr Milliseconds kTimeout{ 1000 };
  static constexpr Milliseconds kLateBy{ 700 };

  Milliseconds Latency()
  {
    return Milliseconds(1 + static_cast<std::int64_t>(mRandom() % 8));
  }

  template<typename T, typename Work, typename Callback>
  void Request(bool aIsWrite, Work aWork, Callback aCallback)
  {
    const PlatformFault fault = mPlan ? mPlan(aIsWrite) : PlatformFault::kNone;
    const Timestamp now = mClock.Now();
    const auto answer =
      [this, dead = mDead, aCallback](
        Timestamp aWhen, std::optional<T> aResult, store::StoreReason aReason) {
        mClock.At(aWhen, [dead, aCallback, aResult, aReason] {
          if (!*dead) {
            aCallback(aResult, aReason);
          }
        });
      };
    const auto fail = [&](Milliseconds aDelay, store::StoreError aCode) {
      store::StoreReason reason;
      reason.Set(aCode, "fake platform");
      answer(now + aDelay, std::nullopt, reason);
    };
    const auto workAt = [&](Milliseconds aDelay, bool aAnswers) {
      mClock.At(now + aDelay, [this, aWork, answer, aAnswers] {
        store::StoreReason reason;
        auto result = aWork(reason);
        if (aAnswers) {
          answer(mClock.Now() + Latency(), std::move(result), reason);
        }
      });
    };
    switch (fault) {
      case PlatformFault::kNone:
        workAt(Latency(), true);
        return;
      case PlatformFault::kSlow:
        workAt(kTimeout / 2, true);
        return;
      case PlatformFault::kDown:
        fail(Latency(), store::StoreError::kRefused);
        return;
      case PlatformFault::kUnreached:
        fail(Latency(), store::StoreError::kNotSent);
        return;
      case PlatformFault::kLostRequest:
        fail(kTimeout, store::StoreError::kOutcomeUnknown);
        return;
      case PlatformFault::kLostAnswer:
        workAt(Latency(), false);
        fail(kTimeout, store::StoreError::kOutcomeUnknown);
        return;
      case PlatformFault::kLateWrite:
        workAt(kTimeout + kLateBy, false);
        fail(kTimeout, store::StoreError::kOutcomeUnknown);
        return;
    }
  }

  FakeClock& mClock;
  SharedPlatform& mShared;
  std::mt19937_64 mRandom;
  FaultPlan mPlan;
  std::shared_ptr<bool> mDead = std::make_shared<bool>(false);
};

} // namespace knapweedpaddle::fakes
