#pragma once

#include "knapweedpaddle/config/Snapshot.h"
#include "knapweedpaddle/nodes/GossipCodec.h"

#include <deque>

namespace knapweedpaddle::node {

/**
 * Keeps the latest changes of a configuration for peers that pull. Each change
 * is encoded once, when the first peer needs it.
 *
 * Thread safety: control thread only.
 */
class ConfigHistory
{
public:
  /**
   * Adds a new configuration.
   *
   * @param aBefore  configuration that it replaces; null for the first one.
   */
  void Add(const config::SnapshotPtr& aBefore,
           const config::SnapshotPtr& aAfter);

  /** Returns what a peer with version aFrom needs to catch up: the changes if
   * they are all kept, otherwise the whole configuration. */
  nodes::PullAnswer MakePullAnswer(std::uint64_t aFrom);

private:
  struct KeptChange
  {
    config::Change change; ///< its entries are dropped once it is encoded
    std::string encoded;   ///< wire form; empty until a peer needs it
  };

  /** Returns the wire form of a change, encoding it on the first call. */
  const std::string& EncodeOnce(KeptChange& aChange);

  std::deque<KeptChange> mChanges; ///< oldest first
  config::SnapshotPtr mLatest;
  std::string mEncodedLatest; ///< wire form; empty until a peer needs it
};

/** Decodes the wire form of a change that a peer's ConfigHistory sent. */
std::optional<config::Change>
DecodeSentChange(const std::string& aBytes, config::ConfigReason& aReason);

/** Decodes the wire form of a whole configuration that a peer sent. */
std::optional<config::Snapshot>
DecodeSentSnapshot(const std::string& aBytes, config::ConfigReason& aReason);

} // namespace knapweedpaddle::node
