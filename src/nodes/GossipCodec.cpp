#include "knapweedpaddle/nodes/GossipCodec.h"

#include "wire.pb.h"

#include <limits>

namespace knapweedpaddle::nodes {

namespace {

constexpr std::uint32_t kMaxPort = 65535;

void
ToWire(const MemberUpdate& aUpdate, wire::MemberUpdate& aOut)
{
  const MemberRecord& record = aUpdate.record;
  wire::MemberRecord& out = *aOut.mutable_record();
  out.set_node(static_cast<std::uint64_t>(record.node));
  out.set_link_port(record.linkPort);
  out.set_caller_port(record.callerPort);
  out.set_zone(record.zone);
  out.set_service(record.service);
  out.set_version(record.version);
  out.set_slots(record.slots);
  out.set_state(static_cast<std::uint32_t>(record.state));
  out.set_incarnation(record.incarnation);
  out.set_sequence(record.sequence);
  for (const auto& it : record.suspects) {
    wire::CrashSuspect& suspect = *out.add_suspects();
    suspect.set_request(it.request);
    suspect.set_crashes(it.crashes);
    suspect.set_answered(it.answered);
  }
  aOut.set_liveness(static_cast<std::uint32_t>(aUpdate.liveness));
}

std::optional<MemberUpdate>
FromWire(const wire::MemberUpdate& aUpdate)
{
  const wire::MemberRecord& in = aUpdate.record();
  if (in.node() == 0 || in.link_port() > kMaxPort ||
      in.caller_port() > kMaxPort || in.state() >= kMemberStateNames.size() ||
      aUpdate.liveness() >= kLivenessNames.size()) {
    return std::nullopt;
  }
  MemberUpdate update;
  update.liveness = static_cast<Liveness>(aUpdate.liveness());
  update.record = MemberRecord{ NodeId{ in.node() },
                                static_cast<std::uint16_t>(in.link_port()),
                                static_cast<std::uint16_t>(in.caller_port()),
                                in.zone(),
                                in.service(),
                                in.version(),
                                in.slots(),
                                static_cast<MemberState>(in.state()),
                                in.incarnation(),
                                in.sequence() };
  for (const auto& it : in.suspects()) {
    update.record.suspects.push_back(
      { it.request(), it.crashes(), it.answered() });
  }
  return update;
}

void
ToWire(const MoveProgress& aProgress, wire::MoveProgress& aOut)
{
  aOut.set_move(aProgress.move);
  aOut.set_revision(aProgress.revision);
  aOut.set_zone(aProgress.zone);
  aOut.set_stage(aProgress.stage);
  aOut.set_condemned(aProgress.condemned);
  aOut.set_reason(aProgress.reason);
}

MoveProgress
FromWire(const wire::MoveProgress& aIn)
{
  return MoveProgress{ aIn.move(),  aIn.revision(),  aIn.zone(),
                       aIn.stage(), aIn.condemned(), aIn.reason() };
}

template<typename Message>
void
WriteEvacuations(const std::vector<ZoneEvacuation>& aOrders, Message& aOut)
{
  for (const auto& it : aOrders) {
    wire::ZoneEvacuation& order = *aOut.add_evacuations();
    order.set_zone(it.zone);
    order.set_revision(it.revision);
    order.set_active(it.active);
  }
}

template<typename Message>
std::vector<ZoneEvacuation>
ReadEvacuations(const Message& aIn)
{
  std::vector<ZoneEvacuation> orders;
  for (const auto& it : aIn.evacuations()) {
    orders.push_back({ it.zone(), it.revision(), it.active() });
  }
  return orders;
}

/** Converts a repeated field; returns false if any element is invalid. */
template<typename Repeated>
bool
ReadUpdates(const Repeated& aIn, std::vector<MemberUpdate>& aOut)
{
  for (const auto& it : aIn) {
    auto update = FromWire(it);
    if (!update) {
      return false;
    }
    aOut.push_back(std::move(*update));
  }
  return true;
}

} // namespace

std::string
EncodeGossip(const GossipMessage& aMessage, const std::string& aMesh)
{
  wire::Gossip out;
  out.set_protocol(kProtocolVersion);
  out.set_mesh(aMesh);
  out.set_kind(static_cast<std::uint32_t>(aMessage.kind));
  out.set_sequence(aMessage.sequence);
  out.set_sender(static_cast<std::uint64_t>(aMessage.sender));
  out.set_target(static_cast<std::uint64_t>(aMessage.target));
  out.set_config_version(aMessage.configVersion);
  out.set_table_hash(aMessage.tableHash);
  if (aMessage.configAge) {
    constexpr std::int64_t kMaxAge = std::numeric_limits<std::uint32_t>::max();
    out.set_config_age_ms(static_cast<std::uint32_t>(
      std::min<std::int64_t>(aMessage.configAge->count(), kMaxAge)));
  }
  for (const auto& it : aMessage.updates) {
    ToWire(it, *out.add_updates());
  }
  for (const auto& it : aMessage.moves) {
    ToWire(it, *out.add_moves());
  }
  WriteEvacuations(aMessage.evacuations, out);
  for (const auto& it : aMessage.usages) {
    wire::TeamUsage& usage = *out.add_usages();
    usage.set_team(it.team);
    usage.set_asked(it.asked);
    usage.set_used(it.used);
    usage.set_uncounted(it.uncounted);
  }
  for (const auto& it : aMessage.grants) {
    wire::TeamGrant& grant = *out.add_grants();
    grant.set_team(it.team);
    grant.set_calls_per_second(static_cast<float>(it.callsPerSecond));
  }
  out.set_allowances_decided(aMessage.allowancesDecided);
  out.set_incarnation(aMessage.incarnation);
  out.set_allowance_slot(aMessage.allowanceSlot);
  return out.SerializeAsString();
}

std::optional<GossipMessage>
DecodeGossip(const std::string& aBytes, const std::string& aMesh)
{
  wire::Gossip in;
  if (!in.ParseFromString(aBytes) || in.protocol() != kProtocolVersion ||
      in.mesh() != aMesh || in.sender() == 0) {
    return std::nullopt;
  }
  GossipMessage message;
  message.kind = static_cast<GossipKind>(in.kind());
  if (NameOf(kGossipKindNames, message.kind) == "unknown") {
    return std::nullopt;
  }
  message.sequence = in.sequence();
  message.sender = NodeId{ in.sender() };
  message.target = NodeId{ in.target() };
  message.configVersion = in.config_version();
  message.tableHash = in.table_hash();
  if (in.has_config_age_ms()) {
    message.configAge = Milliseconds(in.config_age_ms());
  }
  if (!ReadUpdates(in.updates(), message.updates)) {
    return std::nullopt;
  }
  for (const auto& it : in.moves()) {
    message.moves.push_back(FromWire(it));
  }
  message.evacuations = ReadEvacuations(in);
  for (const auto& it : in.usages()) {
    message.usages.push_back(
      { it.team(), it.asked(), it.used(), it.uncounted() });
  }
  for (const auto& it : in.grants()) {
    message.grants.push_back({ it.team(), it.calls_per_second() });
  }
  message.allowancesDecided = in.allowances_decided();
  message.incarnation = in.incarnation();
  message.allowanceSlot = in.allowance_slot();
  return message;
}

std::string
EncodeJoinRequest(const MemberUpdate& aSelf)
{
  wire::JoinRequest out;
  ToWire(aSelf, *out.mutable_self());
  return out.SerializeAsString();
}

std::optional<MemberUpdate>
DecodeJoinRequest(const std::string& aBytes)
{
  wire::JoinRequest in;
  if (!in.ParseFromString(aBytes)) {
    return std::nullopt;
  }
  return FromWire(in.self());
}

std::string
EncodeJoinAnswer(const JoinAnswer& aAnswer)
{
  wire::JoinAnswer out;
  out.set_config_version(aAnswer.configVersion);
  out.set_remembered_version(aAnswer.rememberedVersion);
  for (const auto& it : aAnswer.members) {
    ToWire(it, *out.add_members());
  }
  for (const auto& it : aAnswer.moves) {
    ToWire(it, *out.add_moves());
  }
  WriteEvacuations(aAnswer.evacuations, out);
  return out.SerializeAsString();
}

std::optional<JoinAnswer>
DecodeJoinAnswer(const std::string& aBytes)
{
  wire::JoinAnswer in;
  JoinAnswer answer;
  if (!in.ParseFromString(aBytes) ||
      !ReadUpdates(in.members(), answer.members)) {
    return std::nullopt;
  }
  answer.configVersion = in.config_version();
  answer.rememberedVersion = in.remembered_version();
  for (const auto& it : in.moves()) {
    answer.moves.push_back(FromWire(it));
  }
  answer.evacuations = ReadEvacuations(in);
  return answer;
}

std::string
EncodePullRequest(std::uint64_t aFromVersion)
{
  wire::PullRequest out;
  out.set_from_version(aFromVersion);
  return out.SerializeAsString();
}

std::optional<std::uint64_t>
DecodePullRequest(const std::string& aBytes)
{
  wire::PullRequest in;
  if (!in.ParseFromString(aBytes)) {
    return std::nullopt;
  }
  return in.from_version();
}

std::string
EncodePullAnswer(const PullAnswer& aAnswer)
{
  wire::PullAnswer out;
  out.set_config_version(aAnswer.configVersion);
  out.set_snapshot(aAnswer.snapshot);
  for (const auto& it : aAnswer.changes) {
    out.add_changes(it);
  }
  return out.SerializeAsString();
}

std::optional<PullAnswer>
DecodePullAnswer(const std::string& aBytes)
{
  wire::PullAnswer in;
  if (!in.ParseFromString(aBytes)) {
    return std::nullopt;
  }
  PullAnswer answer;
  answer.configVersion = in.config_version();
  answer.snapshot = in.snapshot();
  answer.changes.assign(in.changes().begin(), in.changes().end());
  return answer;
}

} // namespace knapweedpaddle::nodes
