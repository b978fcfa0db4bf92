#include "TrialCases.h"

namespace knapweedpaddle::fakes {

using config::CallClass;

std::vector<Deployment>
Deployments()
{
  return {
    { "Coulee Chime",
      { "regina-yard", "saskatoon-hall", "lethbridge-vault" },
      { 5, 4, 3 },
      { { "lookup", CallClass::kIdempotent, 120 },
        { "push", CallClass::kAtMostOnce, 6 },
        { "check", CallClass::kCheck, 12 },
        { "lockdown", CallClass::kAtMostOnce, 0.02 } } },
    { "Swan Valley",
      { "perth-a", "perth-b", "perth-c" },
      { 5, 4, 3 },
      { { "status", CallClass::kIdempotent, 40 },
        { "booking", CallClass::kAtMostOnce, 2 },
        { "check", CallClass::kCheck, 6 },
        { "charge", CallClass::kAtMostOnce, 0.05 } } },
  };
}

std::vector<TrialCase>
CasesFor(const Deployment& aDeployment)
{
  struct Kind
  {
    VersionFault fault;
    double faultShare;
    int faultAfterSeconds;
  };
  static const std::vector<Kind> kKinds{
    { VersionFault::kNone, 0, 0 },
    { VersionFault::kNone, 0, 0 },
    { VersionFault::kBothFail, 0.3, 5 },
    { VersionFault::kFails, 1.0, 0 },
    { VersionFault::kFails, 0.3, 0 },
    { VersionFault::kFails, 0.5, 15 },
    { VersionFault::kFails, 0.5, 35 },
    { VersionFault::kSlow, 0.8, 0 },
    { VersionFault::kSlow, 0.5, 20 },
    { VersionFault::kFailsOnRoute, 0.6, 0 },
    { VersionFault::kFailsInZone, 0.6, 0 },
    { VersionFault::kFailsUnderLoad, 0.5, 0 },
  };
  std::vector<TrialCase> cases;
  std::uint64_t seed = 1;
  for (const auto backends : aDeployment.backendsPerService) {
    for (const auto& disturbance : kDisturbanceNames) {
      for (const auto& kind : kKinds) {
        TrialCase item;
        item.zones = aDeployment.zones;
        item.backendsPerVersion = backends;
        item.routes = aDeployment.routes;
        item.fault = kind.fault;
        item.faultShare = kind.faultShare;
        item.faultAfter = Milliseconds(kind.faultAfterSeconds * 1000);
        item.window = Milliseconds(90'000);
        item.disturbance = disturbance.value;
        item.seed = ++seed;
        cases.push_back(item);
      }
    }
  }
  return cases;
}

bool
HasBadVersion(const TrialCase& aCase)
{
  return aCase.fault != VersionFault::kNone &&
         aCase.fault != VersionFault::kBothFail;
}

std::string
DescribeCase(const TrialCase& aCase)
{
  return std::string(knapweedpaddle::NameOf(kVersionFaultNames, aCase.fault)) +
         " " + std::to_string(static_cast<int>(aCase.faultShare * 100)) +
         "% from " + std::to_string(aCase.faultAfter.count() / 1000) + " s, " +
         std::string(
           knapweedpaddle::NameOf(kDisturbanceNames, aCase.disturbance)) +
         ", " + std::to_string(aCase.backendsPerVersion) +
         " backend servers per version, seed " + std::to_string(aCase.seed);
}

} // namespace knapweedpaddle::fakes
