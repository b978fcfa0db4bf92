#include "ControlPlane.h"

#include "knapweedpaddle/moves/MoveSchedule.h"

#include <nlohmann/json.hpp>

namespace knapweedpaddle::node {

std::string
ControlPlane::ExplainMove(const std::string& aName) const
{
  using Json = nlohmann::ordered_json;
  const auto* move =
    mStore.Current()->Get<config::MoveEntry>(config::EntryKind::kMove, aName);
  if (!move) {
    return {};
  }
  Json zones = Json::array();
  for (const auto& it : mBoard.Of(*move)) {
    zones.push_back(Json{ { "zone", it.zone },
                          { "stage", it.stage },
                          { "share", moves::ShareAt(*move, it.stage) },
                          { "condemned", it.condemned },
                          { "reason", it.reason } });
  }
  Json json{ { "move", aName },
             { "service", move->service },
             { "from_version", move->fromVersion },
             { "to_version", move->toVersion },
             { "state", NameOf(config::kMoveStateNames, move->state) },
             { "reason", move->reason },
             { "zones", zones } };
  if (const auto it = mJudge.Opinions().find(aName); it != mJudge.Opinions().end()) {
    json["late"] = it->second.late;
    json["suspicion"] = it->second.suspicion;
    json["routes_without_enough_calls"] = it->second.unproven;
  }
  return json.dump();
}

} // namespace knapweedpaddle::node
