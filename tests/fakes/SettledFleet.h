#pragma once

#include "FakeFleet.h"

#include <catch2/catch.hpp>

namespace knapweedpaddle::fakes {

/** Returns nodes, spread evenly over zones, that all hold configuration 5. */
inline std::unique_ptr<FakeFleet>
SettledFleet(std::uint64_t aSeed, int aNodes = 12, int aZones = 3)
{
  constexpr Milliseconds kSettleTime{ 6000 };
  auto fleet = std::make_unique<FakeFleet>(aSeed);
  for (int n = 0; n < aNodes; ++n) {
    fleet->Add("zone" + std::to_string(n % aZones), "svc");
  }
  fleet->WriteConfig(5);
  fleet->StartAll();
  fleet->clock.RunFor(kSettleTime);
  REQUIRE(fleet->AllServe(5));
  return fleet;
}

} // namespace knapweedpaddle::fakes
