#include "knapweedpaddle/telemetry/RequestLog.h"

#include <algorithm>
#include <regex>
#include <utility>

namespace knapweedpaddle::telemetry {

namespace {

constexpr const char* kIngressEvent = "call";
constexpr const char* kStepSeparator = "; ";

/** The ids of tries end with a point and a number. */
std::string
CallOf(const std::string& aTry)
{
  return aTry.substr(0, aTry.rfind('.'));
}

/** Reads a value from a place in a line, and moves the place behind it. */
std::string
TakeValue(const std::string& aText, std::size_t& aAt)
{
  if (aAt >= aText.size() || aText[aAt] != '"') {
    const std::size_t end = std::min(aText.find(' ', aAt), aText.size());
    return aText.substr(std::exchange(aAt, end), end - aAt);
  }
  std::string value;
  for (++aAt; aAt < aText.size() && aText[aAt] != '"'; ++aAt) {
    if (aText[aAt] == '\\' && aAt + 1 < aText.size()) {
      ++aAt;
    }
    value += aText[aAt];
  }
  ++aAt;
  return value;
}

/** Returns what led to an outcome: the last step that names it, else the last
 * step. */
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

bool
Concerns(const LogLine& aLine, const std::string& aId)
{
  return aLine.Field("id") == aId || aLine.Field("call") == aId ||
         CallOf(aLine.Field("call")) == aId;
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
    // Parsing each line of a day's logs would take minutes.
    if (text.find(aId) == std::string::npos) {
      continue;
    }
    LogLine line = ParseLogLine(text);
    if (Concerns(line, aId)) {
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
             ? "no line names this id: it was answered in time, or "
               "its line was left out under load"
             : "only owners wrote of this id: its ingress "
               "answered in time, or its line was left out";
  }
  std::string cause = it->Field("outcome");
  const std::string reason = LastReason(it->Field("steps"), cause);
  if (const std::string status = it->Field("status"); status != "0") {
    cause += " with status " + status;
  }
  return cause + " after " + it->Field("ms") + " ms: " + reason;
}

} // namespace knapweedpaddle::telemetry
