#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <thread>
#include <vector>

namespace knapweedpaddle::soak {

/** What a proxy does to the bytes of its connections. */
enum class ProxyFault
{
  kNone,
  kDelay,         ///< bytes towards the server wait
  kReset,         ///< every connection is reset, and each new one
  kDropResponses, ///< bytes from the server are dropped
  kSilent,        ///< no bytes pass; connections stay open
};

/**
 * Forwards TCP connections on loopback and harms them on demand. Connections
 * that were open during a silent fault stay silent, as those that a middlebox
 * forgot.
 *
 * Thread safety: any thread.
 */
class LoopbackProxy
{
public:
  LoopbackProxy(std::uint16_t aPort, std::uint16_t aServerPort);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  void SetFault(ProxyFault aFault) { mFault = aFault; }

private:
  struct Connection
  {
    int client = -1;
    int server = -1;
    bool silenced = false;
    bool closed = false;
  };

  void Run();
  void Accept();
  void Forward(Connection& aConnection, bool aFromClient);
  static void Close(Connection& aConnection, bool aReset);

  std::uint16_t mServerPort;
  int mListener = -1;
  std::atomic<ProxyFault> mFault{ ProxyFault::kNone };
  std::atomic<bool> mStop{ false };
  std::list<Connection> mConnections;
  std::thread mThread;
};

} // namespace knapweedpaddle::soak
