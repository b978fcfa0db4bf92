#include "knapweedpaddle/operators/OperatorApi.h"

#include "knapweedpaddle/store/CatalogueRows.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace knapweedpaddle::operators {

using callers::CallRequest;
using callers::NodeResponse;
using Json = nlohmann::ordered_json;

namespace {

constexpr std::size_t kMaxHistoryChanges = 50;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/** HTTP status of each AcceptOutcome, in the order of the enum. */
constexpr std::array<int, 6> kAcceptOutcomeStatus{
  200, 422, 403, 409, 503, 504
};

NodeResponse
Answer(int aStatus, const Json& aJson)
{
  NodeResponse answer;
  answer.status = aStatus;
  answer.body = aJson.dump() + "\n";
  return answer;
}

NodeResponse
ErrorAnswer(int aStatus, const std::string& aMessage)
{
  return Answer(aStatus,
                Json{ { "outcome", "refused" }, { "message", aMessage } });
}

Json
MemberJson(const nodes::MemberRecord& aRecord,
           nodes::Liveness aLiveness,
           std::uint64_t aConfigVersion)
{
  return Json{ { "node", ToString(aRecord.node) },
               { "zone", aRecord.zone },
               { "service", aRecord.service },
               { "version", aRecord.version },
               { "slots", aRecord.slots },
               { "state", NameOf(nodes::kMemberStateNames, aRecord.state) },
               { "liveness", NameOf(nodes::kLivenessNames, aLiveness) },
               { "config_version", aConfigVersion } };
}

} // namespace

OperatorApi::OperatorApi(Services aServices,
                         std::vector<settings::OperatorToken> aTokens)
  : mServices(std::move(aServices))
  , mTokens(std::move(aTokens))
{
}

const std::vector<OperatorApi::Endpoint>&
OperatorApi::Endpoints()
{
  static const std::vector<Endpoint> kEndpoints{
    { "POST", "/-/v1/changes", &OperatorApi::Apply },
    { "GET", "/-/v1/entries", &OperatorApi::List },
    { "GET", "/-/v1/entries/", &OperatorApi::Get },
    { "GET", "/-/v1/history", &OperatorApi::History },
    { "GET", "/-/v1/status", &OperatorApi::Status },
    { "GET", "/-/v1/explain/call/", &OperatorApi::ExplainCall },
    { "GET", "/-/v1/explain/move/", &OperatorApi::ExplainMove },
    { "GET", "/-/metrics", &OperatorApi::ShowMetrics },
    { "GET", "/-/ready", &OperatorApi::Ready },
    { "POST", "/-/v1/announce", &OperatorApi::Announce },
  };
  return kEndpoints;
}

void
OperatorApi::Handle(const CallRequest& aRequest, const Respond& aRespond)
{
  const std::string path = aRequest.path.substr(0, aRequest.path.find('?'));
  bool pathKnown = false;
  for (const auto& it : Endpoints()) {
    const std::string pattern = it.path;
    const bool matches = pattern.back() == '/' ? path.starts_with(pattern) &&
                                                   path.size() > pattern.size()
                                               : path == pattern;
    pathKnown |= matches;
    if (matches && aRequest.method == it.method) {
      const std::string rest =
        path.substr(std::min(path.size(), pattern.size()));
      (this->*it.handler)(aRequest, rest, aRespond);
      return;
    }
  }
  aRespond(pathKnown
             ? ErrorAnswer(405,
                           "method " + aRequest.method +
                             " is not allowed for this path")
             : ErrorAnswer(kNotFound, "path \"" + path + "\" does not exist"));
}

std::optional<std::string>
OperatorApi::OwnerOf(const CallRequest& aRequest) const
{
  static const std::string kScheme = "Bearer ";
  const std::string* header =
    http::FindHeader(aRequest.headers, "authorization");
  if (!header || !header->starts_with(kScheme)) {
    return std::nullopt;
  }
  const std::string token = header->substr(kScheme.size());
  const auto it =
    std::ranges::find(mTokens, token, &settings::OperatorToken::token);
  if (it == mTokens.end()) {
    return std::nullopt;
  }
  return it->owner;
}

void
OperatorApi::Apply(const CallRequest& aRequest,
                   const std::string&,
                   const Respond& aRespond)
{
  const auto owner = OwnerOf(aRequest);
  if (!owner) {
    aRespond(
      ErrorAnswer(kUnauthorized, "the operator's token is missing or unknown"));
    return;
  }
  config::ConfigReason reason;
  auto request = config::DecodeChangeRequest(aRequest.body, reason);
  if (!request) {
    aRespond(ErrorAnswer(kBadRequest, reason.message));
    return;
  }
  mServices.acceptor.Accept(
    std::move(*request), *owner, [this, aRespond](const AcceptResult& aResult) {
      const std::string outcome(NameOf(kAcceptOutcomeNames, aResult.outcome));
      mServices.metrics.Count("changes_total", { { "outcome", outcome } });
      aRespond(
        Answer(kAcceptOutcomeStatus[static_cast<std::size_t>(aResult.outcome)],
               Json{ { "outcome", outcome },
                     { "version", aResult.version },
                     { "message", aResult.message } }));
    });
}

void
OperatorApi::List(const CallRequest&,
                  const std::string&,
                  const Respond& aRespond)
{
  NodeResponse answer;
  answer.body = config::EncodeSnapshot(*mServices.store.Current()) + "\n";
  aRespond(answer);
}

void
OperatorApi::Get(const CallRequest&,
                 const std::string& aRest,
                 const Respond& aRespond)
{
  const auto id = config::EntryId::Parse(aRest);
  const auto* entry = id ? mServices.store.Current()->Find(*id) : nullptr;
  if (!entry) {
    aRespond(ErrorAnswer(kNotFound, "entry \"" + aRest + "\" does not exist"));
    return;
  }
  NodeResponse answer;
  answer.body = config::EncodeEntry(*entry) + "\n";
  aRespond(answer);
}

void
OperatorApi::History(const CallRequest&,
                     const std::string&,
                     const Respond& aRespond)
{
  const std::uint64_t version = mServices.store.Version();
  const std::uint64_t first =
    version > kMaxHistoryChanges ? version - kMaxHistoryChanges + 1 : 1;
  mServices.platform.ReadRange(
    store::kChangePrefix,
    store::ChangeKey(first),
    kMaxHistoryChanges,
    [aRespond](const std::optional<std::vector<store::Row>>& aRows,
               const store::StoreReason& aReason) {
      if (!aRows) {
        aRespond(ErrorAnswer(kUnavailable, aReason.message));
        return;
      }
      Json changes = Json::array();
      for (const auto& it : *aRows) {
        changes.push_back(Json::parse(it.value, nullptr, false));
      }
      aRespond(Answer(kOk, Json{ { "changes", changes } }));
    });
}

void
OperatorApi::Status(const CallRequest&,
                    const std::string&,
                    const Respond& aRespond)
{
  const nodes::Membership& members = mServices.members;
  Json list = Json::array();
  list.push_back(MemberJson(
    members.Self(), nodes::Liveness::kAlive, mServices.store.Version()));
  for (const auto& [id, member] : members.Members()) {
    list.push_back(MemberJson(
      member.record, member.liveness, members.RememberedVersion(id)));
  }
  aRespond(Answer(kOk,
                  Json{ { "version", mServices.store.Version() },
                        { "digest", mServices.store.Current()->Digest() },
                        { "serving", mServices.isServing() },
                        { "members", list } }));
}

void
OperatorApi::ExplainCall(const CallRequest&,
                         const std::string& aRest,
                         const Respond& aRespond)
{
  const auto record = mServices.journal.Find(aRest);
  if (!record) {
    aRespond(ErrorAnswer(
      kNotFound,
      "call \"" + aRest +
        "\" is not among the latest unanswered calls of this node"));
    return;
  }
  aRespond(Answer(kOk,
                  Json{ { "call", record->callId },
                        { "path", record->path },
                        { "outcome", record->outcome },
                        { "steps", record->steps } }));
}

void
OperatorApi::ExplainMove(const CallRequest&,
                         const std::string& aRest,
                         const Respond& aRespond)
{
  const std::string text = mServices.explainMove(aRest);
  if (text.empty()) {
    aRespond(ErrorAnswer(kNotFound, "move \"" + aRest + "\" does not exist"));
    return;
  }
  NodeResponse answer;
  answer.body = text + "\n";
  aRespond(answer);
}

void
OperatorApi::ShowMetrics(const CallRequest&,
                         const std::string&,
                         const Respond& aRespond)
{
  NodeResponse answer;
  answer.contentType = "text/plain; version=0.0.4";
  answer.body = mServices.metrics.Expose();
  aRespond(answer);
}

void
OperatorApi::Ready(const CallRequest&,
                   const std::string&,
                   const Respond& aRespond)
{
  const bool serving = mServices.isServing();
  aRespond(
    Answer(serving ? kOk : kUnavailable, Json{ { "serving", serving } }));
}

void
OperatorApi::Announce(const CallRequest& aRequest,
                      const std::string&,
                      const Respond& aRespond)
{
  std::string reason;
  if (!mServices.announce(aRequest.body, reason)) {
    aRespond(ErrorAnswer(kBadRequest, reason));
    return;
  }
  aRespond(Answer(kOk, Json{ { "outcome", "accepted" } }));
}

} // namespace knapweedpaddle::operators
