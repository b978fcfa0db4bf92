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

/** The platform-specific parts of a FleetNode. */
struct FleetPlatform
{
  std::string settingsPath; ///< file that is watched for changed settings
  /** Loads the settings; on failure sets aReason and returns nothing. */
  std::function<std::optional<settings::FleetSettings>(std::string& aReason)>
    loadSettings;
  store::StoreFactory makeStore;
  /** Creates the access to operators' configurations and rollout orders. */
  std::function<std::unique_ptr<operators::OrderStore>(store::StoreClient&)>
    makeOrderStore;
  /** Decodes a backend server's report; on failure sets aReason and returns
   * nothing. */
  std::function<std::optional<backends::ServerReport>(const http::Request&,
                                                      std::string& aReason)>
    decodeReport;
  callers::CallerDialect callerDialect;
  backends::BackendDialect backendDialect;
};

/**
 * A node whose operators write whole configurations into the platform's store.
 * It runs a control thread and a traffic thread.
 */
class FleetNode
{
public:
  FleetNode(FleetPlatform aPlatform, settings::FleetSettings aSettings);
  ~FleetNode();
  FleetNode(const FleetNode&) = delete;
  FleetNode& operator=(const FleetNode&) = delete;

  /**
   * Serves until SIGTERM or SIGINT, then leaves gracefully.
   *
   * @return the process's exit code: 0 after a graceful stop, 1 if calls were
   * still in progress when the grace period ended, 2 if the node could not
   * start.
   */
  int Run();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::node
