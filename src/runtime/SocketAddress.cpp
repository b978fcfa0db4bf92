#include "SocketAddress.h"

#include <arpa/inet.h>
#include <charconv>

namespace knapweedpaddle::runtime {

std::optional<sockaddr_in>
SocketAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  if (inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address.sin_addr) !=
      1) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* last = aText.data() + aText.size();
  if (const auto [end, ec] =
        std::from_chars(aText.data() + colon + 1, last, port);
      ec != std::errc() || end != last) {
    return std::nullopt;
  }
  address.sin_port = htons(port);
  return address;
}

} // namespace knapweedpaddle::runtime
