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
    mThreads.emplace_back([this, n] { RunCaller(n); });
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
CallHistory::RunCaller(std::size_t aCaller)
{
  std::mt19937_64 random(aCaller + 1);
  for (std::size_t n = 0; !mStop; ++n) {
    const Machine& machine = *mMesh.machines[random() % mMesh.machines.size()];
    const std::string nonce = std::to_string(aCaller) + "-" + std::to_string(n);
    CallerRecord record;
    std::vector<std::string> headers;
    std::string path = "/timetable/" + nonce;
    record.atMostOnce = n % 2 == 0;
    if (record.atMostOnce) {
      path = "/dispatch/push/" + nonce;
      if (n % 4 == 0) {
        // The 64 keys are shared, so that callers repeat their own and others'
        // keys.
        record.key = "key-" + std::to_string(random() % 64);
        headers.push_back("Idempotency-Key: " + record.key);
      }
    }
    const Response response = SendRequest(
      "POST", "http://" + machine.CallerAddress() + path, nonce, headers, 3000);
    record.callId = response.callId;
    record.outcome = response.outcome;
    if (response.outcome == "answered") {
      ++mAnswered;
      record.isIntact = response.status == 200 &&
                        response.body.ends_with("echo=" + nonce + "\n") &&
                        response.body.find("call=" + response.callId + ".") !=
                          std::string::npos;
    }
    const std::scoped_lock lock(mMutex);
    mRecords.push_back(record);
  }
}

HistorySummary
CallHistory::Check()
{
  mStop = true;
  for (auto& it : mThreads) {
    it.join();
  }
  mThreads.clear();

  std::map<std::string, std::size_t> runsOfCall;
  std::map<std::string, std::size_t> runsOfKey;
  for (const auto& line : mMesh.ReadBackendLogs()) {
    std::istringstream text(line);
    std::string event;
    std::string time;
    std::string version;
    std::string call;
    std::string key;
    text >> event >> time >> version >> call >> key;
    if (event == "start") {
      ++runsOfCall[call.substr(0, call.rfind('.'))];
      if (key != "-") {
        ++runsOfKey[key];
      }
    }
  }
  HistorySummary summary;
  summary.calls = mRecords.size();
  for (const auto& it : mRecords) {
    summary.answered += it.outcome == "answered" ? 1 : 0;
    summary.notRun += it.outcome == "not-run" ? 1 : 0;
    summary.unknown += it.outcome == "unknown" || it.outcome.empty() ? 1 : 0;
    summary.corruptResponses += it.isIntact ? 0 : 1;
    const std::size_t runs = it.callId.empty() ? 0 : runsOfCall[it.callId];
    summary.notRunButRan += it.outcome == "not-run" && runs > 0 ? 1 : 0;
    summary.repeatedRuns += it.atMostOnce && runs > 1 ? 1 : 0;
  }
  for (const auto& [key, runs] : runsOfKey) {
    summary.repeatedRuns += runs > 1 ? 1 : 0;
  }
  return summary;
}

} // namespace knapweedpaddle::processes
