#pragma once

#include "knapweedpaddle/node/AllowanceCoordinator.h"
#include "knapweedpaddle/nodes/Membership.h"
#include "knapweedpaddle/runtime/Scheduler.h"

namespace knapweedpaddle::node {

/**
 * A node's part in keeping teams within their allowances: reports the calls of
 * its teams to coordinators, and coordinates some teams for others.
 *
 * The teams are shared by slots, one for each zone. A slot's coordinator is a
 * member of its zone by rendezvous hash; while it does not answer, the next
 * zone takes its place.
 *
 * Thread safety: control thread only.
 */
class AllowanceAgent
{
public:
  struct Services
  {
    runtime::Scheduler& scheduler;
    const nodes::Membership& members;
    std::function<void(const nodes::Datagram&)> send;
    /** Returns false while this node does not know who shares the allowances,
     * such as after a start; it then gets no part of them. */
    std::function<bool()> knowsFleet;
    /** Passes what this node may admit. */
    std::function<void(const AllowanceUpdate&)> onUpdate;
  };

  /** @param aZones  all zones of the fleet; nodes must agree on them. */
  AllowanceAgent(Services aServices, std::vector<std::string> aZones);

  /** Sets the teams and their allowances. Without any, nothing is sent. */
  void SetAllowances(std::unordered_map<TeamId, TeamAllowance> aAllowances);

  /** Takes the calls of this node's teams since the process started. */
  void TakeUsages(const std::vector<TeamUsage>& aUsages);

  /** Sends reports when they are due; call every 100 ms. */
  void Tick();

  /** Handles a report of another node, or an answer to one of this node. */
  void Receive(const nodes::GossipMessage& aMessage);

  /** Returns the number of teams that this node limits as a coordinator. */
  std::size_t LimitedTeams() const;

private:
  /** A report that is not answered yet. */
  struct Report
  {
    std::size_t slot = 0;
    nodes::NodeId coordinator = nodes::kNoNode;
    Microseconds sentAt{ 0 };
    std::vector<TeamUsage> usages;
  };

  struct Slot
  {
    nodes::NodeId coordinator = nodes::kNoNode;
    std::size_t attempt = 0;    ///< zones passed over, as they don't answer
    std::size_t unanswered = 0; ///< reports in a row
    Microseconds passedOverAt{ 0 };
    bool isKnown = false; ///< the coordinator has answered this node
    /** Calls that a coordinator has counted, by team. */
    std::unordered_map<TeamId, TeamUsage> counted;
  };

  /** Sends all reports if the last ones are at least aInterval old. */
  void SendReports(Milliseconds aInterval);
  void SendReport(std::size_t aSlot);
  nodes::NodeId CoordinatorOf(std::size_t aSlot) const;
  void OnAnswer(const Report& aReport,
                const AllowanceCoordinator::Answer& aAnswer);
  AllowanceCoordinator::Answer Coordinate(const nodes::GossipMessage& aReport);
  /** Returns the nodes that share the allowances: those that live, and those
   * that are probably cut off. */
  std::vector<nodes::NodeId> SharingNodes() const;

  Services mServices;
  std::vector<std::string> mZones;
  std::unordered_map<TeamId, TeamAllowance> mAllowances;
  std::unordered_map<TeamId, TeamUsage> mUsages; ///< latest counts
  std::vector<Slot> mSlots;
  std::map<std::uint32_t, Report> mReports; ///< keyed by sequence
  std::uint32_t mSequence = 0;
  Microseconds mReportedAt{ 0 }; ///< boot time of the last reports
  std::vector<AllowanceCoordinator> mCoordinators; ///< by slot
};

} // namespace knapweedpaddle::node
