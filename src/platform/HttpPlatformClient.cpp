#include "knapweedpaddle/platform/HttpPlatformClient.h"

#include <nlohmann/json.hpp>

namespace knapweedpaddle::platform {

namespace {

using Json = nlohmann::json;
using runtime::HttpError;
using runtime::HttpReason;
using runtime::HttpResponse;

constexpr long kMaxConnections = 4;
constexpr std::size_t kHeaderEstimateBytes = 150; ///< per request or answer

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;

PlatformReason
FromHttp(const HttpReason& aReason)
{
  PlatformReason reason;
  const auto code = aReason.code == HttpError::kNotSent
                      ? PlatformError::kNotSent
                      : PlatformError::kOutcomeUnknown;
  reason.Set(code, "platform: " + aReason.message);
  return reason;
}

PlatformReason
FromStatus(const HttpResponse& aResponse)
{
  PlatformReason reason;
  if (aResponse.status == kStatusConflict) {
    reason.Set(PlatformError::kConflict,
               "platform: a condition of the transaction failed");
    const Json json = Json::parse(aResponse.body, nullptr, false);
    if (json.is_object() && json.contains("failed") &&
        json["failed"].is_array()) {
      for (const auto& it : json["failed"]) {
        reason.conflictingKeys.push_back(it.is_string() ? it.get<std::string>()
                                                        : "");
      }
    }
    return reason;
  }
  const auto code = aResponse.status == kStatusNotFound
                      ? PlatformError::kNotFound
                      : PlatformError::kRefused;
  reason.Set(code, "platform: status " + std::to_string(aResponse.status));
  return reason;
}

std::optional<std::vector<Row>>
RowsFrom(const std::string& aBody)
{
  try {
    std::vector<Row> rows;
    const Json json = Json::parse(aBody);
    for (const auto& it : json.at("rows")) {
      rows.push_back(Row{ it.at("key"), it.at("value"), it.at("revision") });
    }
    return rows;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

Json
ToJson(const Transaction& aTransaction)
{
  Json conditions = Json::array();
  for (const auto& it : aTransaction.conditions) {
    conditions.push_back({ { "key", it.key }, { "revision", it.revision } });
  }
  Json writes = Json::array();
  for (const auto& it : aTransaction.writes) {
    Json write{ { "key", it.key } };
    if (it.remove) {
      write["remove"] = true;
    } else {
      write["value"] = it.value;
    }
    writes.push_back(std::move(write));
  }
  return Json{ { "conditions", conditions }, { "writes", writes } };
}

} // namespace

HttpPlatformClient::HttpPlatformClient(runtime::EventLoop& aLoop,
                                       std::string aAddress,
                                       Milliseconds aTimeout,
                                       ByteCounter aCounter)
  : mClient(aLoop, kMaxConnections)
  , mAddress(std::move(aAddress))
  , mTimeout(aTimeout)
  , mCounter(std::move(aCounter))
{
}

void
HttpPlatformClient::Send(std::string aMethod,
                         const std::string& aPath,
                         std::string aBody,
                         AnswerCallback aCallback)
{
  runtime::HttpRequest request;
  request.method = std::move(aMethod);
  request.url = "http://" + mAddress + aPath;
  request.body = std::move(aBody);
  request.timeout = mTimeout;
  const std::size_t sent = request.body.size() + kHeaderEstimateBytes;
  mClient.Send(
    std::move(request),
    [this, sent, callback = std::move(aCallback)](
      std::optional<HttpResponse> aResponse, const HttpReason& aReason) {
      mCounter(sent,
               aResponse ? aResponse->body.size() + kHeaderEstimateBytes : 0);
      if (!aResponse) {
        callback(std::nullopt, FromHttp(aReason));
        return;
      }
      if (aResponse->status != kStatusOk) {
        callback(std::nullopt, FromStatus(*aResponse));
        return;
      }
      callback(std::move(aResponse), PlatformReason{});
    });
}

void
HttpPlatformClient::SendForRows(const std::string& aPath,
                                std::string aBody,
                                RowsCallback aCallback)
{
  Send("POST",
       aPath,
       std::move(aBody),
       [callback = std::move(aCallback)](std::optional<HttpResponse> aResponse,
                                         const PlatformReason& aReason) {
         if (!aResponse) {
           callback(std::nullopt, aReason);
           return;
         }
         PlatformReason reason;
         auto rows = RowsFrom(aResponse->body);
         if (!rows) {
           reason.Set(PlatformError::kRefused,
                      "platform: the answer is not a list of rows");
         }
         callback(std::move(rows), reason);
       });
}

void
HttpPlatformClient::Read(std::vector<std::string> aKeys, RowsCallback aCallback)
{
  SendForRows(
    "/v1/table/read", Json{ { "keys", aKeys } }.dump(), std::move(aCallback));
}

void
HttpPlatformClient::ReadRange(std::string aPrefix,
                              std::string aFirst,
                              std::size_t aLimit,
                              RowsCallback aCallback)
{
  SendForRows(
    "/v1/table/range",
    Json{ { "prefix", aPrefix }, { "first", aFirst }, { "limit", aLimit } }
      .dump(),
    std::move(aCallback));
}

void
HttpPlatformClient::Commit(Transaction aTransaction, DoneCallback aCallback)
{
  Send("POST",
       "/v1/table/commit",
       ToJson(aTransaction).dump(),
       [callback =
          std::move(aCallback)](const std::optional<HttpResponse>& aResponse,
                                const PlatformReason& aReason) {
         callback(aResponse.has_value(), aReason);
       });
}

void
HttpPlatformClient::PutObject(std::string aName,
                              std::string aBody,
                              DoneCallback aCallback)
{
  Send("PUT",
       "/v1/objects/" + aName,
       std::move(aBody),
       [callback =
          std::move(aCallback)](const std::optional<HttpResponse>& aResponse,
                                const PlatformReason& aReason) {
         callback(aResponse.has_value(), aReason);
       });
}

void
HttpPlatformClient::GetObject(std::string aName, ObjectCallback aCallback)
{
  Send("GET",
       "/v1/objects/" + aName,
       "",
       [callback = std::move(aCallback)](std::optional<HttpResponse> aResponse,
                                         const PlatformReason& aReason) {
         if (!aResponse) {
           callback(std::nullopt, aReason);
           return;
         }
         callback(std::move(aResponse->body), aReason);
       });
}

} // namespace knapweedpaddle::platform
