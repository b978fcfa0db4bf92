#pragma once

#include "knapweedpaddle/backends/BackendDispatcher.h"
#include "knapweedpaddle/callers/Call.h"
#include "knapweedpaddle/callers/CallJournal.h"
#include "knapweedpaddle/common/StopWindow.h"
#include "knapweedpaddle/common/TeamAllowance.h"
#include "knapweedpaddle/nodes/LinkClient.h"
#include "knapweedpaddle/routing/RoutingView.h"

#include <memory>

namespace knapweedpaddle::callers {

/**
 * Forwards the calls of callers: finds the route of a call, applies its limit,
 * chooses a backend server, sends the call to the owner node of that server,
 * and retries the call when that is safe.
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
    backends::BackendDispatcher& dispatcher;
    telemetry::Metrics& metrics;
    telemetry::Tracer& tracer;
    CallJournal& journal;
  };

  /** The node that the forwarder runs on. */
  struct Identity
  {
    nodes::NodeId node = nodes::kNoNode;
    std::string zone;
    /** Time within which an accepted configuration is in force on this node. */
    Milliseconds maxConfigApplyTime{ 2000 };
    /** Name of the header with a caller's key, and of the one with its team. */
    std::string keyHeader{};
    std::string teamHeader{};
    /** A caller's key is accepted only if the configuration was known to be the
     * newest within this time; 0: whatever its age. */
    Milliseconds maxKeyAge{ 0 };
    /** Slots that share the teams' allowances; see TeamAllowances. */
    std::size_t allowanceSlots = 0;
    /** Second tries of slow calls permitted for each call; 0: none. */
    double hedgeShare = 0.13;
  };

  CallForwarder(Services aServices, Identity aIdentity, std::uint64_t aSeed);
  ~CallForwarder();
  CallForwarder(const CallForwarder&) = delete;
  CallForwarder& operator=(const CallForwarder&) = delete;

  /** Sets the routing view for further calls and resumes held calls. */
  void SetView(routing::RoutingViewPtr aView);

  /** Records the boot time at which the configuration of the last view was the
   * newest one. */
  void ConfirmConfig(Microseconds aAsOf);

  /** Takes a coordinator's answer about the allowances of teams. */
  void UpdateAllowances(const AllowanceUpdate& aUpdate);

  /** Returns the calls of teams since the process started, to be reported. */
  std::vector<TeamUsage> TakeTeamUsages();

  /** Returns true if the calls of teams should be reported soon. */
  bool HasTeamSurge() const;

  /** Holds new calls until the configuration is confirmed as of now or later,
   * but for a limited time, so that a node that reaches nobody serves. */
  void Close();

  /** Cancels a call. */
  using CancelTask = std::function<void()>;

  /**
   * Forwards a call; the callback runs once.
   *
   * @return the task that cancels the call, also at the backend server, so that
   * the callback never runs; empty if the callback has run already.
   */
  CancelTask Forward(CallRequest aRequest, CallResultCallback aCallback);

  /** Limits the calls taken from now on to those that the window takes. */
  void BeginStop(const StopWindow& aWindow);

  /** Refuses new and held calls; calls in flight continue. */
  void Drain();

  /** Answers all calls in flight: as not run if that is certain. */
  void EndAll(const std::string& aReason);

  /** Returns the number of calls without a result, including held calls. */
  std::size_t InFlight() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::callers
