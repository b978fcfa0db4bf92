#pragma once

#include "knapweedpaddle/backends/BackendDispatcher.h"
#include "knapweedpaddle/nodes/Link.h"

namespace knapweedpaddle::nodes {

/** Path of calls on a link. */
inline constexpr const char* kCallPath = "/call";

/**
 * Encodes a call for its owner. The deadline travels as remaining time.
 *
 * @pre aCall.deadline is later than aNow.
 */
LinkRequest
EncodeCall(const backends::ForwardedCall& aCall, Timestamp aNow);

/** Decodes a call; nothing, with a reason, for a peer that speaks otherwise. */
std::optional<backends::ForwardedCall>
DecodeCall(LinkRequest aRequest, Timestamp aNow, std::string& aReason);

/** Encodes an owner's answer with its backend server's present load. */
LinkResponse
EncodeCallResult(const callers::CallResult& aResult,
                 const backends::ServerLoad& aLoad);

struct DecodedCallResult
{
  callers::CallResult result;
  backends::ServerLoad load;
};

/**
 * Decodes an answer and checks that it is whole and belongs to the call.
 *
 * @return nothing for an answer that can't be trusted.
 */
std::optional<DecodedCallResult>
DecodeCallResult(LinkResponse aResponse, const std::string& aCallId);

} // namespace knapweedpaddle::nodes
