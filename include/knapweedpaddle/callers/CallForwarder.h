#pragma once

#include "knapweedpaddle/backends/BackendDispatcher.h"
#include "knapweedpaddle/callers/Call.h"
#include "knapweedpaddle/callers/CallJournal.h"
#include "knapweedpaddle/nodes/LinkClient.h"
#include "knapweedpaddle/routing/RoutingView.h"

#include <memory>

namespace knapweedpaddle::callers {

/**
 * The ingress side of a call: finds its route, applies limits, chooses the
 * owner node and sends the call again when that is safe.
 *
 * Thread safety: the traffic thread only.
 */
class CallForwarder
{
public:
  struct Services
  {
    runtime::EventLoop& loop;
    nodes::LinkClient& links;
    backends::BackendDispatcher& owner;
    telemetry::Metrics& metrics;
    telemetry::Tracer& tracer;
    CallJournal& journal;
  };

  struct Identity
  {
    nodes::NodeId node = nodes::kNoNode;
    std::string zone;
  };

  CallForwarder(Services aServices, Identity aIdentity, std::uint64_t aSeed);
  ~CallForwarder();
  CallForwarder(const CallForwarder&) = delete;
  CallForwarder& operator=(const CallForwarder&) = delete;

  void SetView(routing::RoutingViewPtr aView);

  /** Refuses calls until the next view is set. */
  void Close();

  using CancelTask = std::function<void()>;

  /**
   * Forwards a call; the callback runs once.
   *
   * @return gives the call up, also at the backend server; the callback then
   * never runs. Empty for a call that is over already.
   */
  CancelTask Forward(CallRequest aRequest, CallResultCallback aCallback);

  /** Refuses all further calls; those under way go on. */
  void Drain();

  std::size_t InFlight() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::callers
