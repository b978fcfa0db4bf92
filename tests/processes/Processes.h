#pragma once

#include <csignal>
#include <cstdint>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace knapweedpaddle::processes {

/** A child process of a test; the destructor kills it. */
class Process
{
public:
  /** @param aLog  file to which the program's output is appended. */
  Process(const std::vector<std::string>& aCommand, const std::string& aLog);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /** Sends a signal if the process was not yet waited for. */
  void Signal(int aSignal) const;

  /** Waits until the process ends.
   *
   * @return the exit code, -1 if a signal ended the process, -2 at the timeout.
   */
  int Wait(int aTimeoutMs);

  /** Returns the process id; -1 if the start failed or the end was seen. */
  pid_t Id() const { return mId; }

private:
  pid_t mId = -1;
};

/** The processes and ports of one VM: a node and its backend server. */
struct Machine
{
  std::string zone;
  std::string service;
  std::string version;
  int basePort = 0; ///< first of the machine's ten ports
  std::unique_ptr<Process> node;
  std::unique_ptr<Process> backend;

  std::string CallerAddress() const
  {
    return "127.0.0.1:" + std::to_string(basePort + 2);
  }
  std::string BackendAddress() const
  {
    return "127.0.0.1:" + std::to_string(basePort + 3);
  }
};

/** The response to an HTTP request; status 0 if none arrived. */
struct Response
{
  int status = 0;
  std::string body;
  std::string outcome; ///< header Knapweed-Outcome
  std::string callId;  ///< header Knapweed-Call-Id
};

/** Sends an HTTP request once and waits for the response. */
Response
SendRequest(const std::string& aMethod,
            const std::string& aUrl,
            const std::string& aBody = "",
            const std::vector<std::string>& aHeaders = {},
            int aTimeoutMs = 4000);

/** A mesh of real processes: the platform stand-in and machines. */
class TestMesh
{
public:
  /** Starts the platform stand-in.
   *
   * @param aBasePort  the stand-in's port; machine n uses the ten ports from
   *                   aBasePort + 10 * n on, counted from 1. */
  explicit TestMesh(int aBasePort);
  ~TestMesh();

  /** Adds a machine and starts its node and backend server. */
  Machine& AddMachine(const std::string& aZone,
                      const std::string& aService,
                      const std::string& aVersion);
  void StartNode(Machine& aMachine);
  void StartBackend(Machine& aMachine);

  /** Waits until every running node serves with at least a configuration
   * version; returns false at the timeout. */
  bool AwaitVersion(std::uint64_t aVersion, int aTimeoutMs);

  /** Waits until every running node sees exactly a number of members that are
   * alive and serving; returns false at the timeout. */
  bool AwaitServers(std::size_t aCount, int aTimeoutMs);

  /** Runs `knapweed apply` with a file; returns its exit code. */
  int ApplyFile(const Machine& aMachine, const std::string& aFile);

  /** Sets the platform stand-in's fault mode.
   *
   * @param aMs  delay in ms of the mode "slow". */
  void SetPlatformFault(const std::string& aMode, int aMs = 0);

  /** Returns the lines of all call logs that the backend servers wrote. */
  std::vector<std::string> ReadBackendLogs() const;

  /** Returns the temporary folder that holds all logs. */
  const std::string& Folder() const { return mFolder; }

  std::vector<std::unique_ptr<Machine>> machines;
  /** Additional command line flags of backend servers started from now on. */
  std::vector<std::string> backendFlags;
  bool keepFolder = false; ///< the destructor keeps the folder with the logs
  /** Platform address given to nodes started from now on. */
  std::string platformAddress;

private:
  int mBasePort;
  std::string mFolder;
  std::string mStandinAddress; ///< address of the platform stand-in
  std::unique_ptr<Process> mPlatform;
};

} // namespace knapweedpaddle::processes
