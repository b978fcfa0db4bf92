#pragma once

#include <cstdint>
#include <string>

namespace knapweedpaddle {

/**
 * Whether operators have ordered that the backend servers of a zone get no
 * calls. Of two orders for the same zone, the one with the higher revision is
 * in force.
 */
struct ZoneEvacuation
{
  std::string zone;
  std::uint64_t revision = 0; ///< of the store, when it was ordered or ended
  bool active = false;        ///< false once operators have ended it

  bool operator==(const ZoneEvacuation&) const = default;
};

} // namespace knapweedpaddle
