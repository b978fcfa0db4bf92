#pragma once

#include "Processes.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace knapweedpaddle::processes {

/** One call as its caller saw it. */
struct CallerEntry
{
  std::string callId;
  std::string key;
  std::string outcome;
  bool atMostOnce = false;
  bool whole = true; ///< an answer is the one made for this call
};

struct HistoryFaults
{
  std::size_t calls = 0;
  std::size_t answered = 0;
  std::size_t notRun = 0;
  std::size_t unknown = 0;
  std::size_t falseNotRun = 0; ///< P6
  std::size_t doubles = 0;     ///< P7
  std::size_t notWhole = 0;    ///< P5
};

/** Calls several nodes from several threads and keeps the history. */
class CallHistory
{
public:
  /** Starts callers; each works on the mesh's machines in turn. */
  CallHistory(const TestMesh& aMesh, std::size_t aCallers);
  ~CallHistory();

  /** Stops the callers and compares both sides' records. */
  HistoryFaults Check();

  /** Number of calls that were answered so far. */
  std::size_t Answered() const { return mAnswered; }

private:
  void Work(std::size_t aCaller);

  const TestMesh& mMesh;
  std::atomic<bool> mStop{ false };
  std::atomic<std::size_t> mAnswered{ 0 };
  std::mutex mMutex;
  std::vector<CallerEntry> mEntries;
  std::vector<std::thread> mThreads;
};

} // namespace knapweedpaddle::processes
