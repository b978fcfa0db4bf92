#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

namespace knapweedpaddle::telemetry {

/** A parsed line of a node's log. */
struct LogLine
{
  std::string time; ///< as in 2026-01-31T09:30:00.000; empty if missing
  /** Text before the time, such as a node's name that a log collector added. */
  std::string prefix;
  std::map<std::string, std::string> fields;

  /** Returns the value of a field, or "" if the line has no such field. */
  std::string Field(const std::string& aName) const;
};

/** Parses a line of the form `PREFIX TIME key=value key="a value"`. */
LogLine
ParseLogLine(const std::string& aText);

/**
 * The lines about one request in the logs of several nodes: those of its
 * ingress node and of the owners that it reached, in time order.
 *
 * Thread safety: one thread.
 */
class RequestLog
{
public:
  /**
   * Reads the logs to their end.
   *
   * @param aId  the request id that the caller sent, or the call id that the
   *             ingress node generated.
   */
  RequestLog(std::istream& aLogs, const std::string& aId);

  const std::vector<LogLine>& Lines() const { return mLines; }

  /** Returns one sentence that states the outcome of the request and its
   * reason. */
  std::string Cause() const;

private:
  std::vector<LogLine> mLines;
};

} // namespace knapweedpaddle::telemetry
