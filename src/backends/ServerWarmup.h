#pragma once

#include "knapweedpaddle/backends/BackendDispatcher.h"
#include "knapweedpaddle/backends/WarmupLimit.h"
#include "knapweedpaddle/http/Client.h"

namespace knapweedpaddle::backends {

/**
 * Knows whether this node's backend server is cold. The server's reports tell
 * it; when the server may have become cold since the last one, its health check
 * is asked. Does nothing for services whose cold servers have no limit.
 *
 * Thread safety: the traffic thread only.
 */
class ServerWarmup
{
public:
  struct Services
  {
    runtime::EventLoop& loop;
    telemetry::Metrics& metrics;
    const BackendDialect& dialect;
  };

  explicit ServerWarmup(Services aServices);
  ~ServerWarmup();
  ServerWarmup(const ServerWarmup&) = delete;
  ServerWarmup& operator=(const ServerWarmup&) = delete;

  WarmupLimit& Limit() { return mLimit; }
  const WarmupLimit& Limit() const { return mLimit; }

  /** Sets the limits of cold servers and the paths of their health checks. */
  void SetTable(WarmupTable aTable);

  /** Takes a report of the server; nothing while there is no server. */
  void SetServer(const std::optional<BackendServer>& aServer);

  /** Handles a sign that the server was away, after which it may be cold. */
  void OnServerAway();

  /** Handles the loss of a connection to the server. The server is asked
   * whether it was away; calls go on meanwhile, as a server that is cold again
   * refuses connections first. */
  void OnConnectionLost();

  /** Notices missed reports and the end of the warm-up; call every 100 ms. */
  void OnTick();

private:
  static Timestamp Now() { return std::chrono::steady_clock::now(); }

  void ApplyOptions();
  void SendProbe();
  void OnProbeAnswer(const std::optional<http::Response>& aResponse,
                     const http::ClientReason& aReason);
  void EndProbe();
  /** Returns the rest of the warm-up that a health response names; nothing if
   * the response is not of this node's server or does not tell. */
  std::optional<Milliseconds> WarmupLeft(const http::Response& aResponse) const;
  void LogChange();

  Services mServices;
  WarmupTable mTable;
  WarmupOptions mOptions; ///< of the server's service
  WarmupLimit mLimit;
  http::Client mHttp;
  std::string mService;  ///< service of the server that was last known
  std::string mServerId; ///< empty while there is no server
  std::string mAddress;  ///< "IP:port" of the server
  Timestamp mReportedAt{};
  http::Client::RequestId mProbe = 0;
  runtime::EventLoop::TimerId mProbeTimer = 0;
  bool mIsCold = false; ///< as last logged
};

} // namespace knapweedpaddle::backends
