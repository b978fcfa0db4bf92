#pragma once

#include "knapweedpaddle/common/SharedBytes.h"
#include "knapweedpaddle/runtime/HttpClient.h"

#include <string>
#include <string_view>
#include <vector>

/** HTTP/1.1 messages, client and server. Targets, header values and bodies are
 * kept byte for byte, so that a proxy can forward them unchanged. */
namespace knapweedpaddle::http {

using Header = runtime::HttpHeader;

/** A request with its complete body. */
struct Request
{
  std::string method;
  std::string target;          ///< as received, not decoded
  std::vector<Header> headers; ///< in order, duplicates included
  SharedBytes body;            ///< without chunk framing
  bool keepAlive = true;
};

/** How a client knows which request a response belongs to. */
enum class Attribution
{
  kById,              ///< it repeats the id of the request
  kFirstOnConnection, ///< the connection carried no other request before
  /** It came next on a connection that was used before, without an id, so it
   * may be a copy of an earlier response. */
  kByOrder,
};

/** A response with its complete body. */
struct Response
{
  int status = 0;
  std::string reason;          ///< reason phrase of the status line
  std::vector<Header> headers; ///< in order, duplicates included
  SharedBytes body;            ///< without chunk framing
  bool keepAlive = true;
  /** Set by http::Client if ClientOptions::correlationHeader is. */
  Attribution attribution = Attribution::kById;
};

/** Compares two ASCII strings without regard to case. */
bool
EqualsIgnoreCase(std::string_view aFirst, std::string_view aSecond);

/** Returns the value of the first header with a name (case-insensitive), or
 * null. */
const std::string*
FindHeader(const std::vector<Header>& aHeaders, std::string_view aName);

/** Removes all headers with a name (case-insensitive). */
void
RemoveHeader(std::vector<Header>& aHeaders, std::string_view aName);

/**
 * Returns the headers that a proxy forwards: all except the standard hop-by-hop
 * headers, those listed in a Connection header, and Content-Length.
 */
std::vector<Header>
EndToEndHeaders(const std::vector<Header>& aHeaders);

/** Serializes all of a request but its body; adds Content-Length. */
std::string
SerializeHead(const Request& aRequest);

/**
 * Serializes all of a response but its body; adds Content-Length.
 *
 * @param aClose  adds "Connection: close".
 */
std::string
SerializeHead(const Response& aResponse, bool aClose);

/** Returns the standard reason phrase of a status code. */
std::string
ReasonPhrase(int aStatus);

} // namespace knapweedpaddle::http
