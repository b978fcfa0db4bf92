#include "Processes.h"

#include "knapweedpaddle/runtime/EventLoop.h"
#include "knapweedpaddle/runtime/HttpClient.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace knapweedpaddle::processes {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kPollInterval{ 50 };

std::string
ProgramPath(const std::string& aName)
{
  return std::string(KNAPWEED_BUILD_DIR) + "/" + aName;
}

template<typename Condition>
bool
Await(int aTimeoutMs, Condition aCondition)
{
  const auto until =
    std::chrono::steady_clock::now() + std::chrono::milliseconds(aTimeoutMs);
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

/** Returns true if the status of every running node satisfies a condition. */
template<typename Condition>
bool
AllNodesSatisfy(const std::vector<std::unique_ptr<Machine>>& aMachines,
                Condition aCondition)
{
  return std::ranges::all_of(aMachines, [&](const auto& aMachine) {
    if (!aMachine->node || aMachine->node->Id() <= 0) {
      return true;
    }
    const Response response = SendRequest(
      "GET", "http://" + aMachine->CallerAddress() + "/-/v1/status");
    const Json status = Json::parse(response.body, nullptr, false);
    return status.is_object() && aCondition(status);
  });
}

} // namespace

Process::Process(const std::vector<std::string>& aCommand,
                 const std::string& aLog)
{
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (const auto& it : aCommand) {
    arguments.push_back(const_cast<char*>(it.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn(
        &mId, arguments[0], &actions, nullptr, arguments.data(), environ) !=
      0) {
    mId = -1;
  }
  posix_spawn_file_actions_destroy(&actions);
}

Process::~Process()
{
  if (mId > 0) {
    kill(mId, SIGKILL);
    waitpid(mId, nullptr, 0);
  }
}

void
Process::Signal(int aSignal) const
{
  if (mId > 0) {
    kill(mId, aSignal);
  }
}

int
Process::Wait(int aTimeoutMs)
{
  int status = 0;
  const bool ended = Await(aTimeoutMs, [&] {
    return mId <= 0 || waitpid(mId, &status, WNOHANG) == mId;
  });
  if (!ended) {
    return -2;
  }
  mId = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

Response
SendRequest(const std::string& aMethod,
            const std::string& aUrl,
            const std::string& aBody,
            const std::vector<std::string>& aHeaders,
            int aTimeoutMs)
{
  runtime::EventLoop loop;
  runtime::HttpClient client(loop, 1);
  runtime::HttpRequest request;
  request.method = aMethod;
  request.url = aUrl;
  request.body = aBody;
  request.timeout = Milliseconds(aTimeoutMs);
  request.neverRepeat = true;
  for (const auto& it : aHeaders) {
    const auto colon = it.find(": ");
    request.headers.push_back({ it.substr(0, colon), it.substr(colon + 2) });
  }
  Response response;
  client.Send(request,
              [&](const std::optional<runtime::HttpResponse>& aResponse,
                  const runtime::HttpReason&) {
                if (aResponse) {
                  response.status = aResponse->status;
                  response.body = aResponse->body;
                  response.outcome = aResponse->Header("knapweed-outcome");
                  response.callId = aResponse->Header("knapweed-call-id");
                }
                loop.Stop();
              });
  loop.Run();
  return response;
}

TestMesh::TestMesh(int aBasePort)
  : platformAddress("127.0.0.1:" + std::to_string(aBasePort))
  , mBasePort(aBasePort)
  , mStandinAddress(platformAddress)
{
  std::string pattern =
    std::filesystem::temp_directory_path() / "knapweed-test-XXXXXX";
  mFolder = mkdtemp(pattern.data());
  mPlatform = std::make_unique<Process>(
    std::vector<std::string>{ ProgramPath("tests/platform_standin"),
                              "--port=" + std::to_string(aBasePort) },
    mFolder + "/platform.log");
  Await(5000, [this] {
    return SendRequest("GET", "http://" + mStandinAddress + "/counts").status ==
           200;
  });
}

TestMesh::~TestMesh()
{
  machines.clear();
  mPlatform.reset();
  if (!keepFolder) {
    std::filesystem::remove_all(mFolder);
  }
}

Machine&
TestMesh::AddMachine(const std::string& aZone,
                     const std::string& aService,
                     const std::string& aVersion)
{
  auto machine = std::make_unique<Machine>();
  machine->zone = aZone;
  machine->service = aService;
  machine->version = aVersion;
  machine->basePort = mBasePort + 10 * (1 + static_cast<int>(machines.size()));
  machines.push_back(std::move(machine));
  StartNode(*machines.back());
  StartBackend(*machines.back());
  return *machines.back();
}

void
TestMesh::StartNode(Machine& aMachine)
{
  const int port = aMachine.basePort;
  aMachine.node = std::make_unique<Process>(
    std::vector<std::string>{ ProgramPath("apps/knapweedd"),
                              "--zone=" + aMachine.zone,
                              "--platform=" + platformAddress,
                              "--gossip_port=" + std::to_string(port),
                              "--link_port=" + std::to_string(port + 1),
                              "--caller_port=" + std::to_string(port + 2),
                              "--operators=coulee=secret" },
    mFolder + "/node-" + std::to_string(port) + ".log");
}

void
TestMesh::StartBackend(Machine& aMachine)
{
  const int port = aMachine.basePort;
  std::vector<std::string> command{ ProgramPath("tests/backend_standin"),
                                    "--port=" + std::to_string(port + 3),
                                    "--node=" + aMachine.CallerAddress(),
                                    "--service=" + aMachine.service,
                                    "--version=" + aMachine.version,
                                    "--log=" + mFolder + "/calls-" +
                                      std::to_string(port) };
  command.insert(command.end(), backendFlags.begin(), backendFlags.end());
  aMachine.backend = std::make_unique<Process>(
    command, mFolder + "/backend-" + std::to_string(port) + ".log");
}

bool
TestMesh::AwaitVersion(std::uint64_t aVersion, int aTimeoutMs)
{
  return Await(aTimeoutMs, [&] {
    return AllNodesSatisfy(machines, [aVersion](const Json& aStatus) {
      return aStatus["serving"].get<bool>() && aStatus["version"] >= aVersion;
    });
  });
}

bool
TestMesh::AwaitServers(std::size_t aCount, int aTimeoutMs)
{
  return Await(aTimeoutMs, [&] {
    return AllNodesSatisfy(machines, [aCount](const Json& aStatus) {
      std::size_t serving = 0;
      for (const auto& it : aStatus["members"]) {
        serving +=
          it["state"] == "serving" && it["liveness"] == "alive" ? 1 : 0;
      }
      return serving == aCount;
    });
  });
}

int
TestMesh::ApplyFile(const Machine& aMachine, const std::string& aFile)
{
  Process process({ ProgramPath("apps/knapweed"),
                    "--node=" + aMachine.CallerAddress(),
                    "--token=secret",
                    "apply",
                    aFile },
                  mFolder + "/apply.log");
  return process.Wait(20'000);
}

void
TestMesh::SetPlatformFault(const std::string& aMode, int aMs)
{
  SendRequest("POST",
              "http://" + mStandinAddress + "/fault",
              Json{ { "mode", aMode }, { "ms", aMs } }.dump());
}

std::vector<std::string>
TestMesh::ReadBackendLogs() const
{
  std::vector<std::string> lines;
  for (const auto& it : machines) {
    std::ifstream file(mFolder + "/calls-" + std::to_string(it->basePort));
    for (std::string line; std::getline(file, line);) {
      lines.push_back(line);
    }
  }
  return lines;
}

} // namespace knapweedpaddle::processes
