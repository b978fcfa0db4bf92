// The platform's table and object store as a process of its own, with faults
// that tests switch on by POST /fault {"mode": "...", "ms": N}.

#include "StopSignal.h"
#include "Table.h"

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

constexpr const char* kDefaultTable = "catalogue";

/** Joins a table and a key as the product's store client names rows. */
std::string
KeyOf(const std::string& aTable, const std::string& aKey)
{
  return aTable == kDefaultTable ? aKey : aTable + "/" + aKey;
}

Json
RowJson(const store::Row& aRow)
{
  const auto slash = aRow.key.find('/');
  const bool plain = slash == std::string::npos;
  Json row{ { "table", plain ? kDefaultTable : aRow.key.substr(0, slash) },
            { "part", "" },
            { "key", plain ? aRow.key : aRow.key.substr(slash + 1) },
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
      { KeyOf(it.at("table"), it.at("key")), it.at("ver") });
  }
  for (const auto& it : aJson.at("put")) {
    std::string value;
    absl::Base64Unescape(it.at("value").get<std::string>(), &value);
    transaction.writes.push_back(
      { KeyOf(it.at("table"), it.at("key")), value, false });
  }
  for (const auto& it : aJson.at("remove")) {
    transaction.writes.push_back(
      { KeyOf(it.at("table"), it.at("key")), "", true });
  }
  return transaction;
}

/** Undoes percent encoding. */
std::string
Unescaped(const std::string& aText)
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
Parameter(const Request& aRequest, const std::string& aName)
{
  return Unescaped(aRequest.query().get(aName).value_or(""));
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
    static const std::string kPut = "/-/blob-put/";
    static const std::string kGet = "/-/blob-get/";
    try {
      if (aPath.starts_with(kPut)) {
        ++mState->writes;
        mState->table.PutObject(aPath.substr(kPut.size()), aRequest.body());
        return { Code::Ok, "" };
      }
      if (aPath.starts_with(kGet)) {
        ++mState->reads;
        const std::string* body =
          mState->table.GetObject(aPath.substr(kGet.size()));
        return body ? Result{ Code::Ok, *body } : Result{ Code::Not_Found, "" };
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
    constexpr std::size_t kMostRows = 500;
    const std::string table = Parameter(aRequest, "table");
    const std::string from = Parameter(aRequest, "from");
    const std::string to = Parameter(aRequest, "to");
    const std::string limit = Parameter(aRequest, "limit");
    const std::size_t most = limit.empty() ? kMostRows : std::stoul(limit);
    const std::string prefix = table == kDefaultTable ? "" : table + "/";
    std::vector<store::Row> rows;
    for (auto& it : mState->table.ReadRange(prefix, prefix + from, kMostRows)) {
      const bool inTable =
        !prefix.empty() || it.key.find('/') == std::string::npos;
      if (inTable && rows.size() < most &&
          (to.empty() || it.key < prefix + to)) {
        rows.push_back(std::move(it));
      }
    }
    return RowsJson(rows, mState->table.Revision());
  }

  Result Commit(const Json& aJson)
  {
    const auto failed = mState->table.Commit(TransactionFrom(aJson));
    if (failed.empty()) {
      return {
        Code::Ok,
        Json{ { "ver", mState->table.Revision() }, { "now-s", 0.0 } }.dump()
      };
    }
    return {
      Code::Precondition_Failed,
      RowsJson(mState->table.Read(failed), mState->table.Revision()).dump()
    };
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
