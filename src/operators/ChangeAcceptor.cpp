#include "knapweedpaddle/operators/ChangeAcceptor.h"

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
/** Versions from one stored snapshot of the catalogue to the next. */
constexpr std::uint64_t kVersionsPerSnapshot = 50;
/** Change rows that are kept before the newest snapshot. */
constexpr std::uint64_t kChangeRowsKept = 1000;

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

/** A request whose change is not yet committed. */
struct ChangeAcceptor::PendingChange
{
  ChangeRequest request;
  std::string owner;
  Callback callback;
  std::uint32_t attempts = 0;
  /** Revision that the head row must still have at the commit. */
  std::uint64_t headRevision = 0;
  Change change;
  /** The catalogue in a restored store that lost the newest versions; else
   * null. */
  config::SnapshotPtr restoredBase;
  Snapshot candidate;          ///< the catalogue after the change
  bool mayHaveWritten = false; ///< whether a commit got no answer
};

ChangeAcceptor::ChangeAcceptor(store::StoreClient& aPlatform,
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
ChangeAcceptor::Accept(ChangeRequest aRequest,
                       std::string aOwner,
                       Callback aCallback)
{
  auto pending = std::make_shared<PendingChange>();
  pending->request = std::move(aRequest);
  pending->owner = std::move(aOwner);
  pending->callback = std::move(aCallback);
  Begin(pending);
}

void
ChangeAcceptor::Begin(const PendingChangePtr& aPending)
{
  if (++aPending->attempts > kMaxAttempts) {
    Finish(aPending,
           aPending->mayHaveWritten ? AcceptOutcome::kUnknown
                                    : AcceptOutcome::kConflict,
           "too many concurrent changes to the catalogue");
    return;
  }
  aPending->restoredBase = nullptr;
  mPlatform.Read(
    { store::OperationKey(aPending->request.operationId), store::kHeadKey },
    [this, aPending, ownVersion = mStore.Version()](
      const std::optional<std::vector<Row>>& aRows,
      const StoreReason& aReason) {
      if (!aRows || aRows->size() != 2) {
        Finish(aPending,
               aPending->mayHaveWritten ? AcceptOutcome::kUnknown
                                        : AcceptOutcome::kUnavailable,
               aReason.message);
        return;
      }
      const Row& operation = (*aRows)[0];
      const Row& head = (*aRows)[1];
      if (operation.revision != 0) {
        aPending->change.version = store::VersionOf(operation).value_or(0);
        OnAccepted(aPending);
        return;
      }
      aPending->headRevision = head.revision;
      const std::uint64_t version = store::VersionOf(head).value_or(0);
      if (version < ownVersion) {
        // Nodes keep the newer version that the store lost, so the change
        // becomes the version after that one.
        aPending->change.version = ownVersion + 1;
        ReadRestoredCatalogue(aPending, version);
        return;
      }
      aPending->change.version = version + 1;
      mReader.CatchUp(version, [this, aPending, version](bool aReached) {
        if (aReached) {
          Prepare(aPending);
        } else {
          FinishUnread(aPending, version);
        }
      });
    });
}

void
ChangeAcceptor::ReadRestoredCatalogue(const PendingChangePtr& aPending,
                                      std::uint64_t aVersion)
{
  struct Catalogue
  {
    explicit Catalogue(store::StoreClient& aPlatform)
      : content(0)
      , reader(aPlatform, content, [] {})
    {
    }

    config::ConfigStore content;
    store::CatalogueReader reader;
  };
  const auto catalogue = std::make_shared<Catalogue>(mPlatform);
  catalogue->reader.CatchUp(
    aVersion, [this, aPending, aVersion, catalogue](bool aReached) {
      if (aReached) {
        aPending->restoredBase = catalogue->content.Current();
        Prepare(aPending);
      } else {
        FinishUnread(aPending, aVersion);
      }
    });
}

void
ChangeAcceptor::FinishUnread(const PendingChangePtr& aPending,
                             std::uint64_t aVersion)
{
  Finish(aPending,
         aPending->mayHaveWritten ? AcceptOutcome::kUnknown
                                  : AcceptOutcome::kUnavailable,
         "version " + std::to_string(aVersion) +
           " of the catalogue can't be read from the platform");
}

void
ChangeAcceptor::Prepare(const PendingChangePtr& aPending)
{
  if (mStore.Version() + 1 != aPending->change.version) {
    Begin(aPending); // Another change was applied since the head was read.
    return;
  }
  const config::SnapshotPtr current = mStore.Current();
  const config::SnapshotPtr base =
    aPending->restoredBase ? aPending->restoredBase : current;
  if (!CheckEntries(*aPending, *base)) {
    return;
  }
  Change& change = aPending->change;
  change.operationId = aPending->request.operationId;
  change.upserts = aPending->request.upserts;
  for (auto& it : change.upserts) {
    config::HeaderOf(it).revision = change.version;
  }
  change.removals.clear();
  for (const auto& it : aPending->request.removals) {
    change.removals.push_back(it.id);
  }
  if (aPending->restoredBase) {
    // The change also undoes what the store lost, for the nodes that hold it.
    Change whole =
      config::Difference(*current, config::ApplyChange(*base, change));
    change.upserts = std::move(whole.upserts);
    change.removals = std::move(whole.removals);
  }
  Snapshot& candidate = aPending->candidate;
  candidate = config::ApplyChange(*current, change);
  config::ConfigReason reason;
  if (!config::Validate(candidate, reason)) {
    Finish(aPending, AcceptOutcome::kRefused, reason.message);
    return;
  }
  change.digest = candidate.Digest();
  if (!aPending->restoredBase) {
    Commit(aPending);
    return;
  }
  // Nodes that start later find no change rows for the lost versions.
  mPlatform.PutObject(store::SnapshotObjectName(change.version),
                      EncodeSnapshot(candidate),
                      [this, aPending](bool aDone, const StoreReason& aReason) {
                        if (aDone) {
                          Commit(aPending);
                        } else {
                          Finish(aPending,
                                 aPending->mayHaveWritten
                                   ? AcceptOutcome::kUnknown
                                   : AcceptOutcome::kUnavailable,
                                 aReason.message);
                        }
                      });
}

bool
ChangeAcceptor::CheckEntries(PendingChange& aPending, const Snapshot& aBase)
{
  const auto finish = [&aPending](AcceptOutcome aOutcome,
                                  std::string aMessage) {
    aPending.callback(AcceptResult{ aOutcome, 0, std::move(aMessage) });
    return false;
  };
  const auto checkEntry = [&](const EntryId& aId,
                              std::uint64_t aSeenRevision,
                              const std::string& aNewOwner) {
    const std::string owner = OwnerOf(aBase, aId);
    const bool isSystem = aPending.owner == kSystemOwner;
    if (!isSystem && ((!owner.empty() && owner != aPending.owner) ||
                      aNewOwner != aPending.owner)) {
      return finish(AcceptOutcome::kForbidden,
                    aId.ToString() + " belongs to owner \"" +
                      (owner.empty() ? aNewOwner : owner) + "\", not to \"" +
                      aPending.owner + "\"");
    }
    if (const std::uint64_t revision = RevisionOf(aBase, aId);
        revision != aSeenRevision) {
      return finish(AcceptOutcome::kConflict,
                    aId.ToString() + " is at revision " +
                      std::to_string(revision) + ", not at revision " +
                      std::to_string(aSeenRevision) + " as the request says");
    }
    return true;
  };
  for (const auto& it : aPending.request.upserts) {
    const auto& header = config::HeaderOf(it);
    if (!checkEntry(config::IdOf(it), header.revision, header.owner)) {
      return false;
    }
  }
  for (const auto& it : aPending.request.removals) {
    if (!aBase.Find(it.id)) {
      return finish(AcceptOutcome::kRefused,
                    it.id.ToString() + " does not exist");
    }
    if (!checkEntry(it.id, it.revision, OwnerOf(aBase, it.id))) {
      return false;
    }
  }
  return true;
}

void
ChangeAcceptor::Commit(const PendingChangePtr& aPending)
{
  const Change& change = aPending->change;
  const std::string operationKey = store::OperationKey(change.operationId);
  const std::string version = std::to_string(change.version);
  store::Transaction transaction;
  transaction.conditions = { { store::kHeadKey, aPending->headRevision },
                             { operationKey, 0 } };
  transaction.writes = {
    { store::kHeadKey, version, false },
    { store::ChangeKey(change.version), EncodeChange(change), false },
    { operationKey, version, false }
  };
  if (aPending->restoredBase) {
    transaction.writes.push_back({ store::kSnapshotKey, version, false });
  }
  mPlatform.Commit(std::move(transaction),
                   [this, aPending](bool aDone, const StoreReason& aReason) {
                     if (aDone) {
                       OnAccepted(aPending);
                       return;
                     }
                     switch (aReason.code) {
                       case StoreError::kOutcomeUnknown:
                         aPending->mayHaveWritten = true;
                         Begin(aPending);
                         return;
                       case StoreError::kConflict:
                         Begin(aPending);
                         return;
                       default:
                         Finish(aPending,
                                aPending->mayHaveWritten
                                  ? AcceptOutcome::kUnknown
                                  : AcceptOutcome::kUnavailable,
                                aReason.message);
                     }
                   });
}

void
ChangeAcceptor::OnAccepted(const PendingChangePtr& aPending)
{
  const std::uint64_t version = aPending->change.version;
  config::ConfigReason reason;
  if (mStore.Version() + 1 == version && !aPending->change.digest.empty() &&
      mStore.Apply(aPending->change, reason)) {
    mChanged();
  }
  if (version % kVersionsPerSnapshot == 0 && mStore.Version() == version) {
    StoreSnapshot();
  }
  aPending->callback(AcceptResult{ AcceptOutcome::kAccepted, version, "" });
}

void
ChangeAcceptor::StoreSnapshot()
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
    if (version > kChangeRowsKept) {
      for (std::uint64_t n = 0; n < kVersionsPerSnapshot; ++n) {
        transaction.writes.push_back(
          { store::ChangeKey(version - kChangeRowsKept - n), "", true });
      }
    }
    mPlatform.Commit(std::move(transaction), [](bool, const StoreReason&) {});
  };
  mPlatform.PutObject(
    store::SnapshotObjectName(version), EncodeSnapshot(*snapshot), onPut);
}

void
ChangeAcceptor::Finish(const PendingChangePtr& aPending,
                       AcceptOutcome aOutcome,
                       std::string aMessage)
{
  aPending->callback(AcceptResult{ aOutcome, 0, std::move(aMessage) });
}

} // namespace knapweedpaddle::operators
