#include "knapweedpaddle/nodes/GossipSocket.h"

#include "knapweedpaddle/nodes/GossipCodec.h"
#include "knapweedpaddle/runtime/EventLoop.h"

#include <arpa/inet.h>
#include <array>
#include <sys/socket.h>
#include <unistd.h>

namespace knapweedpaddle::nodes {

namespace {

constexpr std::size_t kMaxDatagramBytes = 65536;
constexpr std::size_t kIpv4AndUdpHeaderBytes = 28;

sockaddr_in
ToSockaddr(NodeId aNode)
{
  const auto value = static_cast<std::uint64_t>(aNode);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(value));
  address.sin_addr.s_addr = htonl(static_cast<std::uint32_t>(value >> 16));
  return address;
}

} // namespace

GossipSocket::GossipSocket(std::string aMesh,
                           Handler aHandler,
                           ByteCounter aByteCounter)
  : mMesh(std::move(aMesh))
  , mHandler(std::move(aHandler))
  , mByteCounter(std::move(aByteCounter))
{
}

GossipSocket::~GossipSocket()
{
  if (mSocket >= 0) {
    close(mSocket);
  }
}

bool
GossipSocket::Open(runtime::EventLoop& aLoop, NodeId aAddress)
{
  mSocket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSockaddr(aAddress);
  if (mSocket < 0 || bind(mSocket,
                          reinterpret_cast<const sockaddr*>(&address),
                          sizeof(address)) != 0) {
    return false;
  }
  aLoop.WatchReadable(mSocket, [this] { Receive(); });
  return true;
}

void
GossipSocket::Send(const Datagram& aDatagram)
{
  const std::string bytes = EncodeGossip(aDatagram.message, mMesh);
  const sockaddr_in address = ToSockaddr(aDatagram.to);
  const ssize_t n = sendto(mSocket,
                           bytes.data(),
                           bytes.size(),
                           0,
                           reinterpret_cast<const sockaddr*>(&address),
                           sizeof(address));
  if (n > 0) {
    mByteCounter(static_cast<std::size_t>(n) + kIpv4AndUdpHeaderBytes, 0);
  }
}

void
GossipSocket::Receive()
{
  std::string buf(kMaxDatagramBytes, '\0');
  while (true) {
    const ssize_t n = recv(mSocket, buf.data(), buf.size(), 0);
    if (n <= 0) {
      return;
    }
    mByteCounter(0, static_cast<std::size_t>(n) + kIpv4AndUdpHeaderBytes);
    const auto message =
      DecodeGossip(buf.substr(0, static_cast<std::size_t>(n)), mMesh);
    if (!message) {
      ++mUndecodableDatagrams;
      continue;
    }
    mHandler(*message);
  }
}

} // namespace knapweedpaddle::nodes
