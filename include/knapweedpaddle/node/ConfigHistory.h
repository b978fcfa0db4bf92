#pragma once

#include "knapweedpaddle/config/Snapshot.h"
#include "knapweedpaddle/nodes/GossipCodec.h"

#include <deque>

namespace knapweedpaddle::node {

/**
 * The latest changes of a configuration, encoded once for all peers that ask.
 *
 * Thread safety: control thread only.
 */
class ConfigHistory
{
public:
  /** Notes what followed a configuration; the first one follows nothing. */
  void Add(const config::SnapshotPtr& aBefore,
           const config::SnapshotPtr& aAfter);

  /** Returns what a peer with a version lacks. */
  nodes::PullAnswer MakePullAnswer(std::uint64_t aFrom);

private:
  struct KeptChange
  {
    config::Change change; ///< without entries once it is encoded
    std::string encoded;   ///< empty until a peer asks
  };

  const std::string& EncodeOnce(KeptChange& aItem);

  std::deque<KeptChange> mChanges; ///< oldest first
  config::SnapshotPtr mLatest;
  std::string mEncodedLatest;
};

/** Decodes a change as ConfigHistory encodes it. */
std::optional<config::Change>
DecodeSentChange(const std::string& aBytes, config::ConfigReason& aReason);

/** Decodes a whole configuration as ConfigHistory encodes it. */
std::optional<config::Snapshot>
DecodeSentSnapshot(const std::string& aBytes, config::ConfigReason& aReason);

} // namespace knapweedpaddle::node
