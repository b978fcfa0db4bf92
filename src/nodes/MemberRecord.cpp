#include "knapweedpaddle/nodes/MemberRecord.h"

#include <arpa/inet.h>
#include <charconv>
#include <tuple>

namespace knapweedpaddle::nodes {

std::string
ToString(NodeId aNode)
{
  return AddressWithPort(
    aNode, static_cast<std::uint16_t>(static_cast<std::uint64_t>(aNode)));
}

std::string
AddressWithPort(NodeId aNode, std::uint16_t aPort)
{
  in_addr address{};
  address.s_addr =
    htonl(static_cast<std::uint32_t>(static_cast<std::uint64_t>(aNode) >> 16));
  std::array<char, INET_ADDRSTRLEN> buf{};
  inet_ntop(AF_INET, &address, buf.data(), buf.size());
  return std::string(buf.data()) + ":" + std::to_string(aPort);
}

std::optional<NodeId>
ParseNodeId(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  in_addr address{};
  if (colon == std::string::npos ||
      inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address) != 1) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* first = aText.data() + colon + 1;
  const char* last = aText.data() + aText.size();
  if (const auto [end, ec] = std::from_chars(first, last, port);
      ec != std::errc() || end != last || port == 0) {
    return std::nullopt;
  }
  const std::uint64_t ip = ntohl(address.s_addr);
  return NodeId{ ip << 16 | port };
}

bool
IsNewer(const MemberRecord& aFirst, const MemberRecord& aSecond)
{
  return std::tie(aFirst.incarnation, aFirst.sequence) >
         std::tie(aSecond.incarnation, aSecond.sequence);
}

} // namespace knapweedpaddle::nodes
