#pragma once

#include <string>
#include <vector>

/** The operators' command line. */
namespace knapweedpaddle::cli {

inline constexpr const char* kUsage =
  "operates a mesh through its catalogue.\n\n"
  "  knapweed apply FILE          write the entries of a catalogue file\n"
  "  knapweed get KIND/NAME       show one entry\n"
  "  knapweed list                show all entries\n"
  "  knapweed delete KIND/NAME    remove one entry\n"
  "  knapweed history             show the latest changes\n"
  "  knapweed move start FILE     apply a file with a move entry, then watch "
  "it\n"
  "  knapweed move watch NAME     wait until a move is done or taken back\n"
  "  knapweed move list           show all moves\n"
  "  knapweed status              show versions in force, members and lag\n"
  "  knapweed explain call ID     show why a call had no answer\n"
  "  knapweed explain move NAME   show a move's progress and evidence\n"
  "  knapweed explain log ID      show what logs on standard input say of a "
  "request\n\n"
  "exit codes: 0 accepted or done, 1 refused, 2 bad usage, 3 conflict,\n"
  "4 unknown (repeat with --operation_id), 5 unavailable, 6 move taken back";

struct Options
{
  std::string node; ///< "IP:port"
  std::string token;
  std::string operationId;
  bool json = false;
  int timeoutMs = 0;
};

/** Runs one command and returns the exit code. */
int
Run(const Options& aOptions, const std::vector<std::string>& aCommand);

} // namespace knapweedpaddle::cli
