#include "LinkPeerClient.h"

namespace knapweedpaddle::node {

namespace {

constexpr Milliseconds kRequestTimeout{ 1500 };
/** Approximate size of the HTTP/2 frames and headers of a request or answer. */
constexpr std::size_t kStreamOverheadBytes = 120;
constexpr int kStatusOk = 200;

} // namespace

LinkPeerClient::LinkPeerClient(runtime::EventLoop& aLoop,
                               ByteCounter aCountBytes)
  : mLinks(aLoop, nodes::LinkClientOptions{})
  , mCountBytes(std::move(aCountBytes))
{
}

void
LinkPeerClient::SendRequest(const std::string& aAddress,
                            const char* aPath,
                            std::string aBody,
                            const BodyCallback& aCallback)
{
  nodes::LinkRequest request;
  request.path = aPath;
  request.headers = { { "protocol", std::to_string(nodes::kProtocolVersion) } };
  request.body = std::move(aBody);
  request.timeout = kRequestTimeout;
  const char* kind = aPath + 1; // the path without its slash
  mCountBytes(kind, request.body.Size() + kStreamOverheadBytes, 0);
  mLinks.Send(
    aAddress,
    request,
    [this, kind, aCallback](const std::optional<nodes::LinkResponse>& aResponse,
                            const nodes::LinkReason&) {
      if (!aResponse || aResponse->status != kStatusOk) {
        aCallback(nullptr);
        return;
      }
      mCountBytes(kind, 0, aResponse->body.Size() + kStreamOverheadBytes);
      aCallback(&aResponse->body.Get());
    });
}

void
LinkPeerClient::Join(const std::string& aAddress,
                     const nodes::MemberUpdate& aSelf,
                     JoinCallback aCallback)
{
  SendRequest(aAddress,
              kJoinPath,
              nodes::EncodeJoinRequest(aSelf),
              [callback = std::move(aCallback)](const std::string* aBody) {
                callback(aBody ? nodes::DecodeJoinAnswer(*aBody)
                               : std::nullopt);
              });
}

void
LinkPeerClient::Pull(const std::string& aAddress,
                     std::uint64_t aFromVersion,
                     PullCallback aCallback)
{
  SendRequest(aAddress,
              kPullPath,
              nodes::EncodePullRequest(aFromVersion),
              [callback = std::move(aCallback)](const std::string* aBody) {
                callback(aBody ? nodes::DecodePullAnswer(*aBody)
                               : std::nullopt);
              });
}

void
LinkPeerClient::Report(const std::string& aAddress,
                       const moves::EvidenceReport& aReport)
{
  SendRequest(aAddress,
              moves::kEvidencePath,
              moves::EncodeEvidence(aReport),
              [](const std::string*) {});
}

} // namespace knapweedpaddle::node
