#pragma once

#include "knapweedpaddle/runtime/EventLoop.h"
#include "knapweedpaddle/runtime/HttpClient.h"

#include <nlohmann/json.hpp>

namespace knapweedpaddle::cli {

using Json = nlohmann::ordered_json;

/** A node's answer; status 0 when there was none. */
struct ApiAnswer
{
  int status = 0;
  std::string text; ///< the body, or why there is no answer
  Json json;        ///< the body parsed, or null
};

/** Client of one node's operators' API; sends one request at a time. */
class ApiClient
{
public:
  ApiClient(std::string aNode, std::string aToken, int aTimeoutMs);

  ApiAnswer Get(const std::string& aPath);
  ApiAnswer Post(const std::string& aPath, const std::string& aBody);

private:
  ApiAnswer Send(runtime::HttpRequest aRequest);

  std::string mNode;
  std::string mToken;
  int mTimeoutMs;
  runtime::EventLoop mLoop;
  runtime::HttpClient mHttp;
};

} // namespace knapweedpaddle::cli
