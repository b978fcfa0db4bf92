#pragma once

#include "knapweedpaddle/config/EntryCodec.h"
#include "knapweedpaddle/store/CatalogueReader.h"

#include <memory>

/** Interfaces for operators: acceptance of catalogue changes, the HTTP API and
 * rollout orders. */
namespace knapweedpaddle::operators {

/** Result of a change request. Only kAccepted and kUnknown may have changed the
 * catalogue. */
enum class AcceptOutcome
{
  kAccepted,
  kRefused,     ///< the request or the resulting catalogue is not valid
  kForbidden,   ///< an entry belongs to another owner
  kConflict,    ///< an entry was changed by another request first
  kUnavailable, ///< the platform can't be reached
  kUnknown,     ///< to be resolved by a retry with the same operation id
};

inline constexpr std::array<EnumName<AcceptOutcome>, 6> kAcceptOutcomeNames{ {
  { AcceptOutcome::kAccepted, "accepted" },
  { AcceptOutcome::kRefused, "refused" },
  { AcceptOutcome::kForbidden, "forbidden" },
  { AcceptOutcome::kConflict, "conflict" },
  { AcceptOutcome::kUnavailable, "unavailable" },
  { AcceptOutcome::kUnknown, "unknown" },
} };

/** Outcome of a change request. */
struct AcceptResult
{
  AcceptOutcome outcome = AcceptOutcome::kUnknown;
  std::uint64_t version = 0; ///< catalogue version with the change
  std::string message;       ///< why the change was not accepted
};

/** Name that the system itself uses as owner; it may write every entry. */
inline constexpr const char* kSystemOwner = "*";

/**
 * Validates changes to the catalogue and commits them to the platform. Each
 * change is one transaction that is conditional on the newest version, so that
 * only one of several concurrent changes becomes the next version. The others
 * are retried, unless the accepted change wrote an entry of theirs.
 *
 * Thread safety: control thread only.
 */
class ChangeAcceptor
{
public:
  using Callback = std::function<void(AcceptResult)>;

  /** @param aChanged  called after an accepted change was applied to aStore. */
  ChangeAcceptor(store::StoreClient& aPlatform,
                 config::ConfigStore& aStore,
                 store::CatalogueReader& aReader,
                 std::function<void()> aChanged);

  /**
   * Validates and commits a change, and calls back with the outcome.
   *
   * @param aOwner  owner that the operator is authenticated as.
   */
  void Accept(config::ChangeRequest aRequest,
              std::string aOwner,
              Callback aCallback);

private:
  struct PendingChange;
  using PendingChangePtr = std::shared_ptr<PendingChange>;

  /** Reads the newest version and catches up with it before Prepare(). */
  void Begin(const PendingChangePtr& aPending);
  /** Reads the catalogue of a store that was restored to an earlier version
   * than this node holds, before Prepare(). */
  void ReadRestoredCatalogue(const PendingChangePtr& aPending,
                             std::uint64_t aVersion);
  /** Finishes a change for which a version could not be read. */
  static void FinishUnread(const PendingChangePtr& aPending,
                           std::uint64_t aVersion);
  /** Validates the change against the newest version and commits it. */
  void Prepare(const PendingChangePtr& aPending);
  bool CheckEntries(PendingChange& aPending, const config::Snapshot& aBase);
  void Commit(const PendingChangePtr& aPending);
  void OnAccepted(const PendingChangePtr& aPending);
  /** Writes a snapshot and deletes the change rows that are no longer needed.
   */
  void StoreSnapshot();
  static void Finish(const PendingChangePtr& aPending,
                     AcceptOutcome aOutcome,
                     std::string aMessage);

  store::StoreClient& mPlatform;
  config::ConfigStore& mStore;
  store::CatalogueReader& mReader;
  std::function<void()> mChanged;
};

} // namespace knapweedpaddle::operators
