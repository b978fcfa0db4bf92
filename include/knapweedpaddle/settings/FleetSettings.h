#pragma once

#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <string>

namespace knapweedpaddle::settings {

/** What a node that runs on the users' platform is told. */
struct FleetSettings
{
  std::string name;    ///< of the VM
  std::string address; ///< IPv4 address of the VM
  std::string zone;
  std::string callerAddress;   ///< "IP:port" for the VM's own callers
  std::string readyAddress;    ///< "IP:port" for readiness checks
  std::string reportAddress;   ///< "IP:port" for the backend server's reports
  std::string metricsAddress;  ///< "IP:port"; empty: not served
  std::string backendAddress;  ///< "IP:port" of the VM's backend server
  std::string service;         ///< of the VM's backend server
  std::string storeAddress;    ///< "IP:port"
  std::uint16_t firstPort = 0; ///< of those free for use between nodes
  std::uint16_t lastPort = 0;
  Milliseconds reportInterval{ 1500 }; ///< of the backend server's reports
  Milliseconds gracePeriod{ 6000 };    ///< from a stop signal to the kill
  double retryBudgetRatio = 0.2;       ///< retries for each call, all nodes
  double retryBudgetSlack = 60;        ///< further retries in each window

  bool operator==(const FleetSettings&) const = default;
};

} // namespace knapweedpaddle::settings
