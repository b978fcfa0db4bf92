#pragma once

#include "knapweedpaddle/common/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/** Typed settings of nodes. */
namespace knapweedpaddle::settings {

/** A token with which an operator may write the entries of one owner. */
struct OperatorToken
{
  std::string owner;
  std::string token;
};

/** Settings of knapweedd, read from flags and environment variables. */
struct NodeSettings
{
  std::string address; ///< IPv4 address of all of the node's ports
  std::string zone;
  std::string mesh;
  std::string platform;           ///< "IP:port" of the platform's store
  std::vector<std::string> seeds; ///< "IP:port" of nodes to join through
  std::vector<OperatorToken> operators;
  std::uint16_t gossipPort = 0;
  std::uint16_t linkPort = 0;
  std::uint16_t callerPort = 0;
  Milliseconds platformTimeout{ 0 };
  Milliseconds drainTimeout{ 0 };
  std::uint32_t checkSlots = 0; ///< slots reserved for calls of class check
  std::uint32_t claimWritesPerSecond = 0; ///< limit of writes for claims
  std::string traceCollector; ///< "IP:port" that spans go to; empty for none
  double traceShare = 0;      ///< share of traced calls, 0 to 1
  std::string logLevel;
};

/** Description of one setting. */
struct SettingInfo
{
  std::string name;        ///< name of the flag, without the dashes
  std::string environment; ///< name of the environment variable
  std::string unit;
  std::string defaultValue;
  std::string range;
  std::string help;
};

/** Returns the descriptions of all settings, as shown by docs/SETTINGS.md. */
std::vector<SettingInfo>
SettingTable();

/** Returns the Markdown page docs/SETTINGS.md. */
std::string
SettingsPage();

/**
 * Parses the command line. A flag takes precedence over its environment
 * variable, and the variable over the default.
 *
 * @return nothing, with the setting, its value and its valid range in aReason,
 * if a value is not valid.
 */
std::optional<NodeSettings>
ParseNodeSettings(int aCount, char** aArguments, std::string& aReason);

} // namespace knapweedpaddle::settings
