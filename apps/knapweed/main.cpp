#include "Commands.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdio>
#include <cstdlib>

ABSL_FLAG(std::string,
          node,
          "127.0.0.1:7102",
          "address of the caller port of any node (IP:port)");
ABSL_FLAG(std::string,
          token,
          "",
          "token of the operator (or set KNAPWEED_TOKEN)");
ABSL_FLAG(
  std::string,
  operation_id,
  "",
  "id of the operation; repeats an operation whose outcome was unknown");
ABSL_FLAG(std::string, output, "table", "output format: table or json");
ABSL_FLAG(int, timeout_ms, 15000, "timeout of each request (ms)");

int
main(int aCount, char** aArguments)
{
  using namespace knapweedpaddle::cli;

  absl::SetProgramUsageMessage(kUsage);
  const auto words = absl::ParseCommandLine(aCount, aArguments);

  Options options;
  options.node = absl::GetFlag(FLAGS_node);
  options.token = absl::GetFlag(FLAGS_token);
  if (const char* it = std::getenv("KNAPWEED_TOKEN");
      it && options.token.empty()) {
    options.token = it;
  }
  options.operationId = absl::GetFlag(FLAGS_operation_id);
  options.json = absl::GetFlag(FLAGS_output) == "json";
  options.timeoutMs = absl::GetFlag(FLAGS_timeout_ms);
  const std::vector<std::string> command(words.begin() + 1, words.end());
  return Run(options, command);
}
