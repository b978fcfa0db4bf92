#include "knapweedpaddle/settings/NodeSettings.h"

#include "SettingList.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <arpa/inet.h>
#include <cstdlib>
#include <set>

#define KNAPWEED_TEXT_FLAG(aName, aDefault, aUnit, aRange, aHelp)              \
  ABSL_FLAG(std::string, aName, aDefault, aHelp " (" aUnit ")");
#define KNAPWEED_NUMBER_FLAG(aName, aType, aDefault, aMin, aMax, aUnit, aHelp) \
  ABSL_FLAG(                                                                   \
    aType, aName, aDefault, aHelp " (" aUnit ", " #aMin " to " #aMax ")");
KNAPWEED_SETTING_LIST(KNAPWEED_TEXT_FLAG, KNAPWEED_NUMBER_FLAG)

namespace knapweedpaddle::settings {

namespace {

constexpr std::size_t kMaxNameLength = 64;

std::string
EnvironmentName(absl::string_view aFlag)
{
  return absl::StrCat("KNAPWEED_", absl::AsciiStrToUpper(aFlag));
}

bool
IsAddress(const std::string& aText)
{
  in_addr address{};
  return inet_pton(AF_INET, aText.c_str(), &address) == 1;
}

bool
IsAddressWithPort(const std::string& aText)
{
  const std::vector<std::string> parts = absl::StrSplit(aText, ':');
  std::uint32_t port = 0;
  return parts.size() == 2 && IsAddress(parts[0]) &&
         absl::SimpleAtoi(parts[1], &port) && port >= 1 && port <= 65535;
}

std::vector<std::string>
SplitList(const std::string& aText)
{
  return absl::StrSplit(aText, ',', absl::SkipEmpty());
}

/** Checks settings and keeps the message about the first invalid one. */
class SettingsChecker
{
public:
  explicit SettingsChecker(std::string& aReason)
    : mReason(aReason)
  {
  }

  void Require(bool aIsValid,
               absl::string_view aName,
               absl::string_view aValue,
               absl::string_view aRange)
  {
    if (!aIsValid && mReason.empty()) {
      mReason = absl::StrCat("setting ",
                             aName,
                             " is \"",
                             aValue,
                             "\"; it must be ",
                             aRange,
                             " (or set ",
                             EnvironmentName(aName),
                             ")");
    }
  }

private:
  std::string& mReason;
};

void
CheckRanges(SettingsChecker& aChecker)
{
#define KNAPWEED_NO_CHECK(aName, aDefault, aUnit, aRange, aHelp)
#define KNAPWEED_CHECK_RANGE(aName, aType, aDefault, aMin, aMax, aUnit, aHelp) \
  {                                                                            \
    const auto value = static_cast<double>(absl::GetFlag(FLAGS_##aName));      \
    aChecker.Require(value >= (aMin) && value <= (aMax),                       \
                     #aName,                                                   \
                     absl::StrCat(value),                                      \
                     #aMin " to " #aMax);                                      \
  }
  KNAPWEED_SETTING_LIST(KNAPWEED_NO_CHECK, KNAPWEED_CHECK_RANGE)
#undef KNAPWEED_NO_CHECK
#undef KNAPWEED_CHECK_RANGE
}

void
CheckTexts(const NodeSettings& aSettings, SettingsChecker& aChecker)
{
  const auto isName = [](const std::string& aText) {
    return !aText.empty() && aText.size() <= kMaxNameLength;
  };
  aChecker.Require(IsAddress(aSettings.address),
                   "address",
                   aSettings.address,
                   "an IPv4 address");
  aChecker.Require(
    isName(aSettings.zone), "zone", aSettings.zone, "1 to 64 characters");
  aChecker.Require(
    isName(aSettings.mesh), "mesh", aSettings.mesh, "1 to 64 characters");
  aChecker.Require(IsAddressWithPort(aSettings.platform),
                   "platform",
                   aSettings.platform,
                   "IP:port");
  for (const auto& it : aSettings.seeds) {
    aChecker.Require(
      IsAddressWithPort(it), "seeds", it, "a comma separated list of IP:port");
  }
  aChecker.Require(aSettings.traceCollector.empty() ||
                     IsAddressWithPort(aSettings.traceCollector),
                   "trace_collector",
                   aSettings.traceCollector,
                   "IP:port or empty");
  static const std::set<std::string> kLevels{
    "debug", "info", "warning", "error"
  };
  aChecker.Require(kLevels.contains(aSettings.logLevel),
                   "log_level",
                   aSettings.logLevel,
                   "debug, info, warning or error");
}

std::vector<OperatorToken>
ParseOperators(const std::string& aText, SettingsChecker& aChecker)
{
  std::vector<OperatorToken> tokens;
  for (const auto& it : SplitList(aText)) {
    const std::pair<std::string, std::string> parts =
      absl::StrSplit(it, absl::MaxSplits('=', 1));
    aChecker.Require(!parts.first.empty() && !parts.second.empty(),
                     "operators",
                     parts.first,
                     "a comma separated list of owner=token");
    tokens.push_back({ parts.first, parts.second });
  }
  return tokens;
}

/** Returns the command line with a flag for each environment variable that is
 * set, before its own flags: the last flag of a name takes effect. */
std::vector<std::string>
WithEnvironmentFlags(int aCount, char** aArguments)
{
  std::vector<std::string> arguments{ aArguments[0] };
  for (const auto& it : SettingTable()) {
    if (const char* value = std::getenv(it.environment.c_str())) {
      arguments.push_back(absl::StrCat("--", it.name, "=", value));
    }
  }
  arguments.insert(arguments.end(), aArguments + 1, aArguments + aCount);
  return arguments;
}

NodeSettings
SettingsFromFlags(SettingsChecker& aChecker)
{
  NodeSettings settings;
  settings.address = absl::GetFlag(FLAGS_address);
  settings.zone = absl::GetFlag(FLAGS_zone);
  settings.mesh = absl::GetFlag(FLAGS_mesh);
  settings.platform = absl::GetFlag(FLAGS_platform);
  settings.seeds = SplitList(absl::GetFlag(FLAGS_seeds));
  settings.operators = ParseOperators(absl::GetFlag(FLAGS_operators), aChecker);
  settings.gossipPort =
    static_cast<std::uint16_t>(absl::GetFlag(FLAGS_gossip_port));
  settings.linkPort =
    static_cast<std::uint16_t>(absl::GetFlag(FLAGS_link_port));
  settings.callerPort =
    static_cast<std::uint16_t>(absl::GetFlag(FLAGS_caller_port));
  settings.platformTimeout =
    Milliseconds(absl::GetFlag(FLAGS_platform_timeout_ms));
  settings.drainTimeout = Milliseconds(absl::GetFlag(FLAGS_drain_timeout_ms));
  settings.checkSlots = absl::GetFlag(FLAGS_check_slots);
  settings.claimWritesPerSecond = absl::GetFlag(FLAGS_claim_writes_per_second);
  settings.traceCollector = absl::GetFlag(FLAGS_trace_collector);
  settings.traceShare = absl::GetFlag(FLAGS_trace_share);
  settings.logLevel = absl::GetFlag(FLAGS_log_level);
  return settings;
}

} // namespace

std::vector<SettingInfo>
SettingTable()
{
  std::vector<SettingInfo> table;
#define KNAPWEED_TEXT_ROW(aName, aDefault, aUnit, aRange, aHelp)               \
  table.push_back(                                                             \
    { #aName, EnvironmentName(#aName), aUnit, aDefault, aRange, aHelp });
#define KNAPWEED_NUMBER_ROW(aName, aType, aDefault, aMin, aMax, aUnit, aHelp)  \
  table.push_back({ #aName,                                                    \
                    EnvironmentName(#aName),                                   \
                    aUnit,                                                     \
                    #aDefault,                                                 \
                    #aMin " to " #aMax,                                        \
                    aHelp });
  KNAPWEED_SETTING_LIST(KNAPWEED_TEXT_ROW, KNAPWEED_NUMBER_ROW)
#undef KNAPWEED_TEXT_ROW
#undef KNAPWEED_NUMBER_ROW
  return table;
}

std::string
SettingsPage()
{
  std::string page =
    "# Settings of knapweedd\n\n"
    "Generated by `knapweedd --print_settings_page`. A flag takes precedence "
    "over its environment variable, and the variable over the default. With an "
    "invalid value, knapweedd does not start and ends with exit code 2.\n\n"
    "| flag | environment | unit | default | range | meaning |\n"
    "|---|---|---|---|---|---|\n";
  for (const auto& it : SettingTable()) {
    absl::StrAppend(&page,
                    "| `--",
                    it.name,
                    "` | `",
                    it.environment,
                    "` | ",
                    it.unit,
                    " | `",
                    it.defaultValue,
                    "` | ",
                    it.range,
                    " | ",
                    it.help,
                    " |\n");
  }
  return page;
}

std::optional<NodeSettings>
ParseNodeSettings(int aCount, char** aArguments, std::string& aReason)
{
  std::vector<std::string> arguments = WithEnvironmentFlags(aCount, aArguments);
  std::vector<char*> pointers;
  pointers.reserve(arguments.size());
  for (auto& it : arguments) {
    pointers.push_back(it.data());
  }
  absl::SetProgramUsageMessage(
    "runs a knapweedpaddle node; every flag can also be set by an environment "
    "variable KNAPWEED_<FLAG>");
  absl::ParseCommandLine(static_cast<int>(pointers.size()), pointers.data());

  aReason.clear();
  SettingsChecker checker(aReason);
  CheckRanges(checker);
  NodeSettings settings = SettingsFromFlags(checker);
  CheckTexts(settings, checker);
  if (!aReason.empty()) {
    return std::nullopt;
  }
  return settings;
}

} // namespace knapweedpaddle::settings
