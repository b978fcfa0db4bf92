#include "knapweedpaddle/moves/EvidenceReport.h"

#include "wire.pb.h"

namespace knapweedpaddle::moves {

namespace {

void
ToWire(const VersionCounts& aCounts, wire::VersionCounts& aOut)
{
  aOut.set_calls(aCounts.calls);
  aOut.set_failures(aCounts.failures);
  aOut.set_slow(aCounts.slow);
}

VersionCounts
FromWire(const wire::VersionCounts& aIn)
{
  return VersionCounts{ aIn.calls(), aIn.failures(), aIn.slow() };
}

} // namespace

std::string
EncodeEvidence(const EvidenceReport& aReport)
{
  wire::EvidenceReport out;
  out.set_node(static_cast<std::uint64_t>(aReport.node));
  out.set_incarnation(aReport.incarnation);
  for (const auto& it : aReport.routes) {
    wire::RouteEvidence& route = *out.add_routes();
    route.set_move(it.move);
    route.set_route(it.route);
    ToWire(it.before, *route.mutable_before());
    ToWire(it.after, *route.mutable_after());
  }
  return out.SerializeAsString();
}

std::optional<EvidenceReport>
DecodeEvidence(const std::string& aBytes)
{
  wire::EvidenceReport in;
  if (!in.ParseFromString(aBytes) || in.node() == 0) {
    return std::nullopt;
  }
  EvidenceReport report;
  report.node = nodes::NodeId{ in.node() };
  report.incarnation = in.incarnation();
  for (const auto& it : in.routes()) {
    report.routes.push_back(
      { it.move(), it.route(), FromWire(it.before()), FromWire(it.after()) });
  }
  return report;
}

} // namespace knapweedpaddle::moves
