#pragma once

#include "Processes.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace knapweedpaddle::processes {

/** A call as recorded by its caller. */
struct CallerRecord
{
  std::string callId;
  std::string key;     ///< idempotency key; empty for none
  std::string outcome; ///< Knapweed-Outcome; empty without a response
  bool atMostOnce = false;
  bool isIntact = true; ///< false if the response is not the one to this call
};

/** Counts of calls and of violations of the properties P5, P6 and P7. */
struct HistorySummary
{
  std::size_t calls = 0;
  std::size_t answered = 0;
  std::size_t notRun = 0;
  std::size_t unknown = 0;
  /** Calls reported as not-run that ran all the same (violates P6). */
  std::size_t notRunButRan = 0;
  /** At-most-once calls and idempotency keys that ran more than once (violates
   * P7). */
  std::size_t repeatedRuns = 0;
  /** Answered calls whose response was not the one to the call (violates P5).
   */
  std::size_t corruptResponses = 0;
};

/** Sends calls to random nodes from several threads and records each call. */
class CallHistory
{
public:
  /** Starts caller threads; each sends its calls to randomly drawn machines. */
  CallHistory(const TestMesh& aMesh, std::size_t aCallers);
  ~CallHistory();

  /** Stops the callers and compares their records with the backend servers'
   * logs. */
  HistorySummary Check();

  /** Returns the number of calls answered so far. */
  std::size_t AnsweredCalls() const { return mAnswered; }

private:
  /** Sends calls one after the other until the callers are stopped. */
  void RunCaller(std::size_t aCaller);

  const TestMesh& mMesh;
  std::atomic<bool> mStop{ false };
  std::atomic<std::size_t> mAnswered{ 0 };
  std::mutex mMutex;
  std::vector<CallerRecord> mRecords;
  std::vector<std::thread> mThreads;
};

} // namespace knapweedpaddle::processes
