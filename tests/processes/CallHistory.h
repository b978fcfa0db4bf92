#pragma once

#include "Processes.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace knapweedpaddle::processes {

/** One call as its caller saw it. */
struct CallerRecord
{
  std::string callId;
  std::string key;
  std::string outcome;
  bool atMostOnce = false;
  bool isIntact = true; ///< an answer is the one made for this call
};

struct HistorySummary
{
  std::size_t calls = 0;
  std::size_t answered = 0;
  std::size_t notRun = 0;
  std::size_t unknown = 0;
  std::size_t notRunButRan = 0;     ///< P6
  std::size_t repeatedRuns = 0;     ///< P7
  std::size_t corruptResponses = 0; ///< P5
};

/** Calls several nodes from several threads and keeps the history. */
class CallHistory
{
public:
  /** Starts callers; each works on the mesh's machines in turn. */
  CallHistory(const TestMesh& aMesh, std::size_t aCallers);
  ~CallHistory();

  /** Stops the callers and compares both sides' records. */
  HistorySummary Check();

  /** Number of calls that were answered so far. */
  std::size_t AnsweredCalls() const { return mAnswered; }

private:
  void RunCaller(std::size_t aCaller);

  const TestMesh& mMesh;
  std::atomic<bool> mStop{ false };
  std::atomic<std::size_t> mAnswered{ 0 };
  std::mutex mMutex;
  std::vector<CallerRecord> mRecords;
  std::vector<std::thread> mThreads;
};

} // namespace knapweedpaddle::processes
