#pragma once

#include <csignal>
#include <cstdint>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace knapweedpaddle::processes {

/** A child process of a test; killed when it goes out of scope. */
class Process
{
public:
  /** @param aLog  file that takes the program's output. */
  Process(const std::vector<std::string>& aCommand, const std::string& aLog);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int aSignal) const;

  /** Waits for the end; returns the exit code, -1 after a signal, -2 at the
   * timeout. */
  int Wait(int aTimeoutMs);

  pid_t Id() const { return mId; }

private:
  pid_t mId = -1;
};

/** One VM: a node and its backend server. */
struct Machine
{
  std::string zone;
  std::string service;
  std::string version;
  int basePort = 0;
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

/** An answer to an HTTP request; status 0 for none. */
struct Response
{
  int status = 0;
  std::string body;
  std::string outcome;
  std::string callId;
};

/** Sends one request and waits for its answer. */
Response
SendRequest(const std::string& aMethod,
            const std::string& aUrl,
            const std::string& aBody = "",
            const std::vector<std::string>& aHeaders = {},
            int aTimeoutMs = 4000);

/** A platform stand-in and machines in three zones. */
class TestMesh
{
public:
  /** @param aBasePort  first of the ports used; each machine takes ten. */
  explicit TestMesh(int aBasePort);
  ~TestMesh();

  Machine& AddMachine(const std::string& aZone,
                      const std::string& aService,
                      const std::string& aVersion);
  void StartNode(Machine& aMachine);
  void StartBackend(Machine& aMachine);

  /** Waits until every running node serves at least a version; false at the
   * timeout. */
  bool AwaitVersion(std::uint64_t aVersion, int aTimeoutMs);

  /** Waits until every running node sees a number of serving backend servers.
   */
  bool AwaitServers(std::size_t aCount, int aTimeoutMs);

  /** Applies a catalogue file with the command line; returns its exit code. */
  int ApplyFile(const Machine& aMachine, const std::string& aFile);

  /** Sets the platform stand-in's fault. */
  void SetPlatformFault(const std::string& aMode, int aMs = 0);

  /** Returns all lines that the backend servers wrote of calls. */
  std::vector<std::string> ReadBackendLogs() const;

  const std::string& Folder() const { return mFolder; }

  std::vector<std::unique_ptr<Machine>> machines;
  std::vector<std::string>
    backendFlags;          ///< further flags of backend servers started
  bool keepFolder = false; ///< with all logs, when the mesh ends
  /** Where nodes started from now on find the platform. */
  std::string platformAddress;

private:
  int mBasePort;
  std::string mFolder;
  std::string mStandinAddress; ///< the stand-in's own
  std::unique_ptr<Process> mPlatform;
};

} // namespace knapweedpaddle::processes
