#pragma once

#include <netinet/in.h>
#include <optional>
#include <string>

namespace knapweedpaddle::runtime {

/** Parses "a.b.c.d:port". */
std::optional<sockaddr_in>
SocketAddress(const std::string& aText);

} // namespace knapweedpaddle::runtime
