#pragma once

#include "knapweedpaddle/nodes/LinkClient.h"
#include "knapweedpaddle/nodes/PeerClient.h"

namespace knapweedpaddle::node {

/** Paths of the requests between nodes that are not calls. */
inline constexpr const char* kJoinPath = "/join";
inline constexpr const char* kPullPath = "/pull";

/** Reaches peers over links. Thread safety: control thread only. */
class LinkPeerClient : public nodes::PeerClient
{
public:
  using ByteCounter = std::function<
    void(const char* aKind, std::size_t aSent, std::size_t aReceived)>;

  LinkPeerClient(runtime::EventLoop& aLoop, ByteCounter aCounter);

  void Join(const std::string& aAddress,
            const nodes::MemberUpdate& aSelf,
            JoinCallback aCallback) override;
  void Pull(const std::string& aAddress,
            std::uint64_t aFromVersion,
            PullCallback aCallback) override;
  void Report(const std::string& aAddress,
              const moves::EvidenceReport& aReport) override;

private:
  using BodyCallback = std::function<void(const std::string*)>;
  void SendRequest(const std::string& aAddress,
                   const char* aPath,
                   std::string aBody,
                   const BodyCallback& aCallback);

  nodes::LinkClient mLinks;
  ByteCounter mCountBytes;
};

} // namespace knapweedpaddle::node
