// Guards against crashes and wrong values when the platform's configuration,
// settings and reports are decoded, also with fields of other versions or
// damaged bytes.

#include "ConfigDocument.h"
#include "ReportMessage.h"
#include "SettingsFile.h"
#include "knapweedpaddle/backends/BackendServerTracker.h"
#include "knapweedpaddle/config/EntryCodec.h"

#include <catch2/catch.hpp>
#include <random>

using namespace knapweedpaddle;
using namespace knapweedpaddle::platform;

namespace {

const std::string kConfig = R"({
  "version": "r7",
  "routes": {
    "r-a": {"host": "A.example", "prefix": "/x/", "kind": "safe",
            "timeout-s": 1.2, "target-latency-s": 0.3, "priority": 2,
            "traffic-split": [{"service": "s", "weight": 90},
                              {"service": "t", "weight": 10}],
            "max-attempts": 2},
    "r-b": {"host": "b.example", "prefix": "/y/", "kind": "non_idempotent",
            "timeout-s": 0.8, "target-latency-s": 0.4, "priority": 1,
            "service": "t", "max-attempts": 2, "new-field": {"a": 1}}},
  "services": {"s": {"max-connections": 120}, "t": {"max-connections": 120}},
  "limits": {"max-header-bytes": 16384, "max-body-bytes": 1000,
             "header-timeout-s": 3, "idle-timeout-s": 15.5}})";

const std::string kSettings = R"({
  "node": "sidecar-1", "ip": "10.1.0.8", "zone": "z",
  "listen": {"inbound": "10.1.0.8:8300", "outbound": "10.1.0.8:8304",
             "ready": "10.1.0.8:8302", "control": "10.1.0.8:8306"},
  "port-range": [7620, 7635], "heartbeat-s": 1.5,
  "bounds": {"grace-s": 6, "config-apply-s": 2.5,
             "retry-budget-ratio": 0.2, "budget-slack": 60,
             "budget-window-s": 10, "expose-share": 0.1},
  "app-addr": "10.1.0.8:8301", "service": "s", "unknown": [1, 2],
  "platform": {"address": "10.200.1.7:8309"}})";

/** Returns a heartbeat of the server "i-1". */
http::Request
Heartbeat(const std::string& aBody)
{
  http::Request request;
  request.method = "POST";
  request.target = "/-/rpc?call=instances.heartbeat&of=i-1";
  request.body = aBody;
  return request;
}

const std::string kReport =
  R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1",)"
  R"("slots":12,"state":"ready","warmup-left-s":0.5,"seq":4,"born":1790000000000})";

/** Returns the text with the first aFrom, which must occur, replaced. */
std::string
Replaced(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  const auto at = aText.find(aFrom);
  REQUIRE(at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

} // namespace

TEST_CASE("a configuration document is decoded to routes and limits",
          "[platform]")
{
  std::string reason;
  const auto config = DecodeConfig(kConfig, reason);
  REQUIRE(config);
  CHECK(config->version == 7);
  const auto* a =
    config->Get<config::RouteEntry>(config::EntryKind::kRoute, "r-a");
  REQUIRE(a);
  CHECK(a->host == "a.example");
  CHECK(a->split.size() == 2);
  CHECK(a->callClass == config::CallClass::kIdempotent);
  CHECK(a->timeout == Milliseconds(1200));
  CHECK(a->slowAfter == Milliseconds(300));
  CHECK(a->priority == 2);
  CHECK(a->maxTries == 2);
  const auto* b =
    config->Get<config::RouteEntry>(config::EntryKind::kRoute, "r-b");
  REQUIRE(b);
  CHECK(b->callClass == config::CallClass::kAtMostOnce);
  CHECK(config->callerLimits.bodyBytes == 1000);
  CHECK(config->callerLimits.idleTimeout == Milliseconds(15'500));
}

TEST_CASE("calls of an unknown call class are never retried", "[platform]")
{
  std::string reason;
  const auto config =
    DecodeConfig(Replaced(kConfig, "\"safe\"", "\"other\""), reason);
  REQUIRE(config);
  CHECK(config->Get<config::RouteEntry>(config::EntryKind::kRoute, "r-a")
          ->callClass == config::CallClass::kAtMostOnce);
}

TEST_CASE("an invalid configuration document is rejected as a whole",
          "[platform]")
{
  std::string reason;
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
         { "\"r7\"", "\"7\"" },
         { "\"r7\"", "7" },
         { "\"prefix\": \"/x/\",", "" },
         { "\"weight\": 90", "\"weight\": \"90\"" },
         { "\"routes\": {", "\"routes\": [" } }) {
    reason.clear();
    CHECK_FALSE(DecodeConfig(Replaced(kConfig, from, to), reason));
    CHECK_FALSE(reason.empty());
  }
  std::mt19937_64 random(5);
  for (int n = 0; n < 3000; ++n) {
    std::string bytes = kConfig;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    bytes.resize(random() % 8 == 0 ? random() % bytes.size() : bytes.size());
    DecodeConfig(bytes, reason); // must not throw
  }
}

TEST_CASE("a valid server report is decoded and an invalid one is rejected",
          "[platform]")
{
  std::string reason;
  const auto report = DecodeReport(Heartbeat(kReport), reason);
  REQUIRE(report.has_value());
  CHECK(report->id == "i-1");
  CHECK(report->service == "s");
  CHECK(report->slots == 12);
  CHECK(report->sequence == 4);
  CHECK(report->startedAtMs == 1790000000000);
  CHECK(report->warmupLeft == Milliseconds(500));
  CHECK(report->state == backends::ReportedState::kReady);
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
         { "\"ready\"", "\"sleeping\"" },
         { "\"ready\"", "3" },
         { "\"seq\":4,", "" },
         { "\"slots\":12", "\"slots\":\"12\"" },
         { ",\"born\":1790000000000", "" },
         { "{", "[" } }) {
    CHECK_FALSE(
      DecodeReport(Heartbeat(Replaced(kReport, from, to)), reason).has_value());
  }
  std::mt19937_64 random(9);
  for (int n = 0; n < 3000; ++n) {
    std::string bytes = kReport;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    DecodeReport(Heartbeat(bytes), reason); // must not throw
  }
}

TEST_CASE("an odd entry of another writer names no server and ends no process",
          "[platform]")
{
  const std::string nested =
    std::string(60'000, '[') + std::string(60'000, ']');
  std::string reason;
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
         { "\"v1\"", nested },
         { "\"v1\"", "{\"a\":" + nested + "}" },
         { "12", nested },
         { "12", "4294967308" },
         { "12", "1e300" },
         { "12", "-1" },
         { "12", "12.5" },
         { "\"seq\":4", "\"seq\":1e30" },
         { "\"seq\":4", "\"seq\":-4" },
         { "\"seq\":4", "\"seq\":18446744073709551616" },
         { "1790000000000", "1e300" },
         { "1790000000000", "-1" },
         { "1790000000000", "1e999" },
         { "0.5", "1e300" },
         { "0.5", "-1e300" } }) {
    INFO(from << " replaced by " << to.substr(0, 40));
    CHECK_FALSE(
      DecodeReport(Heartbeat(Replaced(kReport, from, to)), reason).has_value());
  }
  for (const char* address : { "10.0.0.9:65616", "10.0.0.9:0" }) {
    const auto report = DecodeReport(
      Heartbeat(Replaced(kReport, "10.0.0.9:80", address)), reason);
    REQUIRE(report.has_value());
    backends::BackendServerTracker tracker("10.0.0.9:80");
    CHECK(tracker.Apply(*report, Timestamp{}, WallNow()) ==
          backends::ReportOutcome::kForeign);
  }
  CHECK_FALSE(DecodeReport(Heartbeat(nested), reason).has_value());
  CHECK_FALSE(DecodeReport(Heartbeat(nested.substr(0, 60'000)), reason));
  const auto limits =
    R"({"version":"r1","services":{},"routes":{},"limits":{"x":)";
  CHECK(DecodeConfig(limits + nested + "}}", reason));
}

// Guards against a report whose names every node of the fleet would have to
// keep and pass on, whatever their size.
TEST_CASE("a report with overlong names is refused", "[platform]")
{
  for (const char* field : { "\"s\"", "\"v1\"", "\"10.0.0.9:80\"" }) {
    for (const bool isOverlong : { false, true }) {
      INFO(field << (isOverlong ? ", overlong" : ""));
      const std::string name(isOverlong ? 201 : 200, 'n');
      std::string reason;
      const auto report = DecodeReport(
        Heartbeat(Replaced(kReport, field, "\"" + name + "\"")), reason);
      CHECK(report.has_value() == !isOverlong);
    }
  }
  http::Request overlong = Heartbeat(kReport);
  overlong.target += std::string(200, 'n');
  std::string reason;
  CHECK_FALSE(DecodeReport(overlong, reason));
}

TEST_CASE("a deregistration needs no body", "[platform]")
{
  http::Request request;
  request.method = "POST";
  request.target = "/-/rpc?call=instances.deregister&of=i-1";
  std::string reason;
  const auto report = DecodeReport(request, reason);
  REQUIRE(report.has_value());
  CHECK(report->id == "i-1");
  CHECK(report->state == backends::ReportedState::kGone);
  request.target = "/-/rpc?call=else&of=i-1";
  CHECK_FALSE(DecodeReport(request, reason).has_value());
}

TEST_CASE("settings are decoded and unknown fields ignored", "[platform]")
{
  std::string reason;
  const auto settings = DecodeSettings(kSettings, reason);
  REQUIRE(settings.has_value());
  CHECK(settings->callerAddress == "10.1.0.8:8304");
  CHECK(settings->firstPort == 7620);
  CHECK(settings->reportInterval == Milliseconds(1500));
  CHECK(settings->gracePeriod == Milliseconds(6000));
  CHECK(settings->configApplyTime == Milliseconds(2500));
  CHECK(settings->metricsAddress == "10.1.0.8:9464");
}

TEST_CASE("an invalid setting is rejected with its name and value",
          "[platform]")
{
  struct Case
  {
    std::string from;
    std::string to;
    std::string reason;
  };
  const std::vector<Case> cases{
    { "\"ip\": \"10.1.0.8\"", "\"ip\": 4", "setting \"ip\" is 4" },
    { "\"grace-s\": 6", "\"grace-s\": -1", "setting \"bounds.grace-s\" is -1" },
    { "\"app-addr\": \"10.1.0.8:8301\"",
      "\"app-addr\": \"here\"",
      "setting \"app-addr\" is \"here\"" },
    { "[7620, 7635]", "[7635, 7620]", "port-range" },
    { "\"service\": \"s\",", "", "setting \"service\" is missing" },
  };
  for (const auto& it : cases) {
    std::string reason;
    CHECK_FALSE(
      DecodeSettings(Replaced(kSettings, it.from, it.to), reason).has_value());
    CHECK(reason.find(it.reason) != std::string::npos);
  }
}

TEST_CASE(
  "warm-up, public routes and teams of a configuration are decoded, and "
  "survive the transfer between nodes",
  "[platform]")
{
  std::string reason;
  const auto config = DecodeConfig(
    R"({"version": "r3", "routes": {
         "r": {"host": "a", "prefix": "/", "kind": "safe", "service": "s",
               "public": true}},
        "services": {"s": {"health-path": "/h", "warmup-s": 3,
                           "warmup-per-s": 11.5}},
        "tenants": {"t": {"api-keys": ["k1", "k2"], "priority": 0,
                          "rate-per-s": 20.5, "burst": 30},
                    "u": {"api-keys": []}}})",
    reason);
  REQUIRE(config);
  config::ConfigReason decodeReason;
  const auto copy =
    config::DecodeSnapshot(config::EncodeSnapshot(*config), decodeReason);
  INFO(decodeReason.message);
  REQUIRE(copy);
  const auto* service =
    copy->Get<config::ServiceEntry>(config::EntryKind::kService, "s");
  CHECK(service->healthPath == "/h");
  CHECK(service->warmupCallsPerSecond == 11.5);
  CHECK(
    copy->Get<config::RouteEntry>(config::EntryKind::kRoute, "r")->isPublic);
  const auto* team =
    copy->Get<config::TeamEntry>(config::EntryKind::kTeam, "t");
  CHECK(team->keys == std::vector<std::string>{ "k1", "k2" });
  CHECK(team->priority == 0);
  CHECK(team->callsPerSecond == 20.5);
  CHECK(team->burst == 30);
  const auto* unlimited =
    copy->Get<config::TeamEntry>(config::EntryKind::kTeam, "u");
  CHECK(unlimited->keys.empty());
  CHECK_FALSE(unlimited->priority);
  CHECK(copy->entries == config->entries);
}

// Guards against callers that are taken for another team's, and against a log
// line that shows the key.
TEST_CASE("a configuration in which two teams hold a key is refused",
          "[platform]")
{
  std::string reason;
  CHECK_FALSE(DecodeConfig(
    R"({"version": "r3", "routes": {}, "services": {},
        "tenants": {"t": {"api-keys": ["secret"]},
                    "u": {"api-keys": ["other", "secret"]}}})",
    reason));
  CHECK(reason.find("version 3") != std::string::npos);
  CHECK(reason.find("secret") == std::string::npos);
}

TEST_CASE("operators' options are read beside the platform's settings",
          "[platform]")
{
  std::string reason;
  const auto decode = [&reason](const std::string& aOptions) {
    return DecodeSettings(
      "{\"options\": " + aOptions + ", \"vm\": " + kSettings + "}", reason);
  };
  const auto settings = decode(R"({"hedge-share": 0.02})");
  REQUIRE(settings);
  CHECK(settings->hedgeShare == 0.02);
  CHECK(settings->name == "sidecar-1");
  CHECK_FALSE(decode(R"({"hedge-share": 2})"));
  CHECK(reason.find("hedge-share") != std::string::npos);
  CHECK_FALSE(decode("[]"));
  REQUIRE(decode("{}"));
  CHECK(decode("{}")->hedgeShare ==
        DecodeSettings(kSettings, reason)->hedgeShare);
}
