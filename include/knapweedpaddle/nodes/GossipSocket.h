#pragma once

#include "knapweedpaddle/nodes/GossipMessage.h"

#include <functional>

namespace knapweedpaddle::runtime {
class EventLoop;
}

namespace knapweedpaddle::nodes {

/**
 * Sends and receives gossip datagrams over UDP.
 *
 * Thread safety: control thread only.
 */
class GossipSocket
{
public:
  using Handler = std::function<void(const GossipMessage&)>;
  using ByteCounter =
    std::function<void(std::size_t aSent, std::size_t aReceived)>;

  /** @param aMesh  name of the mesh; datagrams of other meshes are dropped. */
  GossipSocket(std::string aMesh, Handler aHandler, ByteCounter aByteCounter);
  ~GossipSocket();
  GossipSocket(const GossipSocket&) = delete;
  GossipSocket& operator=(const GossipSocket&) = delete;

  /**
   * Binds the socket and starts receiving.
   *
   * @return false if the address can't be bound.
   */
  bool Open(runtime::EventLoop& aLoop, NodeId aAddress);

  void Send(const Datagram& aDatagram);

  /** Number of received datagrams that could not be decoded. */
  std::uint64_t UndecodableDatagrams() const { return mUndecodableDatagrams; }

private:
  void Receive();

  std::string mMesh;
  Handler mHandler;
  ByteCounter mByteCounter;
  int mSocket = -1;
  std::uint64_t mUndecodableDatagrams = 0;
};

} // namespace knapweedpaddle::nodes
