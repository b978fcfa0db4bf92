#pragma once

#include "knapweedpaddle/backends/BackendDialect.h"
#include "knapweedpaddle/backends/ClaimService.h"
#include "knapweedpaddle/backends/ServerLoad.h"
#include "knapweedpaddle/backends/SlotQueue.h"
#include "knapweedpaddle/callers/Call.h"
#include "knapweedpaddle/runtime/EventLoop.h"
#include "knapweedpaddle/telemetry/Metrics.h"
#include "knapweedpaddle/telemetry/Tracer.h"

#include <map>
#include <memory>
#include <unordered_map>

namespace knapweedpaddle::backends {

/** A call as its ingress node sends it to the owner of a backend server. */
struct ForwardedCall
{
  std::string callId;
  std::string service;
  std::string version; ///< a routing::VersionSelector
  std::string route;
  config::CallClass callClass = config::CallClass::kIdempotent;
  std::uint32_t priority = 0;
  std::uint64_t configVersion = 0; ///< by which the call was routed
  std::string idempotencyKey;
  Timestamp deadline;
  Milliseconds slowAfter{ 100 };
  Timestamp targetDeadline{}; ///< when slowAfter has passed for the caller
  telemetry::TraceContext trace;
  std::string method;
  std::string path;
  std::vector<callers::HttpHeader> headers;
  std::string body;
};

/** The backend server that announced itself to this node. */
struct BackendServer
{
  std::string address; ///< "IP:port"
  std::string service;
  std::string version;
  std::uint32_t slots = 0;
  std::string id{}; ///< of this start of the server, or empty

  bool operator==(const BackendServer&) const = default;
};

/** Names the calls whose results are summed together. */
struct EvidenceKey
{
  std::string version;
  std::string route;

  auto operator<=>(const EvidenceKey&) const = default;
};

/** Results of calls since the process started. */
struct EvidenceSums
{
  std::uint64_t calls = 0;
  std::uint64_t failures =
    0;                    ///< status 500 and above, and calls without an answer
  std::uint64_t slow = 0; ///< slower than the route's slow_after_ms

  bool operator==(const EvidenceSums&) const = default;
};

using EvidenceTable = std::map<EvidenceKey, EvidenceSums>;

/**
 * The only gate to the node's own backend server. Whatever is refused here
 * before dispatch was never sent, so "not-run" is true by construction.
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
  };

  BackendDispatcher(Services aServices, std::uint32_t aCheckSlots);
  ~BackendDispatcher();
  BackendDispatcher(const BackendDispatcher&) = delete;
  BackendDispatcher& operator=(const BackendDispatcher&) = delete;

  /** Sets the backend server, or nothing when it takes no more calls. */
  void SetBackend(std::optional<BackendServer> aBackend);

  using RunId = std::uint64_t;

  /** Runs a call; the callback runs once, never from inside Run(). */
  RunId Run(ForwardedCall aCall, callers::CallResultCallback aCallback);

  /** Gives up a call whose caller left; its callback never runs. */
  void Cancel(RunId aRun);

  /** Refuses all further calls; those dispatched go on. */
  void Drain();

  /** Number of calls not answered yet. */
  std::size_t InFlight() const;

  /** Returns the server's load as a call of a route finds it. */
  ServerLoad Load(const std::string& aRoute) const;

  /** Counts calls under way that are slow already, before they end. */
  void CountSlowInFlight();

  const EvidenceTable& Evidence() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::backends
