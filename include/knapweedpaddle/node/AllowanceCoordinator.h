#pragma once

#include "knapweedpaddle/common/TeamAllowance.h"
#include "knapweedpaddle/nodes/MemberRecord.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace knapweedpaddle::node {

/** A team's allowance over all nodes together. */
struct TeamAllowance
{
  double callsPerSecond = 0;
  double burst = 0;
};

/**
 * Divides the allowances of teams between the nodes that report to it. Each
 * team has a token bucket, from which the calls that nodes admitted are taken
 * afterwards. A team is limited only once its calls would soon use up the
 * bucket; the nodes then get shares of its rate in proportion to what they were
 * asked for. Calls admitted beyond the bucket leave a debt, and less is granted
 * until it is paid, so that the calls of any few seconds stay within the
 * allowance although reports come late.
 *
 * Several nodes may coordinate the same team for a while, when their views of
 * the membership differ or links between them are cut. A node that no longer
 * reports keeps the right to the rate that it had; that rate is set aside here
 * for as long (callers::TeamAllowances).
 *
 * Times are boot times. Thread safety: one thread.
 */
class AllowanceCoordinator
{
public:
  /** Returns the allowance of a team; nothing if it is not limited. */
  using Lookup = std::function<std::optional<TeamAllowance>(TeamId)>;

  explicit AllowanceCoordinator(Lookup aLookup);

  /** Answer to a report. */
  struct Answer
  {
    bool decided = false; ///< see AllowanceUpdate::decided
    std::vector<TeamGrant> limited;
  };

  /**
   * Sets the nodes that share the allowances. The part of those that don't
   * report here is set aside, as they may have a coordinator of their own.
   * Call every 0.5 s or more often.
   */
  void SetNodes(std::vector<nodes::NodeId> aNodes, Microseconds aNow);

  /**
   * Takes the counts of calls that a node reports, each as a total since the
   * start of its process, and returns what the node may admit.
   */
  Answer OnReport(nodes::NodeId aNode,
                  std::uint64_t aIncarnation,
                  const std::vector<TeamUsage>& aUsages,
                  Microseconds aNow);

  /** Returns the number of teams that are limited at present. */
  std::size_t LimitedTeams() const;

private:
  /** Calls of one team at one node. */
  struct Part
  {
    TeamUsage counted;    ///< totals of the last report
    double askedRate = 0; ///< moving average of calls per second
    double usedRate = 0;
    double longUsedRate = 0; ///< the same over the time that a node looks back
    Microseconds updatedAt{ 0 };
  };

  struct Node
  {
    std::uint64_t incarnation = 0;
    Microseconds reportedAt{ 0 };
  };

  struct Team
  {
    double level = 0; ///< calls left in the bucket; negative: debt
    Microseconds filledAt{ 0 };
    Microseconds decidedAt{ 0 };
    double demand = 0; ///< calls asked per second, over all nodes
    /** Calls per second granted to all nodes; nothing: not limited. */
    std::optional<double> granted;
    std::map<nodes::NodeId, Part> parts;
  };

  void CountPart(Team& aTeam,
                 nodes::NodeId aNode,
                 const TeamUsage& aUsage,
                 bool aIsBaseline,
                 Microseconds aNow);
  /** Fills a team's bucket and decides whether the team is limited. */
  void Decide(Team& aTeam, const TeamAllowance& aAllowance, Microseconds aNow);
  /** Returns the share of the nodes, 0 to 1, that report here. */
  double PresentShare(Microseconds aNow) const;
  static double Decay(const Part& aPart, Microseconds aNow);
  bool IsReporting(nodes::NodeId aNode, Microseconds aNow) const;

  Lookup mLookup;
  Microseconds mDutySince{ 0 }; ///< since when reports have come in
  Microseconds mLastReportAt{ 0 };
  std::vector<nodes::NodeId> mExpected; ///< nodes that share the allowances
  double mPresent = 1;                  ///< result of PresentShare()
  std::map<nodes::NodeId, Node> mNodes; ///< nodes that report, or did so lately
  std::unordered_map<TeamId, Team> mTeams;
};

} // namespace knapweedpaddle::node
