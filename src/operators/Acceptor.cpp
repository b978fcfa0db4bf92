#include "knapweedpaddle/operators/Acceptor.h"

#include "knapweedpaddle/store/CatalogueRows.h"

namespace knapweedpaddle::operators {

using config::Change;
using config::ChangeRequest;
using config::EntryId;
using config::Snapshot;
using store::Row;
using store::StoreError;
using store::StoreReason;

namespace {

constexpr std::uint32_t kMaxAttempts = 8;
constexpr std::uint64_t kSnapshotEvery =
  50; ///< versions between whole snapshots
constexpr std::uint64_t kChangesKept =
  1000; ///< change rows behind the newest snapshot

std::string
OwnerOf(const Snapshot& aSnapshot, const EntryId& aId)
{
  const config::Entry* entry = aSnapshot.Find(aId);
  return entry ? config::HeaderOf(*entry).owner : std::string();
}

std::uint64_t
RevisionOf(const Snapshot& aSnapshot, const EntryId& aId)
{
  const config::Entry* entry = aSnapshot.Find(aId);
  return entry ? config::HeaderOf(*entry).revision : 0;
}

} // namespace

/** One request on its way through the platform. */
struct Acceptor::Attempt
{
  ChangeRequest request;
  std::string owner;
  Callback callback;
  std::uint32_t attempts = 0;
  std::uint64_t headRevision =
    0; ///< of the head row that the commit depends on
  Change change;
  bool mayHaveWritten = false; ///< a commit brought no answer
};

Acceptor::Acceptor(store::StoreClient& aPlatform,
                   config::ConfigStore& aStore,
                   store::CatalogueReader& aReader,
                   std::function<void()> aChanged)
  : mPlatform(aPlatform)
  , mStore(aStore)
  , mReader(aReader)
  , mChanged(std::move(aChanged))
{
}

void
Acceptor::Accept(ChangeRequest aRequest, std::string aOwner, Callback aCallback)
{
  auto attempt = std::make_shared<Attempt>();
  attempt->request = std::move(aRequest);
  attempt->owner = std::move(aOwner);
  attempt->callback = std::move(aCallback);
  Begin(attempt);
}

void
Acceptor::Begin(const AttemptPtr& aAttempt)
{
  if (++aAttempt->attempts > kMaxAttempts) {
    Finish(aAttempt,
           aAttempt->mayHaveWritten ? AcceptOutcome::kUnknown
                                    : AcceptOutcome::kConflict,
           "too many other changes were accepted meanwhile");
    return;
  }
  mPlatform.Read(
    { store::OperationKey(aAttempt->request.operationId), store::kHeadKey },
    [this, aAttempt](const std::optional<std::vector<Row>>& aRows,
                     const StoreReason& aReason) {
      if (!aRows || aRows->size() != 2) {
        Finish(aAttempt,
               aAttempt->mayHaveWritten ? AcceptOutcome::kUnknown
                                        : AcceptOutcome::kUnavailable,
               aReason.message);
        return;
      }
      const Row& operation = (*aRows)[0];
      const Row& head = (*aRows)[1];
      if (operation.revision != 0) {
        aAttempt->change.version = store::VersionOf(operation).value_or(0);
        OnAccepted(aAttempt);
        return;
      }
      aAttempt->headRevision = head.revision;
      const std::uint64_t version = store::VersionOf(head).value_or(0);
      aAttempt->change.version = version + 1;
      mReader.CatchUp(version, [this, aAttempt, version](bool aReached) {
        if (!aReached) {
          Finish(aAttempt,
                 aAttempt->mayHaveWritten ? AcceptOutcome::kUnknown
                                          : AcceptOutcome::kUnavailable,
                 "version " + std::to_string(version) +
                   " can't be read from the platform");
          return;
        }
        Prepare(aAttempt);
      });
    });
}

void
Acceptor::Prepare(const AttemptPtr& aAttempt)
{
  if (mStore.Version() + 1 != aAttempt->change.version) {
    Begin(aAttempt); // A newer version arrived meanwhile.
    return;
  }
  const config::SnapshotPtr base = mStore.Current();
  if (!CheckEntries(*aAttempt, *base)) {
    return;
  }
  Change& change = aAttempt->change;
  change.operationId = aAttempt->request.operationId;
  change.upserts = aAttempt->request.upserts;
  for (auto& it : change.upserts) {
    config::HeaderOf(it).revision = change.version;
  }
  change.removals.clear();
  for (const auto& it : aAttempt->request.removals) {
    change.removals.push_back(it.id);
  }
  const Snapshot candidate = config::ApplyChange(*base, change);
  config::ConfigReason reason;
  if (!config::Validate(candidate, reason)) {
    Finish(aAttempt, AcceptOutcome::kRefused, reason.message);
    return;
  }
  change.digest = candidate.Digest();
  Commit(aAttempt);
}

bool
Acceptor::CheckEntries(Attempt& aAttempt, const Snapshot& aBase)
{
  const auto finish = [&aAttempt](AcceptOutcome aOutcome,
                                  std::string aMessage) {
    aAttempt.callback(AcceptResult{ aOutcome, 0, std::move(aMessage) });
    return false;
  };
  const auto check =
    [&](const EntryId& aId, std::uint64_t aSeen, const std::string& aNewOwner) {
      const std::string owner = OwnerOf(aBase, aId);
      const bool isSystem = aAttempt.owner == kSystemOwner;
      if (!isSystem && ((!owner.empty() && owner != aAttempt.owner) ||
                        aNewOwner != aAttempt.owner)) {
        return finish(AcceptOutcome::kForbidden,
                      aId.ToString() + " belongs to owner \"" +
                        (owner.empty() ? aNewOwner : owner) + "\", not to \"" +
                        aAttempt.owner + "\"");
      }
      if (const std::uint64_t revision = RevisionOf(aBase, aId);
          revision != aSeen) {
        return finish(AcceptOutcome::kConflict,
                      aId.ToString() + " is at revision " +
                        std::to_string(revision) + ", not at revision " +
                        std::to_string(aSeen) + " as the request says");
      }
      return true;
    };
  for (const auto& it : aAttempt.request.upserts) {
    const auto& header = config::HeaderOf(it);
    if (!check(config::IdOf(it), header.revision, header.owner)) {
      return false;
    }
  }
  for (const auto& it : aAttempt.request.removals) {
    if (!aBase.Find(it.id)) {
      return finish(AcceptOutcome::kRefused,
                    it.id.ToString() + " does not exist");
    }
    if (!check(it.id, it.revision, OwnerOf(aBase, it.id))) {
      return false;
    }
  }
  return true;
}

void
Acceptor::Commit(const AttemptPtr& aAttempt)
{
  const Change& change = aAttempt->change;
  const std::string operationKey = store::OperationKey(change.operationId);
  const std::string version = std::to_string(change.version);
  store::Transaction transaction;
  transaction.conditions = { { store::kHeadKey, aAttempt->headRevision },
                             { operationKey, 0 } };
  transaction.writes = {
    { store::kHeadKey, version, false },
    { store::ChangeKey(change.version), EncodeChange(change), false },
    { operationKey, version, false }
  };
  mPlatform.Commit(std::move(transaction),
                   [this, aAttempt](bool aDone, const StoreReason& aReason) {
                     if (aDone) {
                       OnAccepted(aAttempt);
                       return;
                     }
                     switch (aReason.code) {
                       case StoreError::kOutcomeUnknown:
                         aAttempt->mayHaveWritten = true;
                         Begin(aAttempt);
                         return;
                       case StoreError::kConflict:
                         Begin(aAttempt);
                         return;
                       default:
                         Finish(aAttempt,
                                aAttempt->mayHaveWritten
                                  ? AcceptOutcome::kUnknown
                                  : AcceptOutcome::kUnavailable,
                                aReason.message);
                     }
                   });
}

void
Acceptor::OnAccepted(const AttemptPtr& aAttempt)
{
  const std::uint64_t version = aAttempt->change.version;
  config::ConfigReason reason;
  if (mStore.Version() + 1 == version && !aAttempt->change.digest.empty() &&
      mStore.Apply(aAttempt->change, reason)) {
    mChanged();
  }
  if (version % kSnapshotEvery == 0 && mStore.Version() == version) {
    KeepSnapshot();
  }
  aAttempt->callback(AcceptResult{ AcceptOutcome::kAccepted, version, "" });
}

void
Acceptor::KeepSnapshot()
{
  const config::SnapshotPtr snapshot = mStore.Current();
  const std::uint64_t version = snapshot->version;
  const auto onPut = [this, version](bool aDone, const StoreReason&) {
    if (!aDone) {
      return;
    }
    store::Transaction transaction;
    transaction.writes.push_back(
      { store::kSnapshotKey, std::to_string(version), false });
    if (version > kChangesKept) {
      for (std::uint64_t n = 0; n < kSnapshotEvery; ++n) {
        transaction.writes.push_back(
          { store::ChangeKey(version - kChangesKept - n), "", true });
      }
    }
    mPlatform.Commit(std::move(transaction), [](bool, const StoreReason&) {});
  };
  mPlatform.PutObject(
    store::SnapshotObjectName(version), EncodeSnapshot(*snapshot), onPut);
}

void
Acceptor::Finish(const AttemptPtr& aAttempt,
                 AcceptOutcome aOutcome,
                 std::string aMessage)
{
  aAttempt->callback(AcceptResult{ aOutcome, 0, std::move(aMessage) });
}

} // namespace knapweedpaddle::operators
