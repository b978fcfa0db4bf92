#include "ServerWarmup.h"

#include "knapweedpaddle/telemetry/Log.h"

#include <charconv>

namespace knapweedpaddle::backends {

namespace {

/** A server that was silent for longer may have been away. Its reports are due
 * every 1.5 s, and one of them may be lost. */
constexpr Milliseconds kMaxReportAge{ 3500 };
/** Time for the answer of a health check; then it is asked again. */
constexpr Milliseconds kProbeTimeout{ 300 };
constexpr Milliseconds kMaxProbeIdle{ 1000 };
/** Limit of a health answer, of which only the headers are used. */
constexpr std::size_t kMaxProbeBytes = 64UL * 1024;
constexpr int kStatusOk = 200;

http::ClientOptions
ProbeOptions()
{
  http::ClientOptions options;
  options.maxResponseBytes = kMaxProbeBytes;
  options.maxBufferedBytes = kMaxProbeBytes;
  return options;
}

} // namespace

ServerWarmup::ServerWarmup(Services aServices)
  : mServices(aServices)
  , mLimit(Now())
  , mHttp(aServices.loop, ProbeOptions())
{
}

ServerWarmup::~ServerWarmup()
{
  EndProbe();
}

void
ServerWarmup::SetTable(WarmupTable aTable)
{
  mTable = std::move(aTable);
  ApplyOptions();
}

void
ServerWarmup::ApplyOptions()
{
  const auto it = mTable.find(mService);
  mOptions = it == mTable.end() ? WarmupOptions{} : it->second;
  mLimit.SetCallsPerSecond(mOptions.callsPerSecond);
}

void
ServerWarmup::SetServer(const std::optional<BackendServer>& aServer)
{
  if (!aServer) {
    EndProbe();
    mServerId.clear();
    mLimit.SetUnknown();
    return;
  }
  mService = aServer->service;
  ApplyOptions();
  mServerId = aServer->id;
  mAddress = aServer->address;
  mHttp.SetAddress(mAddress);
  mReportedAt = Now();
  mLimit.SetWarmupLeft(aServer->warmupLeft, mReportedAt);
  EndProbe();
  LogChange();
}

void
ServerWarmup::OnServerAway()
{
  if (!mLimit.IsEnabled() || mServerId.empty()) {
    return;
  }
  mLimit.SetUnknown();
  LogChange();
  OnConnectionLost();
}

void
ServerWarmup::OnConnectionLost()
{
  const bool isIdle = mProbe == 0 && mProbeTimer == 0;
  if (isIdle && mLimit.IsEnabled() && !mServerId.empty()) {
    SendProbe();
  }
}

void
ServerWarmup::OnTick()
{
  if (mLimit.IsKnown() && Now() - mReportedAt > kMaxReportAge) {
    OnServerAway();
  }
  LogChange();
}

void
ServerWarmup::SendProbe()
{
  if (mOptions.healthPath.empty()) {
    return;
  }
  mServices.metrics.Count("health_probes_total", {});
  http::Request request;
  request.method = "GET";
  request.target = mOptions.healthPath;
  request.headers.push_back({ "Host", mAddress });
  mProbeTimer = mServices.loop.RunAfter(kProbeTimeout, [this] {
    mProbeTimer = 0;
    EndProbe();
    SendProbe();
  });
  mProbe = mHttp.Send(request,
                      kMaxProbeIdle,
                      [this](const std::optional<http::Response>& aResponse,
                             const http::ClientReason& aReason) {
                        OnProbeAnswer(aResponse, aReason);
                      });
}

void
ServerWarmup::OnProbeAnswer(const std::optional<http::Response>& aResponse,
                            const http::ClientReason& aReason)
{
  mProbe = 0;
  if (!aResponse && aReason.code == http::ClientError::kNotSent) {
    mLimit.SetUnknown();
    LogChange();
  }
  const auto left = aResponse ? WarmupLeft(*aResponse) : std::nullopt;
  if (!left) {
    return; // The timer repeats the probe.
  }
  EndProbe();
  mReportedAt = Now();
  mLimit.SetWarmupLeft(*left, mReportedAt);
  LogChange();
}

void
ServerWarmup::EndProbe()
{
  if (mProbe != 0) {
    mHttp.Cancel(std::exchange(mProbe, 0));
  }
  mServices.loop.Cancel(std::exchange(mProbeTimer, 0));
}

std::optional<Milliseconds>
ServerWarmup::WarmupLeft(const http::Response& aResponse) const
{
  const BackendDialect& dialect = mServices.dialect;
  const std::string* id =
    dialect.serverId.empty()
      ? nullptr
      : http::FindHeader(aResponse.headers, dialect.serverId);
  if (id && *id != mServerId) {
    return std::nullopt;
  }
  const std::string* text =
    dialect.warmupLeftMs.empty()
      ? nullptr
      : http::FindHeader(aResponse.headers, dialect.warmupLeftMs);
  if (!text) {
    return aResponse.status == kStatusOk ? std::optional(Milliseconds(0))
                                         : std::nullopt;
  }
  double value = 0;
  const auto [end, ec] =
    std::from_chars(text->data(), text->data() + text->size(), value);
  constexpr double kMaxWarmupMs = 24.0 * 3600 * 1000;
  if (ec != std::errc() || !(value >= 0) || value > kMaxWarmupMs) {
    return std::nullopt;
  }
  return Milliseconds(static_cast<std::int64_t>(value) + 1);
}

void
ServerWarmup::LogChange()
{
  const bool isCold = !mServerId.empty() && mLimit.IsCold(Now());
  if (isCold == mIsCold) {
    return;
  }
  mIsCold = isCold;
  mServices.metrics.SetGauge("backend_cold", {}, isCold ? 1 : 0);
  LogEvent(
    telemetry::LogCategory::kBackend,
    telemetry::LogLevel::kInfo,
    isCold ? "server_cold" : "server_warm",
    { { "server", mServerId }, { "known", mLimit.IsKnown() ? "yes" : "no" } });
}

} // namespace knapweedpaddle::backends
