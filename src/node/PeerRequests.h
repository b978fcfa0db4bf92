#pragma once

#include "LinkPeerClient.h"
#include "knapweedpaddle/nodes/Link.h"

namespace knapweedpaddle::node {

/** Returns a link response with a status and a body. */
inline nodes::LinkResponse
MakePeerResponse(int aStatus, std::string aBody)
{
  nodes::LinkResponse response;
  response.status = aStatus;
  response.body = std::move(aBody);
  return response;
}

/** Answers a peer's join, pull or evidence request. */
template<typename Core>
nodes::LinkResponse
AnswerPeerRequest(Core& aCore, const nodes::LinkRequest& aRequest)
{
  constexpr int kStatusOk = 200;
  constexpr int kBadRequest = 400;
  constexpr int kNotFound = 404;
  if (nodes::HeaderValue(aRequest.headers, "protocol") !=
      std::to_string(nodes::kProtocolVersion)) {
    return MakePeerResponse(
      kBadRequest,
      "the version in header \"protocol\" is missing or not supported");
  }
  if (aRequest.path == kJoinPath) {
    const auto peer = nodes::DecodeJoinRequest(aRequest.body);
    return peer ? MakePeerResponse(kStatusOk,
                                   nodes::EncodeJoinAnswer(aCore.OnJoin(*peer)))
                : MakePeerResponse(kBadRequest,
                                   "the body is not a valid join request");
  }
  if (aRequest.path == kPullPath) {
    const auto from = nodes::DecodePullRequest(aRequest.body);
    return from ? MakePeerResponse(kStatusOk,
                                   nodes::EncodePullAnswer(aCore.OnPull(*from)))
                : MakePeerResponse(kBadRequest,
                                   "the body is not a valid pull request");
  }
  if (aRequest.path == moves::kEvidencePath) {
    const auto report = moves::DecodeEvidence(aRequest.body);
    if (!report) {
      return MakePeerResponse(kBadRequest,
                              "the body is not a valid evidence report");
    }
    aCore.OnReport(*report);
    return MakePeerResponse(kStatusOk, "");
  }
  return MakePeerResponse(kNotFound,
                          "path \"" + aRequest.path + "\" does not exist");
}

} // namespace knapweedpaddle::node
