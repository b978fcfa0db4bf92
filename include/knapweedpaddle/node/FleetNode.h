#pragma once

#include "knapweedpaddle/backends/BackendDialect.h"
#include "knapweedpaddle/backends/ServerReport.h"
#include "knapweedpaddle/callers/CallerDialect.h"
#include "knapweedpaddle/http/Message.h"
#include "knapweedpaddle/operators/OrderStore.h"
#include "knapweedpaddle/settings/FleetSettings.h"
#include "knapweedpaddle/store/StoreFactory.h"

#include <functional>
#include <memory>

namespace knapweedpaddle::node {

/** What ties a node to the platform that it runs on. */
struct FleetPlatform
{
  std::string settingsPath;
  std::function<std::optional<settings::FleetSettings>(std::string& aReason)>
    loadSettings;
  store::StoreFactory makeStore;
  std::function<std::unique_ptr<operators::OrderStore>(store::StoreClient&)>
    makeDesk;
  std::function<std::optional<backends::ServerReport>(const http::Request&,
                                                      std::string& aReason)>
    decodeReport;
  callers::CallerDialect callerDialect;
  backends::BackendDialect backendDialect;
};

/**
 * A node whose operators write whole configurations into the store: a control
 * thread and a traffic thread.
 */
class FleetNode
{
public:
  FleetNode(FleetPlatform aPlatform, settings::FleetSettings aSettings);
  ~FleetNode();
  FleetNode(const FleetNode&) = delete;
  FleetNode& operator=(const FleetNode&) = delete;

  /** Runs until SIGTERM or SIGINT; returns the exit code. */
  int Run();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::node
