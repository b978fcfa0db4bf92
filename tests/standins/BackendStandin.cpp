// Stands in for a backend server: answers calls to every path after a service
// time, announces itself to its node, and logs the start and the end of each
// call. Faults are set by the flag --fail_share or by POST /fault with a JSON
// object; its keys are fail_share, slow_ms, path, hang, die_unanswered,
// rate_limit and leaving. The last two are named in the answers to all paths.

#include "StopSignal.h"
#include "knapweedpaddle/backends/BackendDialect.h"
#include "knapweedpaddle/runtime/EventLoop.h"
#include "knapweedpaddle/runtime/HttpClient.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <nlohmann/json.hpp>
#include <pistache/endpoint.h>
#include <random>
#include <sstream>
#include <thread>

ABSL_FLAG(std::string, address, "127.0.0.1", "IPv4 address");
ABSL_FLAG(int, port, 7200, "TCP port");
ABSL_FLAG(std::string,
          node,
          "127.0.0.1:7102",
          "IP:port of the node on this VM, its caller port");
ABSL_FLAG(std::string, service, "timetable", "service name");
ABSL_FLAG(std::string, version, "v1", "version name");
ABSL_FLAG(int, slots, 12, "number of calls that the server takes at a time");
ABSL_FLAG(int, service_ms, 1, "time that a call takes (ms)");
ABSL_FLAG(double, fail_share, 0, "share of calls answered with status 500");
ABSL_FLAG(std::string,
          log,
          "",
          "file to which the start and end of each call are appended");

namespace knapweedpaddle::standins {

namespace {

using Json = nlohmann::json;
using Pistache::Http::Code;
using Pistache::Http::Request;
using Pistache::Http::ResponseWriter;
using runtime::EventLoop;

/** Faults that the server applies to calls. */
struct Faults
{
  double failShare = 0;       ///< share of calls answered with status 500
  int slowMs = 0;             ///< added to the service time (ms)
  std::string path;           ///< prefix of the paths affected; empty for all
  bool hang = false;          ///< calls start but are never answered
  bool dieUnanswered = false; ///< the process exits when a call has started
  std::string rateLimit; ///< calls a second that the server names; empty: none
  bool leaving = false;  ///< answers say that the server leaves
};

std::string
HeaderValue(const Request& aRequest, const std::string& aName)
{
  const auto raw = aRequest.headers().tryGetRaw(aName);
  return raw ? raw->value() : std::string();
}

/** Runs calls, and answers them from the event loop after the service time. */
class Backend
{
public:
  explicit Backend(EventLoop& aLoop)
    : mLoop(aLoop)
    , mVersion(absl::GetFlag(FLAGS_version))
    , mServiceMs(absl::GetFlag(FLAGS_service_ms))
  {
    mFaults.failShare = absl::GetFlag(FLAGS_fail_share);
    if (const std::string path = absl::GetFlag(FLAGS_log); !path.empty()) {
      mLog = std::fopen(path.c_str(), "a");
    }
  }

  void SetFaults(const Json& aJson)
  {
    const std::scoped_lock lock(mMutex);
    mFaults.failShare = aJson.value("fail_share", 0.0);
    mFaults.slowMs = aJson.value("slow_ms", 0);
    mFaults.path = aJson.value("path", "");
    mFaults.hang = aJson.value("hang", false);
    mFaults.dieUnanswered = aJson.value("die_unanswered", false);
    mFaults.rateLimit = aJson.value("rate_limit", "");
    mFaults.leaving = aJson.value("leaving", false);
  }

  /** Runs a call with the faults set for its path. */
  void RunCall(const Request& aRequest, ResponseWriter aWriter)
  {
    const std::string callId = HeaderValue(aRequest, "knapweed-call-id");
    const std::string key = HeaderValue(aRequest, "idempotency-key");
    const std::string& resource = aRequest.resource();
    const Faults faults = FaultsForPath(resource);
    LogEvent("start", callId, key, resource);
    if (faults.hang) {
      const std::scoped_lock lock(mMutex);
      mHangingRequests.push_back(
        std::make_shared<ResponseWriter>(std::move(aWriter)));
      return;
    }
    if (faults.dieUnanswered) {
      std::fflush(nullptr);
      std::_Exit(1);
    }
    const bool fails = DrawShare() < faults.failShare;
    const auto writer = std::make_shared<ResponseWriter>(std::move(aWriter));
    const std::string body = "version=" + mVersion + " call=" + callId +
                             " path=" + resource + " echo=" + aRequest.body() +
                             "\n";
    const auto answer = [this, writer, body, fails, callId, key, resource] {
      LogEvent("end", callId, key, resource);
      AddSignals(*writer);
      writer->send(fails ? Code::Internal_Server_Error : Code::Ok, body);
    };
    const int delay = mServiceMs + faults.slowMs;
    if (delay <= 0) {
      answer();
      return;
    }
    mLoop.Post(
      [this, delay, answer] { mLoop.RunAfter(Milliseconds(delay), answer); });
  }

  bool draining = false;

private:
  Faults FaultsForPath(const std::string& aPath)
  {
    const std::scoped_lock lock(mMutex);
    return aPath.starts_with(mFaults.path) ? mFaults : Faults{};
  }

  /** Adds the headers by which the server tells its state. */
  void AddSignals(ResponseWriter& aWriter)
  {
    const std::scoped_lock lock(mMutex);
    const auto add = [&aWriter](const std::string& aName,
                                const std::string& aValue) {
      aWriter.headers().addRaw(Pistache::Http::Header::Raw(aName, aValue));
    };
    const backends::BackendDialect dialect;
    if (!mFaults.rateLimit.empty()) {
      add(dialect.rateLimit, mFaults.rateLimit);
    }
    if (mFaults.leaving) {
      add(dialect.leaving, "1");
    }
  }

  /** Draws a random number from 0 to 1. */
  double DrawShare()
  {
    const std::scoped_lock lock(mMutex);
    return std::uniform_real_distribution<double>(0, 1)(mRandom);
  }

  /** Appends a line to the call log: event, time in microseconds, version, call
   * id, idempotency key (- for none) and path. */
  void LogEvent(const char* aEvent,
                const std::string& aCallId,
                const std::string& aKey,
                const std::string& aPath)
  {
    if (!mLog) {
      return;
    }
    std::ostringstream line;
    line << aEvent << ' ' << WallMicroseconds() << ' ' << mVersion << ' '
         << aCallId << ' ' << (aKey.empty() ? "-" : aKey) << ' ' << aPath
         << '\n';
    const std::scoped_lock lock(mMutex);
    std::fputs(line.str().c_str(), mLog);
    std::fflush(mLog);
  }

  EventLoop& mLoop;
  std::string mVersion;
  int mServiceMs;
  std::mutex mMutex;
  Faults mFaults;
  std::mt19937_64 mRandom{ 1 };
  std::FILE* mLog = nullptr;
  /** Writers of calls that hang; kept so that their connections stay open. */
  std::vector<std::shared_ptr<ResponseWriter>> mHangingRequests;
};

class BackendHandler : public Pistache::Http::Handler
{
public:
  HTTP_PROTOTYPE(BackendHandler)

  explicit BackendHandler(std::shared_ptr<Backend> aBackend)
    : mBackend(std::move(aBackend))
  {
  }

  void onRequest(const Request& aRequest, ResponseWriter aWriter) override
  {
    if (aRequest.resource() == "/fault") {
      mBackend->SetFaults(Json::parse(aRequest.body()));
      aWriter.send(Code::Ok, "");
      return;
    }
    if (aRequest.resource() == "/health") {
      aWriter.send(Code::Ok, "ok");
      return;
    }
    mBackend->RunCall(aRequest, std::move(aWriter));
  }

private:
  std::shared_ptr<Backend> mBackend;
};

/** Announces this server to its node, at once and then every 500 ms. */
class Announcer
{
public:
  explicit Announcer(EventLoop& aLoop)
    : mHttp(aLoop, 1)
  {
    aLoop.Post([this] { Announce(); });
    aLoop.RunEvery(Milliseconds(500), [this] { Announce(); });
  }

private:
  void Announce()
  {
    runtime::HttpRequest request;
    request.method = "POST";
    request.url = "http://" + absl::GetFlag(FLAGS_node) + "/-/v1/announce";
    request.body = Json{
      { "address",
        absl::GetFlag(FLAGS_address) + ":" +
          std::to_string(absl::GetFlag(FLAGS_port)) },
      { "service", absl::GetFlag(FLAGS_service) },
      { "version", absl::GetFlag(FLAGS_version) },
      { "slots", absl::GetFlag(FLAGS_slots) }
    }.dump();
    mHttp.Send(std::move(request),
               [](const std::optional<runtime::HttpResponse>&,
                  const runtime::HttpReason&) {});
  }

  runtime::HttpClient mHttp;
};

} // namespace

} // namespace knapweedpaddle::standins

int
main(int aCount, char** aArguments)
{
  using namespace knapweedpaddle;
  using namespace knapweedpaddle::standins;

  absl::ParseCommandLine(aCount, aArguments);
  const StopSignal stop;
  EventLoop loop;
  const auto backend = std::make_shared<Backend>(loop);
  Pistache::Http::Endpoint endpoint(Pistache::Address(
    absl::GetFlag(FLAGS_address),
    Pistache::Port(static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port)))));
  endpoint.init(Pistache::Http::Endpoint::options()
                  .threads(1)
                  .backlog(1024)
                  .maxRequestSize(8UL * 1024 * 1024)
                  .maxResponseSize(8UL * 1024 * 1024)
                  .flags(Pistache::Flags<Pistache::Tcp::Options>(
                           Pistache::Tcp::Options::ReuseAddr) |
                         Pistache::Tcp::Options::NoDelay));
  endpoint.setHandler(std::make_shared<BackendHandler>(backend));
  endpoint.serveThreaded();
  const Announcer announcer(loop);
  std::thread thread([&loop] { loop.Run(); });
  stop.Wait();
  endpoint.shutdown();
  loop.Stop();
  thread.join();
  return 0;
}
