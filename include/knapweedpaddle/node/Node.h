#pragma once

#include "knapweedpaddle/settings/NodeSettings.h"
#include "knapweedpaddle/store/StoreFactory.h"

#include <memory>
#include <string>

namespace knapweedpaddle::node {

/** One whole node: control thread, traffic thread and HTTP server. */
class Node
{
public:
  Node(settings::NodeSettings aSettings, const store::StoreFactory& aMakeStore);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /**
   * Serves until SIGTERM or SIGINT, then leaves gracefully.
   *
   * @pre Called from the main thread before any other thread was started.
   * @return the process's exit code: 0 after a graceful stop, 1 when calls
   * were still under way at the drain timeout, 2 when it could not start.
   */
  int Run();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::node
