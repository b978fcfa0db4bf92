#pragma once

#include "knapweedpaddle/common/TeamAllowance.h"
#include "knapweedpaddle/config/Entry.h"

#include <optional>
#include <unordered_map>

namespace knapweedpaddle::callers {

/**
 * Admits the calls of teams at one node. The calls of all nodes together stay
 * within a team's allowance, as coordinators tell each node what part of it the
 * node may use (node::AllowanceCoordinator). Most teams ask for less than their
 * allowance and are not limited at all.
 *
 * A node that hears of no coordinator goes on at the rate that it had, since
 * the sum of these rates was within the allowance, too.
 *
 * Times are boot times, so that a lease also ends while the VM is suspended.
 *
 * Thread safety: the traffic thread only. The times passed in must not
 * decrease.
 */
class TeamAllowances
{
public:
  /**
   * @param aSlots  number of slots that share the teams; 0 if nodes are not
   * coordinated, and each admits the whole allowance by itself.
   */
  explicit TeamAllowances(std::size_t aSlots);

  /** Answer to Take(). */
  struct Admission
  {
    bool admitted = true;
    Milliseconds retryAfter{ 0 }; ///< when the node may admit the next call
  };

  /** Admits a call of a team, or not. */
  Admission Take(const config::TeamEntry& aTeam, Microseconds aNow);

  /** Gives back an admitted call that has certainly not run. */
  void Refund(const std::string& aTeam);

  /** Takes a coordinator's answer. */
  void OnUpdate(const AllowanceUpdate& aUpdate);

  /** Returns the calls of all teams that this process admitted or refused, to
   * be reported to coordinators now. */
  std::vector<TeamUsage> TakeUsages(Microseconds aNow);

  /** Returns true if since the last report a team sent far more calls than
   * before, so that coordinators should hear of it soon. */
  bool HasSurge() const { return mHasSurge; }

private:
  struct Slot
  {
    /** End of the coordinator's last answer; 0 before the first one. */
    Microseconds validUntil{ 0 };
    std::size_t members = 0; ///< nodes that share the allowances; 0: not known
    /** Calls per second that this node may admit, of the limited teams. */
    std::unordered_map<TeamId, double> limited;
  };

  struct Team
  {
    TeamUsage usage;
    std::size_t slot = 0;
    double recentRate = 0; ///< moving average of the calls admitted
    Microseconds recentAt{ 0 };
    Microseconds firstAt{ 0 };  ///< of the first call admitted
    std::uint64_t reported = 0; ///< calls admitted until the last report
    double heldRate = 0;        ///< rate while no coordinator answers
    bool isOnItsOwn = false;
    double tokens = 0;
    Microseconds tokensAt{ 0 };
  };

  /** Calls that a team may make at this node now. */
  struct Limit
  {
    double callsPerSecond = 0;
    double burst = 1; ///< most calls at once
  };

  Team& TeamOf(const config::TeamEntry& aTeam);
  /** Returns the present limit of a team; nothing if it is not limited. */
  std::optional<Limit> LimitOf(Team& aTeam,
                               const config::TeamEntry& aEntry,
                               Microseconds aNow);
  /** Returns the limit of a team at a node that a coordinator has answered. */
  static std::optional<double> GrantedRate(const Slot& aSlot,
                                           const Team& aTeam);
  static bool TakeToken(Team& aTeam, const Limit& aLimit, Microseconds aNow);
  void CountAdmitted(Team& aTeam, Microseconds aNow);
  static double DecayedRate(const Team& aTeam, Microseconds aNow);
  static double AverageRate(const Team& aTeam, Microseconds aNow);

  std::vector<Slot> mSlots;
  std::unordered_map<std::string, Team> mTeams; ///< keyed by name
  Microseconds mReportedAt{ 0 };
  bool mHasSurge = false;
};

} // namespace knapweedpaddle::callers
