#pragma once

#include "MoveTrial.h"

namespace knapweedpaddle::fakes {

/** One of the users' deployments at today's size. */
struct Deployment
{
  std::string name;
  std::vector<std::string> zones;
  std::vector<std::size_t> backendsPerService; ///< of each of its services
  std::vector<TrialRoute> routes;              ///< of each service
};

/** Returns Coulee Chime & Signal and Swan Valley Edge Works. */
std::vector<Deployment>
Deployments();

/** Returns the fixed list of seeded cases of a deployment. */
std::vector<TrialCase>
CasesFor(const Deployment& aDeployment);

/** True when the case's version must be taken back. */
bool
HasBadVersion(const TrialCase& aCase);

/** Returns a short name of a case. */
std::string
DescribeCase(const TrialCase& aCase);

} // namespace knapweedpaddle::fakes
