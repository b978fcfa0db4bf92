#include "RowStoreClient.h"
#include "knapweedpaddle/node/Node.h"
#include "knapweedpaddle/settings/NodeSettings.h"
#include "knapweedpaddle/telemetry/Log.h"

#include <cstdio>
#include <cstring>

namespace {

constexpr int kExitBadSettings = 2;

} // namespace

int
main(int aCount, char** aArguments)
{
  using namespace knapweedpaddle;

  if (aCount == 2 && std::strcmp(aArguments[1], "--print_settings_page") == 0) {
    std::fputs(settings::SettingsPage().c_str(), stdout);
    return 0;
  }
  std::string reason;
  const auto parsed = settings::ParseNodeSettings(aCount, aArguments, reason);
  if (!parsed) {
    std::fprintf(stderr, "knapweedd: %s\n", reason.c_str());
    return kExitBadSettings;
  }
  telemetry::StartLog(*ValueOf(telemetry::kLogLevelNames, parsed->logLevel));
  return node::Node(*parsed, platform::RowStoreClient::Factory()).Run();
}
