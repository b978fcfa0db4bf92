#pragma once

#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedpaddle::settings {

/** Settings of a node that runs on the users' platform (node::FleetNode). */
struct FleetSettings
{
  std::string name;    ///< name of the VM
  std::string address; ///< IPv4 address of the VM
  std::string zone;    ///< availability zone of the VM
  /** All availability zones of the fleet; at least the VM's own. */
  std::vector<std::string> zones;
  std::string callerAddress;  ///< "IP:port" to serve the VM's own callers at
  std::string readyAddress;   ///< "IP:port" to serve readiness checks at
  std::string reportAddress;  ///< "IP:port" for reports of the backend server
  std::string metricsAddress; ///< "IP:port" to serve metrics at; empty for none
  std::string backendAddress; ///< "IP:port" of the VM's backend server
  std::string service;        ///< service of the VM's backend server
  std::string storeAddress;   ///< "IP:port" of the platform's store
  std::uint16_t firstPort = 0; ///< first port for traffic between nodes
  std::uint16_t lastPort = 0;  ///< last port for traffic between nodes
  /** Interval at which the backend server sends reports. */
  Milliseconds reportInterval{ 1500 };
  /** Time from the stop signal until the platform kills the process. */
  Milliseconds gracePeriod{ 6000 };
  /** Time within which an accepted configuration is in force on this node. */
  Milliseconds configApplyTime{ 2000 };
  /** Rate of the VM's network link, in Mbit/s; 0 if it is not known. */
  double linkMbps = 0;
  /** Memory and descriptors of this process, beyond which the platform ends it;
   * 0 if they are not known. */
  double memoryMb = 0;
  std::size_t maxDescriptors = 0;
  /** Retries allowed per call, over all nodes together. */
  double retryBudgetRatio = 0.2;
  /** Retries allowed per budget window beyond that ratio, over all nodes
   * together. */
  double retryBudgetSlack = 60;
  /** Second tries of slow calls permitted for each call, over a service; 0:
   * none.
   */
  double hedgeShare = 0.13;
  /** Factor by which the calls of any second may exceed the rate that a cold
   * backend server takes. */
  double warmupOvershoot = 1;
  /** A call with a caller's key runs only if the configuration was known to be
   * the newest within this time before; 0: whatever its age. */
  Milliseconds maxKeyAge{ 0 };

  bool operator==(const FleetSettings&) const = default;
};

} // namespace knapweedpaddle::settings
