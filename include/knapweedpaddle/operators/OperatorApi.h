#pragma once

#include "knapweedpaddle/callers/CallJournal.h"
#include "knapweedpaddle/callers/CallerServer.h"
#include "knapweedpaddle/nodes/Membership.h"
#include "knapweedpaddle/operators/ChangeAcceptor.h"
#include "knapweedpaddle/settings/NodeSettings.h"
#include "knapweedpaddle/telemetry/Metrics.h"

#include <functional>

namespace knapweedpaddle::operators {

/**
 * The operators' HTTP API, as docs/PROTOCOLS.md describes it.
 *
 * Thread safety: control thread only.
 */
class OperatorApi
{
public:
  /** What the API reads and changes. */
  struct Services
  {
    ChangeAcceptor& acceptor;
    config::ConfigStore& store;
    store::StoreClient& platform;
    nodes::Membership& members;
    callers::CallJournal& journal;
    telemetry::Metrics& metrics;
    std::function<bool()> isServing;
    /** Returns a move's state as JSON, or "" if the move does not exist. */
    std::function<std::string(const std::string& aMove)> explainMove;
    /** Registers the announced backend server; returns false, with the reason
     * in aReason, if the announcement is not valid. */
    std::function<bool(const std::string& aBody, std::string& aReason)>
      announce;
  };

  OperatorApi(Services aServices, std::vector<settings::OperatorToken> aTokens);

  /** Handles a request whose path begins with "/-/". */
  void Handle(const callers::CallRequest& aRequest,
              const callers::CallerServer::Respond& aRespond);

private:
  using Respond = callers::CallerServer::Respond;
  using Handler = void (OperatorApi::*)(const callers::CallRequest&,
                                        const std::string& aRest,
                                        const Respond&);

  struct Endpoint
  {
    const char* method;
    /** The path. If it ends in '/', the rest of a request's path is an argument
     * of the handler. */
    const char* path;
    Handler handler;
  };

  static const std::vector<Endpoint>& Endpoints();

  void Apply(const callers::CallRequest& aRequest,
             const std::string& aRest,
             const Respond&);
  void List(const callers::CallRequest& aRequest,
            const std::string& aRest,
            const Respond&);
  void Get(const callers::CallRequest& aRequest,
           const std::string& aRest,
           const Respond&);
  void History(const callers::CallRequest& aRequest,
               const std::string& aRest,
               const Respond&);
  void Status(const callers::CallRequest& aRequest,
              const std::string& aRest,
              const Respond&);
  void ExplainCall(const callers::CallRequest& aRequest,
                   const std::string& aRest,
                   const Respond&);
  void ExplainMove(const callers::CallRequest& aRequest,
                   const std::string& aRest,
                   const Respond&);
  void ShowMetrics(const callers::CallRequest& aRequest,
                   const std::string& aRest,
                   const Respond&);
  void Ready(const callers::CallRequest& aRequest,
             const std::string& aRest,
             const Respond&);
  void Announce(const callers::CallRequest& aRequest,
                const std::string& aRest,
                const Respond&);

  /** Returns the owner that a request's token belongs to, if any. */
  std::optional<std::string> OwnerOf(
    const callers::CallRequest& aRequest) const;

  Services mServices;
  std::vector<settings::OperatorToken> mTokens;
};

} // namespace knapweedpaddle::operators
