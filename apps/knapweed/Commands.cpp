#include "Commands.h"

#include "ApiClient.h"
#include "ConfigFile.h"
#include "knapweedpaddle/config/ConfigCheck.h"
#include "knapweedpaddle/telemetry/RequestLog.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <thread>

namespace knapweedpaddle::cli {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitRefused = 1;
constexpr int kExitUsage = 2;
constexpr int kExitConflict = 3;
constexpr int kExitOutcomeUnknown = 4;
constexpr int kExitUnavailable = 5;
constexpr int kExitTakenBack = 6;
constexpr int kExitWarnings = 7;

constexpr std::chrono::milliseconds kWatchInterval{ 250 };

/** Prints an error and the usage, and returns the exit code for bad usage. */
int
PrintUsageError(const std::string& aMessage)
{
  std::fprintf(
    stderr, "knapweed: %s\n\nknapweed %s\n", aMessage.c_str(), kUsage);
  return kExitUsage;
}

/** Returns the exit code for an HTTP status, 0 for no response. */
int
ExitCodeFor(int aStatus)
{
  static const std::map<int, int> kCodes{ { 200, kExitOk },
                                          { 409, kExitConflict },
                                          { 504, kExitOutcomeUnknown },
                                          { 503, kExitUnavailable },
                                          { 0, kExitUnavailable } };
  const auto it = kCodes.find(aStatus);
  return it == kCodes.end() ? kExitRefused : it->second;
}

/** Prints the message of an error response and returns the exit code for it. */
int
PrintError(const ApiResponse& aResponse)
{
  const std::string message =
    aResponse.json.is_object() ? aResponse.json.value("message", aResponse.text)
                               : aResponse.text;
  std::fprintf(stderr, "knapweed: %s\n", message.c_str());
  return ExitCodeFor(aResponse.status);
}

std::string
RandomOperationId()
{
  std::random_device device;
  std::ostringstream text;
  text << std::hex << device() << device() << device();
  return text.str();
}

/** Returns a field as text, or "" if it is missing. */
std::string
Field(const Json& aObject, const char* aName)
{
  if (!aObject.contains(aName)) {
    return "";
  }
  const Json& value = aObject[aName];
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/** Prints a table with a row for each object and a column for each field. */
void
PrintTable(const Json& aRows, const std::vector<const char*>& aFields)
{
  std::vector<std::size_t> widths;
  for (const char* it : aFields) {
    std::size_t width = std::string(it).size();
    for (const auto& row : aRows) {
      width = std::max(width, Field(row, it).size());
    }
    widths.push_back(width);
  }
  const auto printRow =
    [&](const std::function<std::string(const char*)>& aCell) {
      for (std::size_t n = 0; n < aFields.size(); ++n) {
        std::printf(
          "%-*s  ", static_cast<int>(widths[n]), aCell(aFields[n]).c_str());
      }
      std::printf("\n");
    };
  printRow([](const char* aName) { return std::string(aName); });
  for (const auto& row : aRows) {
    printRow([&row](const char* aName) { return Field(row, aName); });
  }
}

/** Runs the commands. Each method returns the exit code. */
class CommandRunner
{
public:
  explicit CommandRunner(const Options& aOptions)
    : mOptions(aOptions)
    , mClient(aOptions.node, aOptions.token, aOptions.timeoutMs)
  {
  }

  /** Checks a configuration in a file; with a second one, also prints what the
   * first one changes against it. */
  static int CheckFile(const std::vector<std::string>& aFiles)
  {
    std::vector<config::SnapshotPtr> snapshots;
    for (const auto& it : aFiles) {
      std::string reason;
      snapshots.push_back(ReadConfigFile(it, reason));
      if (!snapshots.back()) {
        std::fprintf(stderr, "knapweed: %s: %s\n", it.c_str(), reason.c_str());
        return kExitRefused;
      }
    }
    int code = kExitOk;
    for (const auto& it : config::Check(*snapshots[0])) {
      std::printf(
        "%s %s: %s\n",
        std::string(NameOf(config::kFindingLevelNames, it.level)).c_str(),
        it.entry.c_str(),
        it.message.c_str());
      const bool isError = it.level == config::FindingLevel::kError;
      code = isError || code == kExitRefused ? kExitRefused : kExitWarnings;
    }
    if (snapshots.size() > 1) {
      for (const auto& it :
           config::DescribeChanges(*snapshots[1], *snapshots[0])) {
        std::printf("%s\n", it.c_str());
      }
    }
    return code;
  }

  int Apply(const std::string& aFile)
  {
    Json entries;
    if (!LoadEntries(aFile, entries)) {
      return kExitUsage;
    }
    if (const auto response = mClient.Get("/-/v1/entries");
        response.status == 200) {
      FillRevisions(entries, response.json["entries"]);
    } else {
      return PrintError(response);
    }
    return Submit(Json{ { "entries", entries } });
  }

  int Get(const std::string& aId)
  {
    return PrintJson(mClient.Get("/-/v1/entries/" + aId));
  }

  int List()
  {
    const auto response = mClient.Get("/-/v1/entries");
    if (response.status != 200 || mOptions.json) {
      return PrintJson(response);
    }
    std::printf("version %s\n", Field(response.json, "version").c_str());
    PrintTable(response.json["entries"],
               { "kind", "name", "owner", "revision" });
    return kExitOk;
  }

  int Delete(const std::string& aId)
  {
    const auto response = mClient.Get("/-/v1/entries/" + aId);
    if (response.status != 200) {
      return PrintError(response);
    }
    const Json removal{ { "id", aId },
                        { "revision", response.json["revision"] } };
    return Submit(Json{ { "remove", Json::array({ removal }) } });
  }

  int History() { return PrintJson(mClient.Get("/-/v1/history")); }

  int Status()
  {
    const auto response = mClient.Get("/-/v1/status");
    if (response.status != 200 || mOptions.json) {
      return PrintJson(response);
    }
    std::printf("version %s  serving %s\n",
                Field(response.json, "version").c_str(),
                Field(response.json, "serving").c_str());
    PrintZones(response.json);
    PrintTable(response.json["members"],
               { "node",
                 "zone",
                 "service",
                 "version",
                 "state",
                 "liveness",
                 "config_version" });
    return kExitOk;
  }

  int Explain(const std::string& aKind, const std::string& aName)
  {
    return PrintJson(mClient.Get("/-/v1/explain/" + aKind + "/" + aName));
  }

  /** Explains a request from log lines of any nodes, read from standard input.
   */
  static int ExplainLog(const std::string& aId)
  {
    const telemetry::RequestLog requestLog(std::cin, aId);
    for (const auto& line : requestLog.Lines()) {
      std::printf("%s%s", line.prefix.c_str(), line.time.c_str());
      for (const auto& [key, value] : line.fields) {
        std::printf("\n    %-9s %s", key.c_str(), value.c_str());
      }
      std::printf("\n");
    }
    std::printf("%s: %s\n", aId.c_str(), requestLog.Cause().c_str());
    return requestLog.Lines().empty() ? kExitRefused : kExitOk;
  }

  int MoveList()
  {
    const auto response = mClient.Get("/-/v1/entries");
    if (response.status != 200) {
      return PrintError(response);
    }
    Json moves = Json::array();
    for (const auto& it : response.json["entries"]) {
      if (it["kind"] == "move") {
        moves.push_back(it);
      }
    }
    if (mOptions.json) {
      std::printf("%s\n", moves.dump(2).c_str());
    } else {
      PrintTable(
        moves,
        { "name", "service", "from_version", "to_version", "state", "reason" });
    }
    return kExitOk;
  }

  int MoveStart(const std::string& aFile)
  {
    Json entries;
    if (!LoadEntries(aFile, entries)) {
      return kExitUsage;
    }
    if (const int code = Apply(aFile); code != kExitOk) {
      return code;
    }
    for (const auto& it : entries) {
      if (it.value("kind", "") == "move") {
        return MoveWatch(it.value("name", ""));
      }
    }
    return PrintUsageError("file \"" + aFile + "\" has no move entry");
  }

  int MoveWatch(const std::string& aName)
  {
    std::string lastLine;
    while (true) {
      const auto response = mClient.Get("/-/v1/explain/move/" + aName);
      if (response.status != 200) {
        return PrintError(response);
      }
      const std::string state = Field(response.json, "state");
      std::string line = state;
      for (const auto& it : response.json["zones"]) {
        line += "  " + Field(it, "zone") + "=" + Field(it, "share");
      }
      if (line != lastLine) {
        std::printf("%s\n", line.c_str());
        std::fflush(stdout);
        lastLine = line;
      }
      if (state != "open") {
        std::printf("move %s: %s: %s\n",
                    aName.c_str(),
                    state.c_str(),
                    Field(response.json, "reason").c_str());
        return state == "done" ? kExitOk : kExitTakenBack;
      }
      std::this_thread::sleep_for(kWatchInterval);
    }
  }

private:
  /** Reads the entries of a catalogue file. Prints an error and returns false
   * if that fails. */
  static bool LoadEntries(const std::string& aFile, Json& aEntries)
  {
    std::string reason;
    const auto entries = ReadEntries(aFile, reason);
    if (!entries) {
      PrintUsageError("file \"" + aFile + "\": " + reason);
      return false;
    }
    aEntries = *entries;
    return true;
  }

  /** Sets the revision of each entry that has none to the one in force, on the
   * assumption that the operator has seen that one. */
  static void FillRevisions(Json& aEntries, const Json& aInForce)
  {
    for (auto& entry : aEntries) {
      if (!entry.is_object() || entry.contains("revision")) {
        continue;
      }
      for (const auto& it : aInForce) {
        if (it["kind"] == entry.value("kind", "") &&
            it["name"] == entry.value("name", "")) {
          entry["revision"] = it["revision"];
        }
      }
    }
  }

  /** Sends a change under an operation id and prints the result. */
  int Submit(Json aRequest)
  {
    const std::string operation =
      mOptions.operationId.empty() ? RandomOperationId() : mOptions.operationId;
    aRequest["operation_id"] = operation;
    const auto response = mClient.Post("/-/v1/changes", aRequest.dump());
    if (response.status == 200) {
      return mOptions.json ? PrintJson(response) : PrintAccepted(response.json);
    }
    const int code =
      response.status == 0 ? kExitOutcomeUnknown : PrintError(response);
    if (code == kExitOutcomeUnknown) {
      std::fprintf(
        stderr,
        "knapweed: the outcome of the operation is unknown; repeat the command "
        "with --operation_id=%s\n",
        operation.c_str());
    }
    return code;
  }

  static int PrintAccepted(const Json& aJson)
  {
    std::printf("accepted as version %s\n", Field(aJson, "version").c_str());
    return kExitOk;
  }

  /** Prints a response as JSON. */
  static int PrintJson(const ApiResponse& aResponse)
  {
    if (aResponse.status != 200) {
      return PrintError(aResponse);
    }
    std::printf("%s\n", aResponse.json.dump(2).c_str());
    return kExitOk;
  }

  /** Prints the configuration versions of the members of each zone. */
  static void PrintZones(const Json& aStatus)
  {
    std::map<std::string, std::set<std::string>> versions;
    for (const auto& it : aStatus["members"]) {
      if (it["liveness"] != "dead") {
        versions[Field(it, "zone")].insert(Field(it, "config_version"));
      }
    }
    for (const auto& [zone, list] : versions) {
      std::printf("zone %s: versions last reported", zone.c_str());
      for (const auto& it : list) {
        std::printf(" %s", it.c_str());
      }
      std::printf("\n");
    }
  }

  Options mOptions;
  ApiClient mClient;
};

struct Command
{
  std::vector<std::string> words; ///< name of the command, such as "move list"
  std::size_t argumentCount;      ///< arguments that follow the name
  std::function<int(CommandRunner&, const std::vector<std::string>&)> run;
};

const std::vector<Command>&
Commands()
{
  using Words = std::vector<std::string>;
  static const std::vector<Command> kCommands{
    { { "apply" },
      1,
      [](CommandRunner& aRunner, const Words& aWords) {
        return aRunner.Apply(aWords[0]);
      } },
    { { "check" },
      1,
      [](CommandRunner&, const Words& aWords) {
        return CommandRunner::CheckFile(aWords);
      } },
    { { "check" },
      2,
      [](CommandRunner&, const Words& aWords) {
        return CommandRunner::CheckFile(aWords);
      } },
    { { "get" },
      1,
      [](CommandRunner& aRunner, const Words& aWords) {
        return aRunner.Get(aWords[0]);
      } },
    { { "list" },
      0,
      [](CommandRunner& aRunner, const Words&) { return aRunner.List(); } },
    { { "delete" },
      1,
      [](CommandRunner& aRunner, const Words& aWords) {
        return aRunner.Delete(aWords[0]);
      } },
    { { "history" },
      0,
      [](CommandRunner& aRunner, const Words&) { return aRunner.History(); } },
    { { "status" },
      0,
      [](CommandRunner& aRunner, const Words&) { return aRunner.Status(); } },
    { { "move", "start" },
      1,
      [](CommandRunner& aRunner, const Words& aWords) {
        return aRunner.MoveStart(aWords[0]);
      } },
    { { "move", "watch" },
      1,
      [](CommandRunner& aRunner, const Words& aWords) {
        return aRunner.MoveWatch(aWords[0]);
      } },
    { { "move", "list" },
      0,
      [](CommandRunner& aRunner, const Words&) { return aRunner.MoveList(); } },
    { { "explain", "call" },
      1,
      [](CommandRunner& aRunner, const Words& aWords) {
        return aRunner.Explain("call", aWords[0]);
      } },
    { { "explain", "move" },
      1,
      [](CommandRunner& aRunner, const Words& aWords) {
        return aRunner.Explain("move", aWords[0]);
      } },
    { { "explain", "log" },
      1,
      [](CommandRunner&, const Words& aWords) {
        return CommandRunner::ExplainLog(aWords[0]);
      } },
  };
  return kCommands;
}

} // namespace

int
Run(const Options& aOptions, const std::vector<std::string>& aCommand)
{
  if (aCommand.empty()) {
    return PrintUsageError("missing command");
  }
  for (const auto& it : Commands()) {
    const std::size_t n = it.words.size();
    if (aCommand.size() != n + it.argumentCount ||
        !std::equal(it.words.begin(), it.words.end(), aCommand.begin())) {
      continue;
    }
    CommandRunner runner(aOptions);
    const auto first = aCommand.begin() + static_cast<std::ptrdiff_t>(n);
    return it.run(runner, { first, aCommand.end() });
  }
  return PrintUsageError(
    "command \"" + aCommand[0] +
    "\" does not exist or has a wrong number of arguments");
}

} // namespace knapweedpaddle::cli
