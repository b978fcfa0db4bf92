#pragma once

#include "knapweedpaddle/backends/BackendDispatcher.h"
#include "knapweedpaddle/nodes/Link.h"

namespace knapweedpaddle::nodes {

/** HTTP/2 path of requests that carry a call. */
inline constexpr const char* kCallPath = "/call";

/**
 * Encodes a call for the node that owns the backend server. The deadline is
 * encoded as the remaining time, as a Timestamp means nothing to another node.
 *
 * @pre aCall.deadline is later than aNow.
 */
LinkRequest
EncodeCall(const backends::ForwardedCall& aCall, Timestamp aNow);

/** A call whose body has not arrived. */
struct CallHead
{
  backends::ForwardedCall call; ///< with an empty body
  std::uint64_t bodySize = 0;   ///< in bytes
};

/**
 * Decodes the headers of a call.
 *
 * @param aNow     time at which the headers arrived.
 * @param aReason  set to the error if they can't be decoded.
 * @return nothing if the protocol version differs or a header is missing or
 *         invalid.
 */
std::optional<CallHead>
DecodeCallHead(const LinkRequest& aRequest,
               Timestamp aNow,
               std::string& aReason);

/**
 * Decodes a call.
 *
 * @param aReason  set to the error if the call can't be decoded.
 * @return nothing if the protocol version differs, a header is missing or
 *         invalid, or the body is incomplete.
 */
std::optional<backends::ForwardedCall>
DecodeCall(LinkRequest aRequest, Timestamp aNow, std::string& aReason);

/** Encodes the result of a call and the current load of the backend server. */
LinkResponse
EncodeCallResult(const callers::CallResult& aResult,
                 const backends::ServerLoad& aLoad);

/** Result of a call and the load of the backend server that served it. */
struct DecodedCallResult
{
  callers::CallResult result;
  backends::ServerLoad load;
};

/**
 * Decodes the result of a call.
 *
 * @return nothing if a header is missing or invalid, the body is incomplete or
 *         the response belongs to another call.
 */
std::optional<DecodedCallResult>
DecodeCallResult(LinkResponse aResponse, const std::string& aCallId);

} // namespace knapweedpaddle::nodes
