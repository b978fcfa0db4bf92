#pragma once

#include "MoveTrial.h"

namespace knapweedpaddle::fakes {

/** The size, zones and load of a user's deployment. */
struct Deployment
{
  std::string name;
  std::vector<std::string> zones;
  /** Number of backend servers of each service. */
  std::vector<std::size_t> backendsPerService;
  std::vector<TrialRoute> routes; ///< Routes of each service.
};

/**
 * Returns the deployments of Coulee Chime & Signal and of Swan Valley Edge
 * Works.
 */
std::vector<Deployment>
Deployments();

/** Returns the same list of cases with the same seeds at each call. */
std::vector<TrialCase>
CasesFor(const Deployment& aDeployment);

/** True when only the new version fails; the move must then be taken back. */
bool
HasBadVersion(const TrialCase& aCase);

/** Returns a one-line description of a case for test output. */
std::string
DescribeCase(const TrialCase& aCase);

} // namespace knapweedpaddle::fakes
