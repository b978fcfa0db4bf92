#pragma once

#include "knapweedpaddle/settings/NodeSettings.h"
#include "knapweedpaddle/store/StoreFactory.h"

#include <memory>
#include <string>

namespace knapweedpaddle::node {

/**
 * A node that operators configure through its own API. It runs a control thread
 * and a traffic thread.
 */
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
   * @pre Called from the main thread before any other thread is started.
   * @return the process's exit code: 0 after a graceful stop, 1 if calls were
   * still in progress at the drain timeout, 2 if the node could not start.
   */
  int Run();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::node
