#pragma once

#include "knapweedpaddle/runtime/EventLoop.h"
#include "knapweedpaddle/runtime/HttpClient.h"

#include <nlohmann/json.hpp>

namespace knapweedpaddle::cli {

using Json = nlohmann::ordered_json;

/** A node's response to a request of the operators' API. */
struct ApiResponse
{
  int status = 0;   ///< HTTP status, 0 if there was no response
  std::string text; ///< body, or the error if there was no response
  Json json;        ///< parsed body, null without a response
};

/**
 * Client of the operators' API of one node. A request blocks until its response
 * or the timeout.
 */
class ApiClient
{
public:
  ApiClient(std::string aNode, std::string aToken, int aTimeoutMs);

  ApiResponse Get(const std::string& aPath);
  ApiResponse Post(const std::string& aPath, const std::string& aBody);

private:
  ApiResponse Send(runtime::HttpRequest aRequest);

  std::string mNode;
  std::string mToken;
  int mTimeoutMs;
  runtime::EventLoop mLoop;
  runtime::HttpClient mHttp;
};

} // namespace knapweedpaddle::cli
