#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

namespace knapweedpaddle::telemetry {

/** A line of a node's log. */
struct LogLine
{
  std::string time;   ///< in the form 2026-01-31T09:30:00.000, or empty
  std::string prefix; ///< what a collector put before the time, as the node
  std::map<std::string, std::string> fields;

  /** Returns a field, or "". */
  std::string Field(const std::string& aName) const;
};

/** Splits a line of the form `TIME key=value key="a value"`. */
LogLine
ParseLogLine(const std::string& aText);

/**
 * What the logs of several nodes say of one request: the lines of its ingress
 * and of the owners that it reached, in time order.
 *
 * Thread safety: one thread.
 */
class RequestLog
{
public:
  /** @param aId  the caller's id of a request, or the node's id of a call. */
  RequestLog(std::istream& aLogs, const std::string& aId);

  const std::vector<LogLine>& Lines() const { return mLines; }

  /** Returns one sentence on how the request ended, and why. */
  std::string Cause() const;

private:
  std::vector<LogLine> mLines;
};

} // namespace knapweedpaddle::telemetry
