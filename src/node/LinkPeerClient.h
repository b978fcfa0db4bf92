#pragma once

#include "knapweedpaddle/nodes/LinkClient.h"
#include "knapweedpaddle/nodes/PeerClient.h"

namespace knapweedpaddle::node {

/** Path of the link request that joins a peer. */
inline constexpr const char* kJoinPath = "/join";
/** Path of the link request for the configuration after a version. */
inline constexpr const char* kPullPath = "/pull";

/** Sends requests to peers over links. Thread safety: control thread only. */
class LinkPeerClient : public nodes::PeerClient
{
public:
  /** Counts the bytes of each request and answer; aKind names the request. */
  using ByteCounter = std::function<
    void(const char* aKind, std::size_t aSent, std::size_t aReceived)>;

  LinkPeerClient(runtime::EventLoop& aLoop, ByteCounter aCountBytes);

  void Join(const std::string& aAddress,
            const nodes::MemberUpdate& aSelf,
            JoinCallback aCallback) override;
  void Pull(const std::string& aAddress,
            std::uint64_t aFromVersion,
            PullCallback aCallback) override;
  void Report(const std::string& aAddress,
              const moves::EvidenceReport& aReport) override;

private:
  /** Receives the answer's body, or nullptr if the request failed. */
  using BodyCallback = std::function<void(const std::string*)>;
  void SendRequest(const std::string& aAddress,
                   const char* aPath,
                   std::string aBody,
                   const BodyCallback& aCallback);

  nodes::LinkClient mLinks;
  ByteCounter mCountBytes;
};

} // namespace knapweedpaddle::node
