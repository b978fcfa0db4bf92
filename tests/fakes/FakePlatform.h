#pragma once

#include "FakeClock.h"
#include "knapweedpaddle/store/Revision.h"
#include "knapweedpaddle/store/StoreClient.h"
#include "standins/InMemoryStore.h"

#include <map>
#include <memory>
#include <random>
#include <utility>

namespace knapweedpaddle::fakes {

/** How a request to the platform fails. */
enum class PlatformFault
{
  kNone,
  kDown,        ///< The platform refuses the request; nothing is written.
  kUnreachable, ///< Connecting fails; the client knows that nothing was sent.
  kLostAnswer,  ///< The request takes effect, but its answer is lost.
  kLateWrite,   ///< The request takes effect after the client timed out.
  kLostRequest, ///< The request is lost; the client times out.
  kSlow,        ///< The platform executes the request after half the timeout.
};

inline constexpr std::array<EnumName<PlatformFault>, 7> kPlatformFaultNames{ {
  { PlatformFault::kNone, "none" },
  { PlatformFault::kDown, "down" },
  { PlatformFault::kUnreachable, "unreached" },
  { PlatformFault::kLostAnswer, "answer lost after the write" },
  { PlatformFault::kLateWrite, "late write" },
  { PlatformFault::kLostRequest, "request lost" },
  { PlatformFault::kSlow, "slow" },
} };

/** The stored rows and objects that all clients share, with request counts. */
struct SharedPlatform
{
  standins::InMemoryStore table;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
};

/** One node's store client, whose requests fail as a fault plan says. */
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

  void SetFaultPlan(FaultPlan aPlan) { mPlan = std::move(aPlan); }

  /** Lets the requests that are pending time out, as when their connections go
   * silent. Later requests are not affected. */
  void SilencePendingRequests()
  {
    for (const auto& [id, request] : std::exchange(mPending, {})) {
      mClock.ScheduleAt(request.deadline,
                        [disconnected = mDisconnected, fail = request.fail] {
                          if (!*disconnected) {
                            fail();
                          }
                        });
    }
  }

  /** Drops all answers from now on, as when the process has ended. */
  void Disconnect() { *mDisconnected = true; }

  void Read(std::vector<std::string> aKeys, RowsCallback aCallback) override
  {
    Request<std::vector<store::Row>>(
      false,
      [this, keys = std::move(aKeys)](store::StoreReason&) {
        ++mShared.reads;
        return std::optional(WithHistory(mShared.table.Read(keys)));
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
        return std::optional(
          WithHistory(mShared.table.ReadRange(aPrefix, aFirst, aLimit)));
      },
      std::move(aCallback));
  }

  void ReadTable(std::string aTable, TableCallback aCallback) override
  {
    Request<store::TableRows>(
      false,
      [this, aTable](store::StoreReason&) {
        ++mShared.reads;
        return std::optional(WithHistory(mShared.table.ReadTable(aTable)));
      },
      std::move(aCallback));
  }

  void Follow(std::string aTable,
              std::uint64_t aAfter,
              Milliseconds aWait,
              TableCallback aCallback) override
  {
    FollowUntil(
      aTable,
      aAfter,
      aWait,
      Pending<store::TableRows>(aWait + kRequestTimeout, std::move(aCallback)));
  }

  void Commit(store::Transaction aTransaction, DoneCallback aCallback) override
  {
    Request<bool>(
      true,
      [this,
       transaction = std::move(aTransaction)](store::StoreReason& aReason) {
        ++mShared.writes;
        aReason.conflictingKeys = KeysOfEarlierHistories(transaction);
        if (aReason.conflictingKeys.empty()) {
          aReason.conflictingKeys = mShared.table.Commit(Stripped(transaction));
        }
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
  static constexpr Milliseconds kRequestTimeout{ 1000 };
  static constexpr Milliseconds kLateWriteDelay{ 700 };

  struct PendingRequest
  {
    Timestamp deadline; ///< when the client gives up
    std::function<void()> fail;
  };

  /** Returns a callback that runs unless the request was silenced meanwhile. */
  template<typename T, typename Callback>
  std::function<void(std::optional<T>, const store::StoreReason&)> Pending(
    Milliseconds aTimeout,
    Callback aCallback)
  {
    const std::uint64_t id = ++mLastRequest;
    mPending[id] = { mClock.Now() + aTimeout, [aCallback] {
                      store::StoreReason reason;
                      reason.Set(store::StoreError::kOutcomeUnknown,
                                 "the connection is silent");
                      aCallback(std::nullopt, reason);
                    } };
    return [this, id, aCallback](std::optional<T> aResult,
                                 const store::StoreReason& aReason) {
      if (mPending.erase(id) > 0) {
        aCallback(std::move(aResult), aReason);
      }
    };
  }

  /** Polls the table until it changes or the wait ends. */
  void FollowUntil(const std::string& aTable,
                   std::uint64_t aAfter,
                   Milliseconds aWait,
                   TableCallback aCallback)
  {
    static constexpr Milliseconds kPollInterval{ 20 };
    const std::uint64_t after = store::VersionInHistory(aAfter);
    if (aWait > Milliseconds(0) && after <= mShared.table.Revision() &&
        mShared.table.ChangesAfter(aTable, after).rows.empty()) {
      mClock.ScheduleAt(
        mClock.Now() + kPollInterval,
        [this,
         disconnected = mDisconnected,
         history = mShared.table.History(),
         aTable,
         aAfter,
         aWait,
         aCallback] {
          if (*disconnected) {
            return;
          }
          if (history != mShared.table.History()) {
            store::StoreReason reason;
            reason.Set(store::StoreError::kOutcomeUnknown, "store restored");
            aCallback(std::nullopt, reason);
            return;
          }
          FollowUntil(aTable, aAfter, aWait - kPollInterval, aCallback);
        });
      return;
    }
    Request<store::TableRows>(
      false,
      [this, aTable, aAfter, after](
        store::StoreReason& aReason) -> std::optional<store::TableRows> {
        ++mShared.reads;
        if (after > mShared.table.Revision() ||
            store::HistoryOf(aAfter) != mShared.table.History()) {
          aReason.Set(store::StoreError::kHistoryGone, "unknown revision");
          return std::nullopt;
        }
        return WithHistory(mShared.table.ChangesAfter(aTable, after));
      },
      std::move(aCallback));
  }

  /** Adds the store's history to the revisions of rows. */
  std::vector<store::Row> WithHistory(std::vector<store::Row> aRows) const
  {
    for (auto& it : aRows) {
      if (it.revision != 0) {
        it.revision = store::MakeRevision(mShared.table.History(), it.revision);
      }
    }
    return aRows;
  }

  store::TableRows WithHistory(store::TableRows aTable) const
  {
    return { WithHistory(std::move(aTable.rows)),
             store::MakeRevision(mShared.table.History(), aTable.revision) };
  }

  std::vector<std::string> KeysOfEarlierHistories(
    const store::Transaction& aTransaction) const
  {
    std::vector<std::string> keys;
    for (const auto& it : aTransaction.conditions) {
      if (it.revision != 0 &&
          store::HistoryOf(it.revision) != mShared.table.History()) {
        keys.push_back(it.key);
      }
    }
    return keys;
  }

  /** Returns the transaction with versions in place of revisions. */
  static store::Transaction Stripped(store::Transaction aTransaction)
  {
    for (auto& it : aTransaction.conditions) {
      it.revision = store::VersionInHistory(it.revision);
    }
    return aTransaction;
  }

  Milliseconds Latency()
  {
    return Milliseconds(1 + static_cast<std::int64_t>(mRandom() % 8));
  }

  /**
   * Runs an operation on the shared data and answers with its result, subject
   * to the fault that the plan chooses.
   */
  template<typename T, typename Operation, typename Callback>
  void Request(bool aIsWrite, Operation aOperation, Callback aCallback)
  {
    const PlatformFault fault = mPlan ? mPlan(aIsWrite) : PlatformFault::kNone;
    const Timestamp now = mClock.Now();
    const auto callback = Pending<T>(kRequestTimeout, std::move(aCallback));
    const auto answer =
      [this, disconnected = mDisconnected, callback](
        Timestamp aWhen, std::optional<T> aResult, store::StoreReason aReason) {
        mClock.ScheduleAt(aWhen, [disconnected, callback, aResult, aReason] {
          if (!*disconnected) {
            callback(aResult, aReason);
          }
        });
      };
    const auto fail = [&](Milliseconds aDelay, store::StoreError aCode) {
      store::StoreReason reason;
      reason.Set(aCode, "fake platform");
      answer(now + aDelay, std::nullopt, reason);
    };
    const auto executeAt = [&](Milliseconds aDelay, bool aSendsAnswer) {
      mClock.ScheduleAt(now + aDelay, [this, aOperation, answer, aSendsAnswer] {
        store::StoreReason reason;
        auto result = aOperation(reason);
        if (aSendsAnswer) {
          answer(mClock.Now() + Latency(), std::move(result), reason);
        }
      });
    };
    switch (fault) {
      case PlatformFault::kNone:
        executeAt(Latency(), true);
        return;
      case PlatformFault::kSlow:
        executeAt(kRequestTimeout / 2, true);
        return;
      case PlatformFault::kDown:
        fail(Latency(), store::StoreError::kRefused);
        return;
      case PlatformFault::kUnreachable:
        fail(Latency(), store::StoreError::kNotSent);
        return;
      case PlatformFault::kLostRequest:
        fail(kRequestTimeout, store::StoreError::kOutcomeUnknown);
        return;
      case PlatformFault::kLostAnswer:
        executeAt(Latency(), false);
        fail(kRequestTimeout, store::StoreError::kOutcomeUnknown);
        return;
      case PlatformFault::kLateWrite:
        executeAt(kRequestTimeout + kLateWriteDelay, false);
        fail(kRequestTimeout, store::StoreError::kOutcomeUnknown);
        return;
    }
  }

  FakeClock& mClock;
  SharedPlatform& mShared;
  std::mt19937_64 mRandom;
  FaultPlan mPlan;
  std::uint64_t mLastRequest = 0;
  std::map<std::uint64_t, PendingRequest> mPending;
  std::shared_ptr<bool> mDisconnected = std::make_shared<bool>(false);
};

} // namespace knapweedpaddle::fakes
