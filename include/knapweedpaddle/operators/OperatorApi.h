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
  struct Services
  {
    ChangeAcceptor& acceptor;
    config::ConfigStore& store;
    store::StoreClient& platform;
    nodes::Membership& members;
    callers::CallJournal& journal;
    telemetry::Metrics& metrics;
    std::function<bool()> isServing;
    std::function<std::string(const std::string& aMove)>
      explainMove; ///< JSON, or "" for none
    std::function<bool(const std::string& aBody, std::string& aReason)>
      announce;
  };

  OperatorApi(Services aServices, std::vector<settings::OperatorToken> aTokens);

  /** Answers a request whose path begins with "/-/". */
  void Handle(const callers::CallRequest& aRequest,
              const callers::CallerServer::Respond& aRespond);

private:
  using Respond = callers::CallerServer::Respond;
  using Method = void (OperatorApi::*)(const callers::CallRequest&,
                                       const std::string& aRest,
                                       const Respond&);

  struct Endpoint
  {
    const char* method;
    const char*
      path; ///< a trailing '/' takes the rest of the path as an argument
    Method handler;
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

  std::optional<std::string> OwnerOf(
    const callers::CallRequest& aRequest) const;

  Services mServices;
  std::vector<settings::OperatorToken> mTokens;
};

} // namespace knapweedpaddle::operators
