#pragma once

#include "knapweedpaddle/common/ZoneEvacuation.h"

#include <map>
#include <set>
#include <vector>

namespace knapweedpaddle::node {

/**
 * Keeps the newest order known for the evacuation of each zone. Orders come
 * from the store and from peers, in any order and repeatedly; merging keeps the
 * one with the higher revision, so that all nodes end up with the same orders.
 *
 * Thread safety: one thread.
 */
class EvacuationTracker
{
public:
  /** Merges orders. @return true if the set of evacuated zones changed. */
  bool Merge(const std::vector<ZoneEvacuation>& aOrders);

  /**
   * Merges the orders of all zones that are evacuated at a revision of the
   * store; the evacuations of other zones have ended by then.
   *
   * @return true if the set of evacuated zones changed.
   */
  bool MergeComplete(const std::vector<ZoneEvacuation>& aOrders,
                     std::uint64_t aRevision);

  /** Returns the zones that are evacuated. */
  std::set<std::string> EvacuatedZones() const;

  /** Returns the newest order of each zone that ever had one, to be merged by
   * peers. */
  const std::vector<ZoneEvacuation>& Orders() const { return mOrderList; }

private:
  bool MergeOne(const ZoneEvacuation& aOrder);
  void UpdateList();

  std::map<std::string, ZoneEvacuation> mOrders; ///< keyed by zone
  std::vector<ZoneEvacuation> mOrderList;        ///< the same, for messages
};

} // namespace knapweedpaddle::node
