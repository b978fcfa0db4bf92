#pragma once

#include "knapweedpaddle/moves/EvidenceReport.h"
#include "knapweedpaddle/nodes/GossipCodec.h"

#include <functional>

namespace knapweedpaddle::nodes {

/**
 * What a node asks of another over a stream. Thread safety: control thread
 * only; callbacks run there, once each, never from inside the call.
 */
class PeerClient
{
public:
  using JoinCallback = std::function<void(std::optional<JoinAnswer>)>;
  using PullCallback = std::function<void(std::optional<PullAnswer>)>;

  virtual ~PeerClient() = default;

  /** Tells a peer of this node and asks for everything it knows. */
  virtual void Join(const std::string& aAddress,
                    const MemberUpdate& aSelf,
                    JoinCallback aCallback) = 0;

  /** Asks a peer for the configuration after a version. */
  virtual void Pull(const std::string& aAddress,
                    std::uint64_t aFromVersion,
                    PullCallback aCallback) = 0;

  /** Sends evidence; a report that is lost is replaced by the next. */
  virtual void Report(const std::string& aAddress,
                      const moves::EvidenceReport& aReport) = 0;
};

} // namespace knapweedpaddle::nodes
