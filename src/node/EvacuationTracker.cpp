#include "knapweedpaddle/node/EvacuationTracker.h"

#include <algorithm>

namespace knapweedpaddle::node {

namespace {

/** Bounds the size of messages; operators name one zone in an order. */
constexpr std::size_t kMaxZones = 64;

} // namespace

bool
EvacuationTracker::MergeOne(const ZoneEvacuation& aOrder)
{
  const auto it = mOrders.find(aOrder.zone);
  if (it == mOrders.end()) {
    if (mOrders.size() >= kMaxZones) {
      return false;
    }
    mOrders.emplace(aOrder.zone, aOrder);
    return aOrder.active;
  }
  if (aOrder.revision <= it->second.revision) {
    return false;
  }
  const bool changed = it->second.active != aOrder.active;
  it->second = aOrder;
  return changed;
}

bool
EvacuationTracker::Merge(const std::vector<ZoneEvacuation>& aOrders)
{
  bool changed = false;
  for (const auto& it : aOrders) {
    changed |= MergeOne(it);
  }
  if (!aOrders.empty()) {
    UpdateList();
  }
  return changed;
}

bool
EvacuationTracker::MergeComplete(const std::vector<ZoneEvacuation>& aOrders,
                                 std::uint64_t aRevision)
{
  std::vector<ZoneEvacuation> orders = aOrders;
  for (const auto& [zone, known] : mOrders) {
    const bool isListed =
      std::ranges::find(aOrders, zone, &ZoneEvacuation::zone) != aOrders.end();
    if (known.active && !isListed) {
      orders.push_back({ zone, aRevision, false });
    }
  }
  return Merge(orders);
}

std::set<std::string>
EvacuationTracker::EvacuatedZones() const
{
  std::set<std::string> zones;
  for (const auto& [zone, order] : mOrders) {
    if (order.active) {
      zones.insert(zone);
    }
  }
  return zones;
}

void
EvacuationTracker::UpdateList()
{
  mOrderList.clear();
  for (const auto& [zone, order] : mOrders) {
    mOrderList.push_back(order);
  }
}

} // namespace knapweedpaddle::node
