#include "knapweedpaddle/callers/TeamAllowances.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedpaddle::callers {

namespace {

/** Time from a report until its answer counts no more. Covers the loss of one
 * report of those that are sent each 0.3 s. */
constexpr Milliseconds kLease{ 900 };
/** How long a node goes on at its rate without a coordinator. A coordinator
 * sets that rate aside for as long. */
constexpr Milliseconds kHeldRateTime{ 10'000 };
/** Length of the moving average of a team's rate. Long enough that a team which
 * has asked for a multiple of its allowance for a second gets little of it. */
constexpr double kRateSeconds = 8;
/** Time from a team's first call on after which its average counts. */
constexpr double kMinRateAgeSeconds = 2;
/** Rate without a coordinator, as a multiple of the rate before. */
constexpr double kHeldRateFactor = 1.1;
/** Calls that may come at once at a limited rate, as seconds of that rate. */
constexpr double kBurstSeconds = 0.5;
constexpr Milliseconds kMaxTokenAge{ 1000 };
/** Calls since the last report, beyond a multiple of the usual number, that are
 * reported at once. */
constexpr double kSurgeFactor = 2;
constexpr double kSurgeCalls = 2;
/** Calls at once, and calls per second while the number of nodes is not known,
 * of a team at a node that no coordinator has answered yet. */
constexpr double kFirstBurst = 1;
constexpr double kFirstRate = 0.5;
constexpr Milliseconds kMinRetryAfter{ 100 };
constexpr double kMaxRetrySeconds = 2;

double
SecondsBetween(Microseconds aFrom, Microseconds aTo)
{
  return std::chrono::duration<double>(aTo - aFrom).count();
}

} // namespace

TeamAllowances::TeamAllowances(std::size_t aSlots)
  : mSlots(aSlots)
{
}

TeamAllowances::Admission
TeamAllowances::Take(const config::TeamEntry& aTeam, Microseconds aNow)
{
  if (aTeam.callsPerSecond <= 0) {
    return {};
  }
  Team& team = TeamOf(aTeam);
  ++team.usage.asked;
  const auto limit = LimitOf(team, aTeam, aNow);
  if (limit && !TakeToken(team, *limit, aNow)) {
    const double seconds =
      limit->callsPerSecond > 0
        ? std::min((1 - team.tokens) / limit->callsPerSecond, kMaxRetrySeconds)
        : kMaxRetrySeconds;
    return { false,
             std::max(kMinRetryAfter,
                      std::chrono::ceil<Milliseconds>(
                        std::chrono::duration<double>(seconds))) };
  }
  ++team.usage.used;
  CountAdmitted(team, aNow);
  return {};
}

void
TeamAllowances::Refund(const std::string& aTeam)
{
  if (const auto it = mTeams.find(aTeam);
      it != mTeams.end() && it->second.usage.used > 0) {
    --it->second.usage.used;
    it->second.tokens += 1;
  }
}

void
TeamAllowances::OnUpdate(const AllowanceUpdate& aUpdate)
{
  if (aUpdate.slot >= mSlots.size()) {
    return;
  }
  Slot& slot = mSlots[aUpdate.slot];
  slot.members = aUpdate.members;
  if (!aUpdate.decided) {
    return;
  }
  slot.validUntil = std::max(slot.validUntil, aUpdate.sentAt + kLease);
  slot.limited.clear();
  for (const auto& it : aUpdate.limited) {
    slot.limited[it.team] = it.callsPerSecond;
  }
}

std::vector<TeamUsage>
TeamAllowances::TakeUsages(Microseconds aNow)
{
  mReportedAt = aNow;
  mHasSurge = false;
  std::vector<TeamUsage> usages;
  for (auto& [name, team] : mTeams) {
    team.reported = team.usage.used;
    usages.push_back(team.usage);
  }
  return usages;
}

TeamAllowances::Team&
TeamAllowances::TeamOf(const config::TeamEntry& aTeam)
{
  const auto [it, isNew] = mTeams.try_emplace(aTeam.header.name);
  if (isNew) {
    it->second.usage.team = TeamIdOf(aTeam.header.name);
    it->second.slot = SlotOf(it->second.usage.team, mSlots.size());
    it->second.tokens = mSlots.empty() ? aTeam.burst : kFirstBurst;
  }
  return it->second;
}

std::optional<TeamAllowances::Limit>
TeamAllowances::LimitOf(Team& aTeam,
                        const config::TeamEntry& aEntry,
                        Microseconds aNow)
{
  if (mSlots.empty()) {
    return Limit{ aEntry.callsPerSecond, std::max(1.0, aEntry.burst) };
  }
  const auto limit = [](double aRate) {
    return Limit{ aRate, std::max(1.0, aRate * kBurstSeconds) };
  };
  const Slot& slot = mSlots[aTeam.slot];
  if (slot.validUntil == Microseconds(0)) {
    return Limit{ slot.members > 0
                    ? aEntry.callsPerSecond / static_cast<double>(slot.members)
                    : kFirstRate,
                  kFirstBurst };
  }
  const auto granted = GrantedRate(slot, aTeam);
  if (aNow < slot.validUntil) {
    aTeam.isOnItsOwn = false;
    return granted ? std::optional(limit(*granted)) : std::nullopt;
  }
  if (!std::exchange(aTeam.isOnItsOwn, true)) {
    aTeam.heldRate =
      std::min(aEntry.callsPerSecond,
               granted.value_or(AverageRate(aTeam, aNow) * kHeldRateFactor));
  }
  return limit(
    aNow < slot.validUntil + kHeldRateTime
      ? aTeam.heldRate
      : aEntry.callsPerSecond /
          static_cast<double>(std::max<std::size_t>(1, slot.members)));
}

std::optional<double>
TeamAllowances::GrantedRate(const Slot& aSlot, const Team& aTeam)
{
  const auto it = aSlot.limited.find(aTeam.usage.team);
  return it == aSlot.limited.end() ? std::nullopt : std::optional(it->second);
}

bool
TeamAllowances::TakeToken(Team& aTeam, const Limit& aLimit, Microseconds aNow)
{
  // Tokens of a time in which the team was not limited don't count, as many
  // nodes together would then admit many calls at once.
  const Microseconds since =
    std::max(aTeam.tokensAt, aNow - Microseconds(kMaxTokenAge));
  aTeam.tokens = std::min(aLimit.burst,
                          aTeam.tokens + aLimit.callsPerSecond *
                                           SecondsBetween(since, aNow));
  aTeam.tokensAt = aNow;
  if (aTeam.tokens < 1) {
    return false;
  }
  aTeam.tokens -= 1;
  return true;
}

void
TeamAllowances::CountAdmitted(Team& aTeam, Microseconds aNow)
{
  if (aTeam.firstAt == Microseconds(0)) {
    aTeam.firstAt = aNow;
  }
  const double expected =
    AverageRate(aTeam, aNow) * SecondsBetween(mReportedAt, aNow);
  const double sinceReport =
    static_cast<double>(aTeam.usage.used) - static_cast<double>(aTeam.reported);
  mHasSurge |= sinceReport > kSurgeFactor * expected + kSurgeCalls;
  aTeam.recentRate = DecayedRate(aTeam, aNow) + 1 / kRateSeconds;
  aTeam.recentAt = aNow;
}

double
TeamAllowances::DecayedRate(const Team& aTeam, Microseconds aNow)
{
  return aTeam.recentRate *
         std::exp(-SecondsBetween(aTeam.recentAt, aNow) / kRateSeconds);
}

double
TeamAllowances::AverageRate(const Team& aTeam, Microseconds aNow)
{
  // An average that began lately is too low by its missing part.
  const double age =
    std::max(kMinRateAgeSeconds, SecondsBetween(aTeam.firstAt, aNow));
  return DecayedRate(aTeam, aNow) / (1 - std::exp(-age / kRateSeconds));
}

} // namespace knapweedpaddle::callers
