#pragma once

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace knapweedpaddle::fakes {

/**
 * Returns a loopback address "IP:PORT" with an unused TCP port. Nothing
 * reserves the port, so another process may still take it.
 */
inline std::string
FreeAddress()
{
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
          0);
  socklen_t size = sizeof(address);
  getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
  close(probe);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

} // namespace knapweedpaddle::fakes
