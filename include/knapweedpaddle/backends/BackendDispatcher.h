#pragma once

#include "knapweedpaddle/backends/BackendDialect.h"
#include "knapweedpaddle/backends/ClaimService.h"
#include "knapweedpaddle/backends/ServerLoad.h"
#include "knapweedpaddle/backends/SlotQueue.h"
#include "knapweedpaddle/callers/Call.h"
#include "knapweedpaddle/common/CrashSuspect.h"
#include "knapweedpaddle/common/SharedBytes.h"
#include "knapweedpaddle/common/StopWindow.h"
#include "knapweedpaddle/runtime/EventLoop.h"
#include "knapweedpaddle/telemetry/Metrics.h"
#include "knapweedpaddle/telemetry/Tracer.h"

#include <map>
#include <memory>
#include <unordered_map>

namespace knapweedpaddle::backends {

/**
 * A call as its ingress node forwards it to the owner of a backend server. The
 * owner is the node on the VM of that server.
 */
struct ForwardedCall
{
  std::string callId;
  std::string service;
  std::string version; ///< of the server; empty: any
  std::string route;
  config::CallClass callClass = config::CallClass::kIdempotent;
  std::uint32_t priority = 0;
  std::uint64_t configVersion = 0; ///< configuration that routed the call
  std::string idempotencyKey;
  Timestamp deadline;
  Milliseconds slowAfter{ 100 }; ///< latency target of the route
  /** When the latency target ends, counted from the caller's first try. */
  Timestamp targetDeadline{};
  telemetry::TraceContext trace;
  std::string method;
  std::string path;
  std::vector<callers::HttpHeader> headers;
  SharedBytes body;
  /** Start of the owner's server that the ingress node knows to be leaving, as
   * BackendServer::StartName() returns it; empty if it knows of none. */
  std::string leavingServer{};
  /** Team of the caller; empty if the configuration holds no teams, or the call
   * needs none. */
  std::string team{};
};

/** The backend server that is registered at this node. */
struct BackendServer
{
  std::string address; ///< "IP:port"
  std::string service;
  std::string version;
  std::uint32_t slots = 0;
  std::string id{}; ///< instance id, mostly new for each start; may be empty
  /** Unix time of the server's start, which with the id identifies it; 0 if
   * unknown. */
  std::uint64_t startedAtMs = 0;
  /** Remaining warm-up time at the time of the server's last report. */
  Milliseconds warmupLeft{ 0 };

  /** Returns a name of this start of the server, "id@time"; empty without an
   * id, as a later start can't be told from this one then. */
  std::string StartName() const
  {
    return id.empty() ? "" : id + "@" + std::to_string(startedAtMs);
  }

  bool operator==(const BackendServer&) const = default;
};

/** What the configuration says of the warm-up of a service's servers. */
struct WarmupOptions
{
  double callsPerSecond = 0; ///< of a cold server; 0: no limit
  std::string healthPath;    ///< path of the health check, or empty

  bool operator==(const WarmupOptions&) const = default;
};

/** Warm-up options by service. */
using WarmupTable = std::map<std::string, WarmupOptions>;

/** Key by which the results of calls are counted. */
struct EvidenceKey
{
  std::string version;
  std::string route;

  auto operator<=>(const EvidenceKey&) const = default;
};

/** Counts of call results since the process started. */
struct EvidenceSums
{
  std::uint64_t calls = 0;
  /** Calls answered with status 500 or above, or not answered. */
  std::uint64_t failures = 0;
  /** Calls slower than the route's slow_after_ms. */
  std::uint64_t slow = 0;

  bool operator==(const EvidenceSums&) const = default;
};

/** Call counts by version and route. */
using EvidenceTable = std::map<EvidenceKey, EvidenceSums>;

/**
 * Admits calls to this node's backend server and dispatches them. All calls to
 * that server pass through this class, so a call that it refuses before
 * dispatch was never sent and its outcome "not-run" is certain.
 *
 * Thread safety: the traffic thread only.
 */
class BackendDispatcher
{
public:
  struct Services
  {
    runtime::EventLoop& loop;
    ClaimService& claims;
    telemetry::Metrics& metrics;
    telemetry::Tracer& tracer;
    BackendDialect dialect;
    /** Called when an answer says that the registered server is leaving; it
     * gets no more calls from then on. May be empty. */
    std::function<void(const BackendServer&)> onLeaving{};
  };

  BackendDispatcher(Services aServices, std::uint32_t aCheckSlots);
  ~BackendDispatcher();
  BackendDispatcher(const BackendDispatcher&) = delete;
  BackendDispatcher& operator=(const BackendDispatcher&) = delete;

  /** Sets the backend server; nothing while no server accepts calls. A server
   * whose answers said that it leaves is not accepted. */
  void SetBackend(std::optional<BackendServer> aBackend);

  /** Sets how the calls to cold servers are limited. */
  void SetWarmup(WarmupTable aTable);

  /** Sets whether operators evacuated this node's zone. Its server gets no
   * further calls then, and queued ones are refused. */
  void SetEvacuated(bool aEvacuated);

  /** Handles a pause of the process, in which the server may have changed. */
  void OnPause();

  /** Call every 100 ms. */
  void OnTick();

  /** Returns why Run() would refuse a call now; empty if it would not. Asked
   * before the body of a call is transferred. */
  std::string CheckRefusal(const ForwardedCall& aCall);

  /** Returns true if a request must not run, because several backend servers of
   * the mesh crashed while they ran it; see CrashDetector. */
  bool CrashesServers(const std::string& aMethod,
                      const std::string& aPath,
                      const std::string& aBody) const;

  /** Sets which requests may have crashed the servers of other nodes. */
  void SetSuspectsOfOtherNodes(CrashSuspects aSuspects);

  /** Returns the requests that may have crashed this node's server. */
  std::vector<CrashSuspect> ReportSuspects();

  /** Identifies a call passed to Run(). */
  using RunId = std::uint64_t;

  /** Runs a call; the callback runs once, after Run() has returned. */
  RunId Run(ForwardedCall aCall, callers::CallResultCallback aCallback);

  /** Cancels a call; its callback never runs. */
  void Cancel(RunId aRun);

  /** Limits the calls taken from now on to those that the window takes. */
  void BeginStop(const StopWindow& aWindow);

  /** Refuses new and queued calls; dispatched calls continue. */
  void Drain();

  /** Returns the number of calls whose callback has not run yet. */
  std::size_t InFlight() const;

  /** Returns the server's load, with the service time of one route. */
  ServerLoad Load(const std::string& aRoute) const;

  /**
   * Counts dispatched calls that already exceed their route's slow_after_ms as
   * slow, so that the evidence does not wait for them to end.
   */
  void CountSlowInFlight();

  /** Returns the call counts by version and route. */
  const EvidenceTable& Evidence() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::backends
