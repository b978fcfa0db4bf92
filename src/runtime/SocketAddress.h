#pragma once

#include <netinet/in.h>
#include <optional>
#include <string>

namespace knapweedpaddle::runtime {

/** Parses an IPv4 address and port like "127.0.0.1:80". @return std::nullopt if
 * the text is anything else. */
std::optional<sockaddr_in>
SocketAddress(const std::string& aText);

} // namespace knapweedpaddle::runtime
