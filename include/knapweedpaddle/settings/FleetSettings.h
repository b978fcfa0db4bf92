#pragma once

#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <string>

namespace knapweedpaddle::settings {

/** Settings of a node that runs on the users' platform. */
struct FleetSettings
{
  std::string name;    ///< name of the VM
  std::string address; ///< IPv4 address of the VM
  std::string zone;
  std::string callerAddress;   ///< "IP:port" for the VM's own callers
  std::string readyAddress;    ///< "IP:port" for readiness checks
  std::string reportAddress;   ///< "IP:port" for the backend server's reports
  std::string metricsAddress;  ///< "IP:port"; empty: not served
  std::string backendAddress;  ///< "IP:port" of the VM's backend server
  std::string service;         ///< service of the VM's backend server
  std::string storeAddress;    ///< "IP:port"
  std::uint16_t firstPort = 0; ///< first of the ports for traffic between nodes
  std::uint16_t lastPort = 0;  ///< last of the ports for traffic between nodes
  /** Time between two reports of the backend server. */
  Milliseconds reportInterval{ 1500 };
  /** Time from the stop signal until the process is killed. */
  Milliseconds stopTime{ 6000 };
  double retryRatio = 0.2; ///< retries per call that all nodes may make
  double retrySlack = 60;  ///< retries allowed in each window in addition

  bool operator==(const FleetSettings&) const = default;
};

} // namespace knapweedpaddle::settings
