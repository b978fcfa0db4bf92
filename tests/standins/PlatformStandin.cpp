// Stands in for the platform's row and object store, as a process of its own.
// POST /fault {"mode": "...", "ms": N} sets a fault mode and the delay of the
// mode "slow"; GET /counts returns the numbers of reads and writes.

#include "InMemoryStore.h"
#include "StopSignal.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/escaping.h>
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

/** How the stand-in treats requests to the store. */
enum class FaultMode
{
  kNone,
  kDown,        ///< answers 503 without a read or write
  kLoseAnswers, ///< performs the request but never answers
  kSlow,        ///< waits before each answer
};

constexpr std::array<EnumName<FaultMode>, 4> kFaultModeNames{ {
  { FaultMode::kNone, "none" },
  { FaultMode::kDown, "down" },
  { FaultMode::kLoseAnswers, "lose_answers" },
  { FaultMode::kSlow, "slow" },
} };

/** State that the handlers of all server threads share. */
struct StandinState
{
  std::mutex mutex;
  InMemoryStore store; ///< guarded by the mutex
  std::atomic<FaultMode> mode{ FaultMode::kNone };
  std::atomic<int> delayMs{ 0 }; ///< of each answer in mode kSlow
  std::atomic<std::uint64_t> reads{ 0 };
  std::atomic<std::uint64_t> writes{ 0 };
};

/** Status code and body of a response. */
struct HandlerResult
{
  Code code = Code::Ok;
  std::string body;
};

/** Rows of this table are stored without the table's name in their keys. */
constexpr const char* kDefaultTable = "catalogue";

/** Returns a row's key as knapweedd's store client forms it, from the table's
 * name and the key in the table. */
std::string
RowKey(const std::string& aTable, const std::string& aKey)
{
  return aTable == kDefaultTable ? aKey : aTable + "/" + aKey;
}

Json
RowJson(const store::Row& aRow)
{
  const auto slash = aRow.key.find('/');
  const bool isDefaultTable = slash == std::string::npos;
  Json row{ { "table",
              isDefaultTable ? kDefaultTable : aRow.key.substr(0, slash) },
            { "part", "" },
            { "key", isDefaultTable ? aRow.key : aRow.key.substr(slash + 1) },
            { "ver", aRow.revision } };
  if (aRow.revision == 0) {
    row["tombstone"] = true;
  } else {
    row["value"] = absl::Base64Escape(aRow.value);
  }
  return row;
}

Json
RowsJson(const std::vector<store::Row>& aRows, std::uint64_t aRevision)
{
  Json rows = Json::array();
  for (const auto& it : aRows) {
    rows.push_back(RowJson(it));
  }
  return Json{ { "rows", rows },
               { "truncated", false },
               { "ver", aRevision },
               { "now-s", 0.0 } };
}

store::Transaction
TransactionFrom(const Json& aJson)
{
  store::Transaction transaction;
  for (const auto& it : aJson.at("precondition")) {
    transaction.conditions.push_back(
      { RowKey(it.at("table"), it.at("key")), it.at("ver") });
  }
  for (const auto& it : aJson.at("put")) {
    std::string value;
    absl::Base64Unescape(it.at("value").get<std::string>(), &value);
    transaction.writes.push_back(
      { RowKey(it.at("table"), it.at("key")), value, false });
  }
  for (const auto& it : aJson.at("remove")) {
    transaction.writes.push_back(
      { RowKey(it.at("table"), it.at("key")), "", true });
  }
  return transaction;
}

/** Decodes percent encoding. */
std::string
PercentDecoded(const std::string& aText)
{
  std::string out;
  for (std::size_t n = 0; n < aText.size(); ++n) {
    if (aText[n] == '%' && n + 2 < aText.size()) {
      out += absl::HexStringToBytes(aText.substr(n + 1, 2));
      n += 2;
    } else {
      out += aText[n];
    }
  }
  return out;
}

std::string
QueryParameter(const Request& aRequest, const std::string& aName)
{
  return PercentDecoded(aRequest.query().get(aName).value_or(""));
}

class PlatformHandler : public Pistache::Http::Handler
{
public:
  HTTP_PROTOTYPE(PlatformHandler)

  explicit PlatformHandler(std::shared_ptr<StandinState> aState)
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
    const HandlerResult result = HandleStoreRequest(path, aRequest);
    if (mode == FaultMode::kLoseAnswers) {
      const std::scoped_lock lock(mState->mutex);
      mUnansweredRequests.push_back(
        std::make_shared<ResponseWriter>(std::move(aWriter)));
      return;
    }
    aWriter.send(result.code, result.body);
  }

private:
  /** Performs a request to the store. */
  HandlerResult HandleStoreRequest(const std::string& aPath,
                                   const Request& aRequest)
  {
    const std::scoped_lock lock(mState->mutex);
    static const std::string kPutPath = "/-/blob-put/";
    static const std::string kGetPath = "/-/blob-get/";
    try {
      if (aPath.starts_with(kPutPath)) {
        ++mState->writes;
        mState->store.PutObject(aPath.substr(kPutPath.size()), aRequest.body());
        return { Code::Ok, "" };
      }
      if (aPath.starts_with(kGetPath)) {
        ++mState->reads;
        const std::string* body =
          mState->store.GetObject(aPath.substr(kGetPath.size()));
        return body ? HandlerResult{ Code::Ok, *body }
                    : HandlerResult{ Code::Not_Found, "" };
      }
      if (aPath == "/-/rows-get") {
        ++mState->reads;
        return { Code::Ok, ReadRows(aRequest).dump() };
      }
      if (aPath == "/-/rows-tx") {
        ++mState->writes;
        return Commit(Json::parse(aRequest.body()));
      }
      return { Code::Not_Found, "" };
    } catch (const Json::exception& e) {
      return { Code::Bad_Request, e.what() };
    }
  }

  Json ReadRows(const Request& aRequest) const
  {
    constexpr std::size_t kMaxRows = 500;
    const std::string table = QueryParameter(aRequest, "table");
    const std::string from = QueryParameter(aRequest, "from");
    const std::string to = QueryParameter(aRequest, "to");
    const std::string limit = QueryParameter(aRequest, "limit");
    const std::size_t maxRows = limit.empty() ? kMaxRows : std::stoul(limit);
    const std::string prefix = table == kDefaultTable ? "" : table + "/";
    std::vector<store::Row> rows;
    for (auto& it : mState->store.ReadRange(prefix, prefix + from, kMaxRows)) {
      const bool inTable =
        !prefix.empty() || it.key.find('/') == std::string::npos;
      if (inTable && rows.size() < maxRows &&
          (to.empty() || it.key < prefix + to)) {
        rows.push_back(std::move(it));
      }
    }
    return RowsJson(rows, mState->store.Revision());
  }

  HandlerResult Commit(const Json& aJson)
  {
    const auto failedKeys = mState->store.Commit(TransactionFrom(aJson));
    if (failedKeys.empty()) {
      return {
        Code::Ok,
        Json{ { "ver", mState->store.Revision() }, { "now-s", 0.0 } }.dump()
      };
    }
    return {
      Code::Precondition_Failed,
      RowsJson(mState->store.Read(failedKeys), mState->store.Revision()).dump()
    };
  }

  std::shared_ptr<StandinState> mState;
  /** Writers of requests never answered; kept so that connections stay open. */
  std::vector<std::shared_ptr<ResponseWriter>> mUnansweredRequests;
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
  constexpr std::size_t kMaxMessageBytes = 32UL * 1024 * 1024;
  endpoint.init(Pistache::Http::Endpoint::options()
                  .threads(4)
                  .backlog(1024)
                  .maxRequestSize(kMaxMessageBytes)
                  .maxResponseSize(kMaxMessageBytes)
                  .flags(Pistache::Flags<Pistache::Tcp::Options>(
                           Pistache::Tcp::Options::ReuseAddr) |
                         Pistache::Tcp::Options::NoDelay));
  endpoint.setHandler(
    std::make_shared<PlatformHandler>(std::make_shared<StandinState>()));
  endpoint.serveThreaded();
  stop.Wait();
  endpoint.shutdown();
  return 0;
}
