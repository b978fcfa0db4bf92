#pragma once

#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/** Typed settings, read from flags and environment variables. */
namespace knapweedpaddle::settings {

/** Who may write the entries of one owner. */
struct OperatorToken
{
  std::string owner;
  std::string token;
};

/** Settings that a node reads at its start. */
struct NodeSettings
{
  std::string address; ///< IPv4 address of all of the node's ports
  std::string zone;
  std::string mesh;
  std::string platform; ///< "IP:port"
  std::vector<std::string> seeds;
  std::vector<OperatorToken> operators;
  std::uint16_t gossipPort = 0;
  std::uint16_t linkPort = 0;
  std::uint16_t callerPort = 0;
  Milliseconds platformTimeout{ 0 };
  Milliseconds drainTimeout{ 0 };
  std::uint32_t checkSlots = 0;
  std::uint32_t claimWritesPerSecond = 0;
  std::string traceCollector; ///< "IP:port", or empty for none
  double traceShare = 0;
  std::string logLevel;
};

/** One row of the table of settings. */
struct SettingInfo
{
  std::string name;        ///< flag name
  std::string environment; ///< environment variable
  std::string unit;
  std::string defaultValue;
  std::string range;
  std::string help;
};

/** Returns the table from which --help and docs/SETTINGS.md are made. */
std::vector<SettingInfo>
SettingTable();

/** Returns the table as the Markdown page docs/SETTINGS.md. */
std::string
SettingsPage();

/**
 * Parses the command line. A flag goes before its environment variable, which
 * goes before the default.
 *
 * @return nothing, with a line that names the setting, its value and its
 * range in aReason, for a bad value.
 */
std::optional<NodeSettings>
ParseNodeSettings(int aCount, char** aArguments, std::string& aReason);

} // namespace knapweedpaddle::settings
