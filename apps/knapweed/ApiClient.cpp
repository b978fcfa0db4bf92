#include "ApiClient.h"

namespace knapweedpaddle::cli {

ApiClient::ApiClient(std::string aNode, std::string aToken, int aTimeoutMs)
  : mNode(std::move(aNode))
  , mToken(std::move(aToken))
  , mTimeoutMs(aTimeoutMs)
  , mHttp(mLoop, 1)
{
}

ApiResponse
ApiClient::Get(const std::string& aPath)
{
  runtime::HttpRequest request;
  request.url = aPath;
  return Send(std::move(request));
}

ApiResponse
ApiClient::Post(const std::string& aPath, const std::string& aBody)
{
  runtime::HttpRequest request;
  request.method = "POST";
  request.url = aPath;
  request.body = aBody;
  return Send(std::move(request));
}

ApiResponse
ApiClient::Send(runtime::HttpRequest aRequest)
{
  aRequest.url = "http://" + mNode + aRequest.url;
  aRequest.timeout = Milliseconds(mTimeoutMs);
  if (!mToken.empty()) {
    aRequest.headers.push_back({ "Authorization", "Bearer " + mToken });
  }
  ApiResponse response;
  mHttp.Send(
    std::move(aRequest),
    [this, &response](const std::optional<runtime::HttpResponse>& aResponse,
                      const runtime::HttpReason& aReason) {
      if (aResponse) {
        response.status = aResponse->status;
        response.text = aResponse->body;
        response.json = Json::parse(aResponse->body, nullptr, false);
      } else {
        response.text = aReason.message;
      }
      mLoop.Stop();
    });
  mLoop.Run();
  return response;
}

} // namespace knapweedpaddle::cli
