#pragma once

#include "knapweedpaddle/runtime/HttpClient.h"

#include <string>
#include <string_view>
#include <vector>

/** HTTP/1.1 with exact bytes: what is received is passed on as it came. */
namespace knapweedpaddle::http {

using Header = runtime::HttpHeader;

/** A whole request; the target is raw, chunked bodies are joined. */
struct Request
{
  std::string method;
  std::string target;
  std::vector<Header> headers; ///< in order, repeats included
  std::string body;
  bool keepAlive = true;
};

/** A whole response. */
struct Response
{
  int status = 0;
  std::string reason;
  std::vector<Header> headers;
  std::string body;
  bool keepAlive = true;
};

/** True for equal ASCII names in any case. */
bool
EqualsIgnoreCase(std::string_view aFirst, std::string_view aSecond);

/** Returns the value of the first header with this name, or null. */
const std::string*
FindHeader(const std::vector<Header>& aHeaders, std::string_view aName);

/** Removes every header with this name. */
void
RemoveHeader(std::vector<Header>& aHeaders, std::string_view aName);

/**
 * Returns the headers that concern more than one connection: without the
 * standard hop-by-hop ones, those that Connection names, and the body's length.
 */
std::vector<Header>
EndToEndHeaders(const std::vector<Header>& aHeaders);

/** Serializes a request with its length. */
std::string
Serialize(const Request& aRequest);

/**
 * Serializes a response with its length.
 *
 * @param aClose   announces that the connection ends.
 * @param aToHead  the request was HEAD: no body follows.
 */
std::string
Serialize(const Response& aResponse, bool aClose, bool aToHead);

/** Returns the standard reason phrase of a status. */
std::string
ReasonPhrase(int aStatus);

} // namespace knapweedpaddle::http
