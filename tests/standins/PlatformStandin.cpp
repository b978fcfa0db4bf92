// The platform's table and object store as a process of its own, with faults
// that tests switch on by POST /fault {"mode": "...", "ms": N}.

#include "StopSignal.h"
#include "Table.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>
#include <pistache/endpoint.h>
#include <thread>

ABSL_FLAG(std::string, address, "127.0.0.1", "IPv4 address");
ABSL_FLAG(int, port, 7000, "TCP port");

namespace knapweedpaddle::standins {

namespace {

using Json = nlohmann::json;
using Pistache::Http::Code;
using Pistache::Http::Request;
using Pistache::Http::ResponseWriter;

enum class FaultMode
{
  kNone,
  kDown,        ///< answers 503 and does nothing
  kLoseAnswers, ///< does the work, then never answers
  kSlow,        ///< waits before each answer
};

constexpr std::array<EnumName<FaultMode>, 4> kFaultModeNames{ {
  { FaultMode::kNone, "none" },
  { FaultMode::kDown, "down" },
  { FaultMode::kLoseAnswers, "lose_answers" },
  { FaultMode::kSlow, "slow" },
} };

struct State
{
  std::mutex mutex;
  Table table;
  std::atomic<FaultMode> mode{ FaultMode::kNone };
  std::atomic<int> delayMs{ 0 };
  std::atomic<std::uint64_t> reads{ 0 };
  std::atomic<std::uint64_t> writes{ 0 };
};

struct Result
{
  Code code = Code::Ok;
  std::string body;
};

Json
RowsJson(const std::vector<platform::Row>& aRows)
{
  Json rows = Json::array();
  for (const auto& it : aRows) {
    rows.push_back({ { "key", it.key },
                     { "value", it.value },
                     { "revision", it.revision } });
  }
  return Json{ { "rows", rows } };
}

platform::Transaction
TransactionFrom(const Json& aJson)
{
  platform::Transaction transaction;
  for (const auto& it : aJson.at("conditions")) {
    transaction.conditions.push_back({ it.at("key"), it.at("revision") });
  }
  for (const auto& it : aJson.at("writes")) {
    const bool remove = it.value("remove", false);
    transaction.writes.push_back(
      { it.at("key"),
        remove ? std::string() : it.at("value").get<std::string>(),
        remove });
  }
  return transaction;
}

class PlatformHandler : public Pistache::Http::Handler
{
public:
  HTTP_PROTOTYPE(PlatformHandler)

  explicit PlatformHandler(std::shared_ptr<State> aState)
    : mState(std::move(aState))
  {
  }

  void onRequest(const Request& aRequest, ResponseWriter aWriter) override
  {
    const std::string& path = aRequest.resource();
    if (path == "/fault") {
      const Json json = Json::parse(aRequest.body());
      mState->delayMs = json.value("ms", 0);
      mState->mode =
        ValueOf(kFaultModeNames, json.at("mode").get<std::string>())
          .value_or(FaultMode::kNone);
      aWriter.send(Code::Ok, "");
      return;
    }
    if (path == "/counts") {
      aWriter.send(Code::Ok,
                   Json{ { "reads", mState->reads.load() },
                         { "writes", mState->writes.load() } }
                     .dump());
      return;
    }
    const FaultMode mode = mState->mode;
    if (mode == FaultMode::kDown) {
      aWriter.send(Code::Service_Unavailable, "down");
      return;
    }
    if (mode == FaultMode::kSlow) {
      std::this_thread::sleep_for(std::chrono::milliseconds(mState->delayMs));
    }
    const Result result = Work(path, aRequest);
    if (mode == FaultMode::kLoseAnswers) {
      const std::scoped_lock lock(mState->mutex);
      mUnanswered.push_back(
        std::make_shared<ResponseWriter>(std::move(aWriter)));
      return;
    }
    aWriter.send(result.code, result.body);
  }

private:
  Result Work(const std::string& aPath, const Request& aRequest)
  {
    const std::scoped_lock lock(mState->mutex);
    try {
      static const std::string kObjects = "/v1/objects/";
      if (aPath.starts_with(kObjects)) {
        return WorkOnObject(aPath.substr(kObjects.size()), aRequest);
      }
      const Json json = Json::parse(aRequest.body());
      if (aPath == "/v1/table/read") {
        ++mState->reads;
        return { Code::Ok,
                 RowsJson(mState->table.Read(json.at("keys"))).dump() };
      }
      if (aPath == "/v1/table/range") {
        ++mState->reads;
        const auto rows = mState->table.ReadRange(
          json.at("prefix"), json.at("first"), json.at("limit"));
        return { Code::Ok, RowsJson(rows).dump() };
      }
      if (aPath == "/v1/table/commit") {
        ++mState->writes;
        const auto failed = mState->table.Commit(TransactionFrom(json));
        return { failed.empty() ? Code::Ok : Code::Conflict,
                 Json{ { "failed", failed } }.dump() };
      }
      return { Code::Not_Found, "" };
    } catch (const Json::exception& e) {
      return { Code::Bad_Request, e.what() };
    }
  }

  Result WorkOnObject(const std::string& aName, const Request& aRequest)
  {
    if (aRequest.method() == Pistache::Http::Method::Put) {
      ++mState->writes;
      mState->table.PutObject(aName, aRequest.body());
      return { Code::Ok, "" };
    }
    ++mState->reads;
    const std::string* body = mState->table.GetObject(aName);
    return body ? Result{ Code::Ok, *body } : Result{ Code::Not_Found, "" };
  }

  std::shared_ptr<State> mState;
  std::vector<std::shared_ptr<ResponseWriter>> mUnanswered;
};

} // namespace

} // namespace knapweedpaddle::standins

int
main(int aCount, char** aArguments)
{
  using namespace knapweedpaddle::standins;

  absl::ParseCommandLine(aCount, aArguments);
  const StopSignal stop;
  const Pistache::Address address(
    absl::GetFlag(FLAGS_address),
    Pistache::Port(static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port))));
  Pistache::Http::Endpoint endpoint(address);
  constexpr std::size_t kMaxBytes = 32UL * 1024 * 1024;
  endpoint.init(Pistache::Http::Endpoint::options()
                  .threads(4)
                  .backlog(1024)
                  .maxRequestSize(kMaxBytes)
                  .maxResponseSize(kMaxBytes)
                  .flags(Pistache::Flags<Pistache::Tcp::Options>(
                           Pistache::Tcp::Options::ReuseAddr) |
                         Pistache::Tcp::Options::NoDelay));
  endpoint.setHandler(
    std::make_shared<PlatformHandler>(std::make_shared<State>()));
  endpoint.serveThreaded();
  stop.Wait();
  endpoint.shutdown();
  return 0;
}
