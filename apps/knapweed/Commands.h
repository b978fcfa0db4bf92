#pragma once

#include <string>
#include <vector>

/** The command line tool of operators. */
namespace knapweedpaddle::cli {

inline constexpr const char* kUsage =
  "changes and inspects the catalogue of a mesh.\n\n"
  "  knapweed apply FILE          write the entries of a catalogue file\n"
  "  knapweed check FILE [FILE]   check a configuration, and show what it "
  "changes\n"
  "                               against the one in the second file\n"
  "  knapweed get KIND/NAME       show one entry\n"
  "  knapweed list                show all entries\n"
  "  knapweed delete KIND/NAME    remove one entry\n"
  "  knapweed history             show the latest changes\n"
  "  knapweed move start FILE     apply a file with a move entry, then watch "
  "it\n"
  "  knapweed move watch NAME     wait until a move is done or taken back\n"
  "  knapweed move list           show all moves\n"
  "  knapweed status              show members and the versions in force\n"
  "  knapweed explain call ID     show why a call got no response\n"
  "  knapweed explain move NAME   show a move's progress and evidence\n"
  "  knapweed explain log ID      show what log lines on standard input say "
  "about a request\n\n"
  "exit codes: 0 accepted or done, 1 refused, 2 bad usage, 3 conflict,\n"
  "4 outcome unknown (repeat with --operation_id), 5 unavailable,\n"
  "6 move taken back, 7 check found warnings only";

/** Options of the command line. */
struct Options
{
  std::string node;        ///< "IP:port" of a node's caller port
  std::string token;       ///< token of the operator, or empty
  std::string operationId; ///< id of the operation, or empty for a random one
  bool json = false;       ///< print JSON instead of tables
  int timeoutMs = 0;       ///< timeout of each request
};

/** Runs one command and returns the exit code. */
int
Run(const Options& aOptions, const std::vector<std::string>& aCommand);

} // namespace knapweedpaddle::cli
