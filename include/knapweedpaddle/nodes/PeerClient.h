#pragma once

#include "knapweedpaddle/moves/EvidenceReport.h"
#include "knapweedpaddle/nodes/GossipCodec.h"

#include <functional>

namespace knapweedpaddle::nodes {

/**
 * Sends control requests to other nodes. Each callback runs once, and never
 * before the method that it was passed to has returned.
 *
 * Thread safety: control thread only, callbacks included.
 */
class PeerClient
{
public:
  using JoinCallback = std::function<void(std::optional<JoinAnswer>)>;
  using PullCallback = std::function<void(std::optional<PullAnswer>)>;

  virtual ~PeerClient() = default;

  /** Announces this node to a peer and requests the peer's state. */
  virtual void Join(const std::string& aAddress,
                    const MemberUpdate& aSelf,
                    JoinCallback aCallback) = 0;

  /** Requests the configuration changes after a version from a peer. */
  virtual void Pull(const std::string& aAddress,
                    std::uint64_t aFromVersion,
                    PullCallback aCallback) = 0;

  /** Sends an evidence report without waiting for a response. A lost report
   * does no harm, as the next one contains its counts. */
  virtual void Report(const std::string& aAddress,
                      const moves::EvidenceReport& aReport) = 0;
};

} // namespace knapweedpaddle::nodes
