#pragma once

#include <fstream>
#include <sstream>
#include <string>
#include <sys/types.h>
#include <unistd.h>

namespace knapweedpaddle::bench {

/** Returns the processor time of a process, user and system, in seconds. */
inline double
CpuSeconds(pid_t aProcess)
{
  // Fields of /proc/PID/stat between the command in parentheses and utime.
  constexpr int kFieldsBeforeTimes = 11;
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/stat");
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int n = 0; n < kFieldsBeforeTimes; ++n) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/** Returns the resident memory of a process in MB, or 0 if it has ended. */
inline double
ResidentMb(pid_t aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::stod(line.substr(6)) / 1024;
    }
  }
  return 0;
}

} // namespace knapweedpaddle::bench
