#include "knapweedpaddle/telemetry/RequestLog.h"

#include <algorithm>
#include <regex>
#include <utility>

namespace knapweedpaddle::telemetry {

namespace {

constexpr const char* kIngressEvent = "call";
constexpr const char* kStepSeparator = "; ";

/** Returns the call id of a try, whose id is CALL.NUMBER. */
std::string
CallIdOf(const std::string& aTryId)
{
  return aTryId.substr(0, aTryId.rfind('.'));
}

/** Parses the plain or quoted value at a position and moves the position past
 * it. */
std::string
TakeValue(const std::string& aText, std::size_t& aPosition)
{
  if (aPosition >= aText.size() || aText[aPosition] != '"') {
    const std::size_t begin = aPosition;
    aPosition = std::min(aText.find(' ', begin), aText.size());
    return aText.substr(begin, aPosition - begin);
  }
  std::string value;
  for (++aPosition; aPosition < aText.size() && aText[aPosition] != '"';
       ++aPosition) {
    if (aText[aPosition] == '\\' && aPosition + 1 < aText.size()) {
      ++aPosition;
    }
    value += aText[aPosition];
  }
  ++aPosition;
  return value;
}

/** Returns the reason of an outcome: the text of the last step that begins with
 * it, or the last step when none does. */
std::string
LastReason(const std::string& aSteps, const std::string& aOutcome)
{
  const std::string named = kStepSeparator + aOutcome + ": ";
  if (const auto at = aSteps.rfind(named); at != std::string::npos) {
    return aSteps.substr(at + named.size());
  }
  const auto at = aSteps.rfind(kStepSeparator);
  return at == std::string::npos ? aSteps : aSteps.substr(at + 2);
}

/** Returns whether a line is about a request id, a call id or a try of that
 * call. */
bool
IsAbout(const LogLine& aLine, const std::string& aId)
{
  return aLine.Field("id") == aId || aLine.Field("call") == aId ||
         CallIdOf(aLine.Field("call")) == aId;
}

} // namespace

std::string
LogLine::Field(const std::string& aName) const
{
  const auto it = fields.find(aName);
  return it == fields.end() ? std::string() : it->second;
}

LogLine
ParseLogLine(const std::string& aText)
{
  static const std::regex kTime(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d+)");
  LogLine line;
  std::size_t at = 0;
  if (std::smatch match; std::regex_search(aText, match, kTime)) {
    line.time = match.str();
    line.prefix = match.prefix();
    at = static_cast<std::size_t>(match.position() + match.length());
  }
  while (at < aText.size()) {
    at = aText.find_first_not_of(' ', at);
    const std::size_t equals = aText.find('=', at);
    if (at == std::string::npos || equals == std::string::npos) {
      break;
    }
    const std::string key = aText.substr(at, equals - at);
    at = equals + 1;
    line.fields[key] = TakeValue(aText, at);
  }
  return line;
}

RequestLog::RequestLog(std::istream& aLogs, const std::string& aId)
{
  for (std::string text; std::getline(aLogs, text);) {
    // Skips other lines unparsed: parsing every line of a day's logs would take
    // minutes.
    if (text.find(aId) == std::string::npos) {
      continue;
    }
    LogLine line = ParseLogLine(text);
    if (IsAbout(line, aId)) {
      mLines.push_back(std::move(line));
    }
  }
  std::ranges::stable_sort(mLines, {}, &LogLine::time);
}

std::string
RequestLog::Cause() const
{
  const auto it =
    std::find_if(mLines.rbegin(), mLines.rend(), [](const LogLine& aLine) {
      return aLine.Field("event") == kIngressEvent;
    });
  if (it == mLines.rend()) {
    return mLines.empty()
             ? "no line names this id: the request was answered in time, or "
               "its line was suppressed by the log rate limit"
             : "only owners logged this id: its ingress answered in time, or "
               "its line was suppressed by the log rate limit";
  }
  std::string cause = it->Field("outcome");
  const std::string reason = LastReason(it->Field("steps"), cause);
  if (const std::string status = it->Field("status"); status != "0") {
    cause += " with status " + status;
  }
  return cause + " after " + it->Field("ms") + " ms: " + reason;
}

} // namespace knapweedpaddle::telemetry
