#include "CallHistory.h"

#include <map>
#include <random>
#include <set>
#include <sstream>

namespace knapweedpaddle::processes {

CallHistory::CallHistory(const TestMesh& aMesh, std::size_t aCallers)
  : mMesh(aMesh)
{
  for (std::size_t n = 0; n < aCallers; ++n) {
    mThreads.emplace_back([this, n] { Work(n); });
  }
}

CallHistory::~CallHistory()
{
  mStop = true;
  for (auto& it : mThreads) {
    it.join();
  }
}

void
CallHistory::Work(std::size_t aCaller)
{
  std::mt19937_64 random(aCaller + 1);
  for (std::size_t n = 0; !mStop; ++n) {
    const Machine& machine = *mMesh.machines[random() % mMesh.machines.size()];
    const std::string nonce = std::to_string(aCaller) + "-" + std::to_string(n);
    CallerEntry entry;
    std::vector<std::string> headers;
    std::string path = "/timetable/" + nonce;
    entry.atMostOnce = n % 2 == 0;
    if (entry.atMostOnce) {
      path = "/dispatch/push/" + nonce;
      if (n % 4 == 0) {
        // Callers repeat keys, their own and each other's.
        entry.key = "key-" + std::to_string(random() % 64);
        headers.push_back("Idempotency-Key: " + entry.key);
      }
    }
    const Answer answer = Ask(
      "POST", "http://" + machine.CallerAddress() + path, nonce, headers, 3000);
    entry.callId = answer.callId;
    entry.outcome = answer.outcome;
    if (answer.outcome == "answered") {
      ++mAnswered;
      entry.whole =
        answer.status == 200 && answer.body.ends_with("echo=" + nonce + "\n") &&
        answer.body.find("call=" + answer.callId + ".") != std::string::npos;
    }
    const std::scoped_lock lock(mMutex);
    mEntries.push_back(entry);
  }
}

HistoryFaults
CallHistory::Check()
{
  mStop = true;
  for (auto& it : mThreads) {
    it.join();
  }
  mThreads.clear();

  std::map<std::string, std::size_t> runsOfCall;
  std::map<std::string, std::size_t> runsOfKey;
  for (const auto& line : mMesh.BackendLines()) {
    std::istringstream text(line);
    std::string what;
    std::string time;
    std::string version;
    std::string call;
    std::string key;
    text >> what >> time >> version >> call >> key;
    if (what == "start") {
      ++runsOfCall[call.substr(0, call.rfind('.'))];
      if (key != "-") {
        ++runsOfKey[key];
      }
    }
  }
  HistoryFaults faults;
  faults.calls = mEntries.size();
  for (const auto& it : mEntries) {
    faults.answered += it.outcome == "answered" ? 1 : 0;
    faults.notRun += it.outcome == "not-run" ? 1 : 0;
    faults.unknown += it.outcome == "unknown" || it.outcome.empty() ? 1 : 0;
    faults.notWhole += it.whole ? 0 : 1;
    const std::size_t runs = it.callId.empty() ? 0 : runsOfCall[it.callId];
    faults.falseNotRun += it.outcome == "not-run" && runs > 0 ? 1 : 0;
    faults.doubles += it.atMostOnce && runs > 1 ? 1 : 0;
  }
  for (const auto& [key, runs] : runsOfKey) {
    faults.doubles += runs > 1 ? 1 : 0;
  }
  return faults;
}

} // namespace knapweedpaddle::processes
