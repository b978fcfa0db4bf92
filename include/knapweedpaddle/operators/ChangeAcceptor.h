#pragma once

#include "knapweedpaddle/config/EntryCodec.h"
#include "knapweedpaddle/store/CatalogueReader.h"

#include <memory>

/** What operators use: acceptance of changes and the operators' API. */
namespace knapweedpaddle::operators {

enum class AcceptOutcome
{
  kAccepted,
  kRefused,   ///< the request or the resulting catalogue is not valid; nothing
              ///< changed
  kForbidden, ///< an entry has another owner; nothing changed
  kConflict,  ///< another change to the same entry won; nothing changed
  kUnavailable, ///< the platform can't be reached; nothing changed
  kUnknown,     ///< ask again with the same operation id
};

inline constexpr std::array<EnumName<AcceptOutcome>, 6> kAcceptOutcomeNames{ {
  { AcceptOutcome::kAccepted, "accepted" },
  { AcceptOutcome::kRefused, "refused" },
  { AcceptOutcome::kForbidden, "forbidden" },
  { AcceptOutcome::kConflict, "conflict" },
  { AcceptOutcome::kUnavailable, "unavailable" },
  { AcceptOutcome::kUnknown, "unknown" },
} };

struct AcceptResult
{
  AcceptOutcome outcome = AcceptOutcome::kUnknown;
  std::uint64_t version = 0; ///< the version that the change became
  std::string message;
};

/** Owner name that may write every entry; used by the system itself. */
inline constexpr const char* kSystemOwner = "*";

/**
 * Accepts changes to the catalogue. One change is one transaction, conditional
 * on the newest version, so that of racing changes exactly one wins a version;
 * the loser is tried again unless the winner touched its entries.
 *
 * Thread safety: control thread only.
 */
class ChangeAcceptor
{
public:
  using Callback = std::function<void(AcceptResult)>;

  /** @param aChanged  runs after an accepted change was applied to the store.
   */
  ChangeAcceptor(store::StoreClient& aPlatform,
                 config::ConfigStore& aStore,
                 store::CatalogueReader& aReader,
                 std::function<void()> aChanged);

  /**
   * Accepts or refuses a change.
   *
   * @param aOwner  owner that the operator proved to be.
   */
  void Accept(config::ChangeRequest aRequest,
              std::string aOwner,
              Callback aCallback);

private:
  struct Attempt;
  using AttemptPtr = std::shared_ptr<Attempt>;

  void Begin(const AttemptPtr& aAttempt);
  void Prepare(const AttemptPtr& aAttempt);
  bool CheckEntries(Attempt& aAttempt, const config::Snapshot& aBase);
  void Commit(const AttemptPtr& aAttempt);
  void OnAccepted(const AttemptPtr& aAttempt);
  void KeepSnapshot();
  static void Finish(const AttemptPtr& aAttempt,
                     AcceptOutcome aOutcome,
                     std::string aMessage);

  store::StoreClient& mPlatform;
  config::ConfigStore& mStore;
  store::CatalogueReader& mReader;
  std::function<void()> mChanged;
};

} // namespace knapweedpaddle::operators
