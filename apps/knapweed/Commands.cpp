#include "Commands.h"

#include "ApiClient.h"
#include "knapweedpaddle/telemetry/RequestLog.h"

#include <chrono>
#include <cstdio>
#include <fstream>
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
constexpr int kExitUnknown = 4;
constexpr int kExitUnavailable = 5;
constexpr int kExitTakenBack = 6;

constexpr std::chrono::milliseconds kWatchInterval{ 250 };

int
Usage(const std::string& aMessage)
{
  std::fprintf(
    stderr, "knapweed: %s\n\nknapweed %s\n", aMessage.c_str(), kUsage);
  return kExitUsage;
}

int
ExitCodeFor(int aStatus)
{
  static const std::map<int, int> kCodes{ { 200, kExitOk },
                                          { 409, kExitConflict },
                                          { 504, kExitUnknown },
                                          { 503, kExitUnavailable },
                                          { 0, kExitUnavailable } };
  const auto it = kCodes.find(aStatus);
  return it == kCodes.end() ? kExitRefused : it->second;
}

/** Prints a failed answer's message and returns its exit code. */
int
Fail(const ApiAnswer& aAnswer)
{
  const std::string message = aAnswer.json.is_object()
                                ? aAnswer.json.value("message", aAnswer.text)
                                : aAnswer.text;
  std::fprintf(stderr, "knapweed: %s\n", message.c_str());
  return ExitCodeFor(aAnswer.status);
}

std::string
RandomOperationId()
{
  std::random_device device;
  std::ostringstream text;
  text << std::hex << device() << device() << device();
  return text.str();
}

std::string
Field(const Json& aObject, const char* aName)
{
  if (!aObject.contains(aName)) {
    return "";
  }
  const Json& value = aObject[aName];
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/** Prints objects as a table of the named fields. */
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

/** One run of the command line. */
class Session
{
public:
  explicit Session(const Options& aOptions)
    : mOptions(aOptions)
    , mClient(aOptions.node, aOptions.token, aOptions.timeoutMs)
  {
  }

  int Apply(const std::string& aFile)
  {
    Json entries;
    if (!ReadEntries(aFile, entries)) {
      return kExitUsage;
    }
    if (const auto answer = mClient.Get("/-/v1/entries");
        answer.status == 200) {
      FillRevisions(entries, answer.json["entries"]);
    } else {
      return Fail(answer);
    }
    return Submit(Json{ { "entries", entries } });
  }

  int Get(const std::string& aId)
  {
    return Show(mClient.Get("/-/v1/entries/" + aId));
  }

  int List()
  {
    const auto answer = mClient.Get("/-/v1/entries");
    if (answer.status != 200 || mOptions.json) {
      return Show(answer);
    }
    std::printf("version %s\n", Field(answer.json, "version").c_str());
    PrintTable(answer.json["entries"], { "kind", "name", "owner", "revision" });
    return kExitOk;
  }

  int Delete(const std::string& aId)
  {
    const auto answer = mClient.Get("/-/v1/entries/" + aId);
    if (answer.status != 200) {
      return Fail(answer);
    }
    const Json removal{ { "id", aId },
                        { "revision", answer.json["revision"] } };
    return Submit(Json{ { "remove", Json::array({ removal }) } });
  }

  int History() { return Show(mClient.Get("/-/v1/history")); }

  int Status()
  {
    const auto answer = mClient.Get("/-/v1/status");
    if (answer.status != 200 || mOptions.json) {
      return Show(answer);
    }
    std::printf("version %s  serving %s\n",
                Field(answer.json, "version").c_str(),
                Field(answer.json, "serving").c_str());
    PrintZones(answer.json);
    PrintTable(answer.json["members"],
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
    return Show(mClient.Get("/-/v1/explain/" + aKind + "/" + aName));
  }

  /** Reads the logs of any nodes from standard input. */
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
    const auto answer = mClient.Get("/-/v1/entries");
    if (answer.status != 200) {
      return Fail(answer);
    }
    Json moves = Json::array();
    for (const auto& it : answer.json["entries"]) {
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
    if (!ReadEntries(aFile, entries)) {
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
    return Usage("file \"" + aFile + "\" has no move entry");
  }

  int MoveWatch(const std::string& aName)
  {
    std::string last;
    while (true) {
      const auto answer = mClient.Get("/-/v1/explain/move/" + aName);
      if (answer.status != 200) {
        return Fail(answer);
      }
      const std::string state = Field(answer.json, "state");
      std::string line = state;
      for (const auto& it : answer.json["zones"]) {
        line += "  " + Field(it, "zone") + "=" + Field(it, "share");
      }
      if (line != last) {
        std::printf("%s\n", line.c_str());
        std::fflush(stdout);
        last = line;
      }
      if (state != "open") {
        std::printf("move %s: %s: %s\n",
                    aName.c_str(),
                    state.c_str(),
                    Field(answer.json, "reason").c_str());
        return state == "done" ? kExitOk : kExitTakenBack;
      }
      std::this_thread::sleep_for(kWatchInterval);
    }
  }

private:
  static bool ReadEntries(const std::string& aFile, Json& aEntries)
  {
    std::ifstream file(aFile);
    if (!file) {
      Usage("file \"" + aFile + "\" can't be read");
      return false;
    }
    std::stringstream text;
    text << file.rdbuf();
    try {
      const Json json = Json::parse(text.str());
      aEntries = json.is_array() ? json : json.at("entries");
      return true;
    } catch (const Json::exception& e) {
      Usage("file \"" + aFile + "\": " + e.what());
      return false;
    }
  }

  /** Sets the revision of each entry that has none to the current one, as the
   * operator is assumed to have read it. */
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

  int Submit(Json aRequest)
  {
    const std::string operation =
      mOptions.operationId.empty() ? RandomOperationId() : mOptions.operationId;
    aRequest["operation_id"] = operation;
    const auto answer = mClient.Post("/-/v1/changes", aRequest.dump());
    if (answer.status == 200) {
      return mOptions.json ? Show(answer) : PrintAccepted(answer.json);
    }
    const int code = answer.status == 0 ? kExitUnknown : Fail(answer);
    if (code == kExitUnknown) {
      std::fprintf(
        stderr,
        "knapweed: the outcome is unknown; repeat with --operation_id=%s\n",
        operation.c_str());
    }
    return code;
  }

  static int PrintAccepted(const Json& aJson)
  {
    std::printf("accepted as version %s\n", Field(aJson, "version").c_str());
    return kExitOk;
  }

  static int Show(const ApiAnswer& aAnswer)
  {
    if (aAnswer.status != 200) {
      return Fail(aAnswer);
    }
    std::printf("%s\n", aAnswer.json.dump(2).c_str());
    return kExitOk;
  }

  static void PrintZones(const Json& aStatus)
  {
    std::map<std::string, std::set<std::string>> versions;
    for (const auto& it : aStatus["members"]) {
      if (it["liveness"] != "dead") {
        versions[Field(it, "zone")].insert(Field(it, "config_version"));
      }
    }
    for (const auto& [zone, list] : versions) {
      std::printf("zone %s: versions last heard", zone.c_str());
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
  std::vector<std::string> words;
  std::size_t arguments;
  std::function<int(Session&, const std::vector<std::string>&)> run;
};

const std::vector<Command>&
Commands()
{
  using Words = std::vector<std::string>;
  static const std::vector<Command> kCommands{
    { { "apply" },
      1,
      [](Session& aSession, const Words& aWords) {
        return aSession.Apply(aWords[0]);
      } },
    { { "get" },
      1,
      [](Session& aSession, const Words& aWords) {
        return aSession.Get(aWords[0]);
      } },
    { { "list" },
      0,
      [](Session& aSession, const Words&) { return aSession.List(); } },
    { { "delete" },
      1,
      [](Session& aSession, const Words& aWords) {
        return aSession.Delete(aWords[0]);
      } },
    { { "history" },
      0,
      [](Session& aSession, const Words&) { return aSession.History(); } },
    { { "status" },
      0,
      [](Session& aSession, const Words&) { return aSession.Status(); } },
    { { "move", "start" },
      1,
      [](Session& aSession, const Words& aWords) {
        return aSession.MoveStart(aWords[0]);
      } },
    { { "move", "watch" },
      1,
      [](Session& aSession, const Words& aWords) {
        return aSession.MoveWatch(aWords[0]);
      } },
    { { "move", "list" },
      0,
      [](Session& aSession, const Words&) { return aSession.MoveList(); } },
    { { "explain", "call" },
      1,
      [](Session& aSession, const Words& aWords) {
        return aSession.Explain("call", aWords[0]);
      } },
    { { "explain", "move" },
      1,
      [](Session& aSession, const Words& aWords) {
        return aSession.Explain("move", aWords[0]);
      } },
    { { "explain", "log" },
      1,
      [](Session&, const Words& aWords) {
        return Session::ExplainLog(aWords[0]);
      } },
  };
  return kCommands;
}

} // namespace

int
Run(const Options& aOptions, const std::vector<std::string>& aCommand)
{
  if (aCommand.empty()) {
    return Usage("no command is given");
  }
  for (const auto& it : Commands()) {
    const std::size_t n = it.words.size();
    if (aCommand.size() != n + it.arguments ||
        !std::equal(it.words.begin(), it.words.end(), aCommand.begin())) {
      continue;
    }
    Session session(aOptions);
    const auto first = aCommand.begin() + static_cast<std::ptrdiff_t>(n);
    return it.run(session, { first, aCommand.end() });
  }
  return Usage("command \"" + aCommand[0] +
               "\" does not exist or lacks an argument");
}

} // namespace knapweedpaddle::cli
