#include "knapweedpaddle/http/Message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <http_parser.h>

namespace knapweedpaddle::http {

namespace {

/** Headers that apply to one connection only. Content-Length is among them
 * because Serialize() adds it. */
constexpr std::array<std::string_view, 10> kHopByHopHeaders{
  "connection",     "keep-alive",       "transfer-encoding",
  "content-length", "proxy-connection", "te",
  "trailer",        "upgrade",          "expect",
  "http2-settings",
};

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

/** Removes spaces and tabs at both ends. */
std::string_view
Trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

/** Returns true if a comma-separated list has a name (case-insensitive). */
bool
ListContains(std::string_view aList, std::string_view aName)
{
  while (!aList.empty()) {
    const auto comma = std::min(aList.find(','), aList.size());
    if (EqualsIgnoreCase(Trim(aList.substr(0, comma)), aName)) {
      return true;
    }
    aList.remove_prefix(std::min(comma + 1, aList.size()));
  }
  return false;
}

bool
IsHopByHopHeader(const std::vector<Header>& aAll, std::string_view aName)
{
  if (std::ranges::any_of(kHopByHopHeaders, [aName](std::string_view aHop) {
        return EqualsIgnoreCase(aHop, aName);
      })) {
    return true;
  }
  return std::ranges::any_of(aAll, [aName](const Header& aHeader) {
    return EqualsIgnoreCase(aHeader.name, "connection") &&
           ListContains(aHeader.value, aName);
  });
}

void
AppendHeaders(std::string& aOut, const std::vector<Header>& aHeaders)
{
  for (const auto& it : aHeaders) {
    aOut.append(it.name).append(": ").append(it.value).append("\r\n");
  }
}

/** Returns true if Content-Length must be sent, which it is for an empty body
 * too, except with methods that usually have none. */
bool
NeedsContentLength(const Request& aRequest)
{
  return !aRequest.body.IsEmpty() ||
         (aRequest.method != "GET" && aRequest.method != "HEAD" &&
          aRequest.method != "DELETE" && aRequest.method != "OPTIONS");
}

} // namespace

bool
EqualsIgnoreCase(std::string_view aFirst, std::string_view aSecond)
{
  return std::ranges::equal(
    aFirst, aSecond, [](unsigned char aLeft, unsigned char aRight) {
      return std::tolower(aLeft) == std::tolower(aRight);
    });
}

const std::string*
FindHeader(const std::vector<Header>& aHeaders, std::string_view aName)
{
  const auto it = std::ranges::find_if(aHeaders, [aName](const Header& aItem) {
    return EqualsIgnoreCase(aItem.name, aName);
  });
  return it == aHeaders.end() ? nullptr : &it->value;
}

void
RemoveHeader(std::vector<Header>& aHeaders, std::string_view aName)
{
  std::erase_if(aHeaders, [aName](const Header& aItem) {
    return EqualsIgnoreCase(aItem.name, aName);
  });
}

std::vector<Header>
EndToEndHeaders(const std::vector<Header>& aHeaders)
{
  std::vector<Header> out;
  std::ranges::copy_if(
    aHeaders, std::back_inserter(out), [&aHeaders](const Header& aItem) {
      return !IsHopByHopHeader(aHeaders, aItem.name);
    });
  return out;
}

std::string
SerializeHead(const Request& aRequest)
{
  std::string out = aRequest.method + " " + aRequest.target + " HTTP/1.1\r\n";
  AppendHeaders(out, aRequest.headers);
  if (NeedsContentLength(aRequest)) {
    out += "Content-Length: " + std::to_string(aRequest.body.Size()) + "\r\n";
  }
  return out.append("\r\n");
}

std::string
SerializeHead(const Response& aResponse, bool aClose)
{
  const std::string& phrase = aResponse.reason;
  std::string out = "HTTP/1.1 " + std::to_string(aResponse.status) + " " +
                    (phrase.empty() ? ReasonPhrase(aResponse.status) : phrase) +
                    "\r\n";
  AppendHeaders(out, aResponse.headers);
  if (aResponse.status != kNoContent && aResponse.status != kNotModified) {
    out += "Content-Length: " + std::to_string(aResponse.body.Size()) + "\r\n";
  }
  if (aClose) {
    out += "Connection: close\r\n";
  }
  return out.append("\r\n");
}

std::string
ReasonPhrase(int aStatus)
{
  return http_status_str(static_cast<http_status>(aStatus));
}

} // namespace knapweedpaddle::http
