#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <thread>
#include <vector>

namespace knapweedpaddle::soak {

/** A fault that a proxy applies to its connections. */
enum class ProxyFault
{
  kNone,
  kDelay,         ///< data sent to the server is delayed
  kReset,         ///< open and new connections are reset
  kDropResponses, ///< data sent by the server is dropped
  kSilent,        ///< no data is forwarded; connections stay open
};

/**
 * Forwards TCP connections from one loopback port to another and injects faults
 * on request. A connection that is open during a kSilent fault stays silent
 * after it, as if a middlebox had dropped the connection's state.
 *
 * Thread safety: SetFault may be called from any thread.
 */
class LoopbackProxy
{
public:
  /** Starts to listen; throws std::runtime_error if the port can't be used.
   *
   * @param aPort        port on which clients connect.
   * @param aServerPort  port to which their data is forwarded. */
  LoopbackProxy(std::uint16_t aPort, std::uint16_t aServerPort);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  void SetFault(ProxyFault aFault) { mFault = aFault; }

private:
  struct Connection
  {
    int client = -1;       ///< socket accepted from the client
    int server = -1;       ///< socket connected to the server
    bool silenced = false; ///< forwards nothing until it is closed
    bool closed = false;
  };

  void Run();
  void Accept();

  /** Forwards the data received on one of the connection's two sockets. */
  void Forward(Connection& aConnection, bool aFromClient);

  /** Closes both sockets, with a TCP reset if requested. */
  static void Close(Connection& aConnection, bool aReset);

  std::uint16_t mServerPort;
  int mListener = -1;
  std::atomic<ProxyFault> mFault{ ProxyFault::kNone };
  std::atomic<bool> mStop{ false };
  std::list<Connection> mConnections;
  std::thread mThread;
};

} // namespace knapweedpaddle::soak
