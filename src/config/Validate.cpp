#include "knapweedpaddle/config/Snapshot.h"

#include <map>
#include <set>

namespace knapweedpaddle::config {

namespace {

constexpr Milliseconds kMaxRouteTimeout{ 60'000 };
constexpr Milliseconds kMaxBakeTime{ 7LL * 24 * 3600 * 1000 };
constexpr double kMaxCanaryShare = 0.5;
constexpr std::size_t kMaxNameLength = 128;

/** Checks a snapshot and stops at the first error. */
class Validator
{
public:
  Validator(const Snapshot& aSnapshot, ConfigReason& aReason)
    : mSnapshot(aSnapshot)
    , mReason(aReason)
  {
  }

  bool Run()
  {
    for (const auto& [id, entry] : mSnapshot.entries) {
      mId = id.ToString();
      if (!CheckHeader(HeaderOf(entry)) ||
          !std::visit([this](const auto& aItem) { return Check(aItem); },
                      entry)) {
        return false;
      }
    }
    return true;
  }

private:
  bool Fail(const std::string& aMessage)
  {
    mReason.Set(ConfigError::kInvalid,
                mId + ": " + aMessage + " (version " +
                  std::to_string(mSnapshot.version) + ")");
    return false;
  }

  bool CheckHeader(const EntryHeader& aHeader)
  {
    if (aHeader.name.empty() || aHeader.name.size() > kMaxNameLength) {
      return Fail("name must have 1 to 128 characters");
    }
    if (aHeader.name.find_first_of("/ \n\"") != std::string::npos) {
      return Fail("name must not contain '/', space, newline or quote");
    }
    return !aHeader.owner.empty() || Fail("owner must not be empty");
  }

  bool CheckReference(EntryKind aKind, const std::string& aName)
  {
    if (mSnapshot.Find(EntryId{ aKind, aName })) {
      return true;
    }
    const std::string kind(NameOf(kEntryKindNames, aKind));
    return Fail("refers to " + kind + " \"" + aName +
                "\", which does not exist");
  }

  bool Check(const ServiceEntry& aEntry)
  {
    if (aEntry.version.empty()) {
      return Fail("version must not be empty");
    }
    return aEntry.warmupCallsPerSecond >= 0 ||
           Fail("warmup_calls_per_second must not be negative");
  }

  bool Check(const RouteEntry& aEntry)
  {
    if (aEntry.pathPrefix.empty() || aEntry.pathPrefix[0] != '/') {
      return Fail("path_prefix must begin with '/'");
    }
    if (aEntry.pathPrefix.starts_with("/-/")) {
      return Fail("path_prefix must not begin with \"/-/\", which is reserved");
    }
    if (!mRoutePaths.emplace(aEntry.host, aEntry.pathPrefix).second) {
      return Fail("path_prefix \"" + aEntry.pathPrefix +
                  "\" is already used by another route");
    }
    if (aEntry.timeout.count() < 1 || aEntry.timeout > kMaxRouteTimeout) {
      return Fail("timeout_ms must be 1 to 60000");
    }
    if (aEntry.slowAfter.count() < 1) {
      return Fail("slow_after_ms must be at least 1");
    }
    if (aEntry.maxTries < 1) {
      return Fail("max_tries must be at least 1");
    }
    if (!CheckDestinations(aEntry)) {
      return false;
    }
    return aEntry.limit.empty() ||
           CheckReference(EntryKind::kLimit, aEntry.limit);
  }

  bool CheckDestinations(const RouteEntry& aEntry)
  {
    if (aEntry.split.empty()) {
      return CheckReference(EntryKind::kService, aEntry.service);
    }
    if (!aEntry.service.empty()) {
      return Fail("service and split must not both be set");
    }
    double total = 0;
    for (const auto& it : aEntry.split) {
      if (it.weight < 0) {
        return Fail("split weights must not be negative");
      }
      if (!CheckReference(EntryKind::kService, it.service)) {
        return false;
      }
      total += it.weight;
    }
    return total > 0 || Fail("split weights must not all be 0");
  }

  bool Check(const LimitEntry& aEntry)
  {
    if (!(aEntry.ratePerSecond > 0)) {
      return Fail("rate_per_second must be above 0");
    }
    return aEntry.burst >= 1 || Fail("burst must be at least 1");
  }

  bool Check(const MoveEntry& aEntry)
  {
    if (!CheckReference(EntryKind::kService, aEntry.service)) {
      return false;
    }
    if (aEntry.toVersion.empty() || aEntry.toVersion == aEntry.fromVersion) {
      return Fail("to_version must be set and must differ from from_version");
    }
    if (aEntry.startAt < 0 || aEntry.doneBy <= aEntry.startAt) {
      return Fail("start_at must not be negative and done_by must be later "
                  "than start_at");
    }
    if (!(aEntry.canaryShare > 0) || aEntry.canaryShare > kMaxCanaryShare) {
      return Fail("canary_share must be above 0 and at most 0.5");
    }
    if (aEntry.bake.count() < 0 || aEntry.bake > kMaxBakeTime) {
      return Fail("bake_ms must be 0 to 604800000");
    }
    return aEntry.state != MoveState::kOpen || CheckOpenMove(aEntry);
  }

  bool Check(const TeamEntry& aEntry)
  {
    if (aEntry.callsPerSecond < 0 || aEntry.burst < 0) {
      return Fail("calls_per_second and burst must not be negative");
    }
    // The message must not show a key, as it is logged.
    for (const auto& it : aEntry.keys) {
      if (it.empty()) {
        return Fail("keys must not be empty");
      }
      if (const auto [other, isNew] = mTeamOfKey.emplace(it, mId); !isNew) {
        return Fail("has a key that " + other->second + " has, too");
      }
    }
    return true;
  }

  bool CheckOpenMove(const MoveEntry& aEntry)
  {
    const auto* service =
      mSnapshot.Get<ServiceEntry>(EntryKind::kService, aEntry.service);
    if (aEntry.fromVersion != service->version) {
      return Fail("from_version \"" + aEntry.fromVersion +
                  "\" is not the version \"" + service->version +
                  "\" of service \"" + aEntry.service + "\"");
    }
    return mServicesWithOpenMove.insert(aEntry.service).second ||
           Fail("service \"" + aEntry.service + "\" has another open move");
  }

  const Snapshot& mSnapshot;
  ConfigReason& mReason;
  std::string mId; ///< "kind/name" of the entry being checked
  /** Host and path prefix of each route checked so far. */
  std::set<std::pair<std::string, std::string>> mRoutePaths;
  std::set<std::string> mServicesWithOpenMove;
  /** "kind/name" of the team of each key checked so far. */
  std::map<std::string, std::string> mTeamOfKey;
};

} // namespace

bool
Validate(const Snapshot& aSnapshot, ConfigReason& aReason)
{
  return Validator(aSnapshot, aReason).Run();
}

} // namespace knapweedpaddle::config
