#include "wagtailbend/mesh/convert.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "wagtailbend/http1/response_syntax.h"

namespace wagtailbend::mesh {
namespace {

constexpr double kPermille = 1000.0;

uint32_t
ToMicroseconds(Duration aDuration)
{
  const auto microseconds =
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count();
  return static_cast<uint32_t>(
    std::clamp<int64_t>(microseconds, 0, std::numeric_limits<uint32_t>::max()));
}

Duration
FromMicroseconds(uint32_t aMicroseconds)
{
  return std::chrono::microseconds(aMicroseconds);
}

uint32_t
ToPermille(double aShare)
{
  return static_cast<uint32_t>(
    std::lround(std::clamp(aShare, 0.0, 1.0) * kPermille));
}

uint32_t
ToNonNegativeMs(Duration aDuration)
{
  return static_cast<uint32_t>(std::max<int64_t>(ToMilliseconds(aDuration), 0));
}

template<typename Message>
void
AddHeaders(const http1::Headers& aHeaders, Message& aMessage)
{
  for (const http1::Header& header : aHeaders) {
    wire::Header* added = aMessage.add_headers();
    added->set_name(header.name);
    added->set_value(header.value);
  }
}

template<typename Message>
http1::Headers
MoveHeaders(Message& aMessage)
{
  http1::Headers headers;
  headers.reserve(static_cast<size_t>(aMessage.headers_size()));
  for (wire::Header& header : *aMessage.mutable_headers()) {
    headers.push_back({ std::move(*header.mutable_name()),
                        std::move(*header.mutable_value()) });
  }
  return headers;
}

} // namespace

wire::MemberRecord
ToProto(const Member& aMember)
{
  wire::MemberRecord record;
  record.set_address(aMember.address);
  record.set_incarnation(aMember.incarnation);
  record.set_started_ms(aMember.startTimeMs);
  record.set_failure_domain(aMember.failureDomain);
  record.set_region(aMember.region);
  record.set_service(aMember.service);
  record.set_revision(aMember.revision);
  record.set_accepting(aMember.accepting);
  record.set_slots(aMember.slots);
  record.set_leaving_target(aMember.leavingTarget.id);
  record.set_leaving_born_ms(aMember.leavingTarget.startTimeMs);
  record.set_stopped_ms(aMember.stopTimeMs);
  return record;
}

Member
FromProto(const wire::MemberRecord& aRecord)
{
  Member member;
  member.address = aRecord.address();
  member.incarnation = aRecord.incarnation();
  member.startTimeMs = aRecord.started_ms();
  member.failureDomain = aRecord.failure_domain();
  member.region = aRecord.region();
  member.service = aRecord.service();
  member.revision = aRecord.revision();
  member.accepting = aRecord.accepting();
  member.slots = aRecord.slots();
  member.leavingTarget = { aRecord.leaving_target(),
                           aRecord.leaving_born_ms() };
  member.stopTimeMs = aRecord.stopped_ms();
  return member;
}

wire::GateReport
ToProto(const exchange::LoadReport& aReport)
{
  wire::GateReport report;
  report.set_accepting(aReport.accepting);
  report.set_closing(aReport.stopping);
  report.set_slots(aReport.slots);
  report.set_running(aReport.running);
  report.set_queued(aReport.queued);
  report.set_wait_us(ToMicroseconds(aReport.expectedWait));
  report.set_run_us(ToMicroseconds(aReport.meanRunTime));
  for (const double share : aReport.admissionLevels) {
    report.add_admit_permille(ToPermille(share));
  }
  report.set_config_version(aReport.configVersion);
  report.set_store_lost(aReport.storeLost);
  report.set_store_generation(aReport.storeGeneration);
  report.set_failure_permille(ToPermille(aReport.failureShare));
  report.set_requests_per_second(aReport.requestsPerSecond.value_or(0));
  report.set_suspects_digest(aReport.suspectsDigest);
  return report;
}

exchange::LoadReport
FromProto(const wire::GateReport& aReport)
{
  exchange::LoadReport report;
  report.accepting = aReport.accepting();
  report.stopping = aReport.closing();
  report.slots = aReport.slots();
  report.running = aReport.running();
  report.queued = aReport.queued();
  report.expectedWait = FromMicroseconds(aReport.wait_us());
  report.meanRunTime = FromMicroseconds(aReport.run_us());
  const size_t count =
    std::min<size_t>(report.admissionLevels.size(),
                     static_cast<size_t>(aReport.admit_permille_size()));
  for (size_t i = 0; i < count; ++i) {
    report.admissionLevels[i] =
      aReport.admit_permille(static_cast<int>(i)) / kPermille;
  }
  report.configVersion = aReport.config_version();
  report.storeLost = aReport.store_lost();
  report.storeGeneration = aReport.store_generation();
  report.failureShare = aReport.failure_permille() / kPermille;
  if (aReport.requests_per_second() > 0) {
    report.requestsPerSecond = aReport.requests_per_second();
  }
  report.suspectsDigest = aReport.suspects_digest();
  return report;
}

void
FillProto(const exchange::Attempt& aAttempt,
          TimePoint aNow,
          wire::Attempt& aMessage)
{
  const http1::RequestMessage& message = *aAttempt.message;
  aMessage.set_id(aAttempt.id);
  aMessage.set_request_id(aAttempt.requestId);
  aMessage.set_method(message.method);
  aMessage.set_target(message.target);
  AddHeaders(message.headers, aMessage);
  aMessage.set_body(message.body);
  aMessage.set_service(aAttempt.service);
  aMessage.set_route(aAttempt.route);
  aMessage.set_idempotent(aAttempt.idempotent);
  aMessage.set_priority(aAttempt.priority);
  aMessage.set_rank(aAttempt.rank);
  aMessage.set_nested(aAttempt.nested);
  aMessage.set_repeat(aAttempt.isRetry);
  aMessage.set_remaining_ms(ToNonNegativeMs(aAttempt.deadline - aNow));
  aMessage.set_objective_ms(
    static_cast<int32_t>(ToMilliseconds(aAttempt.objective - aNow)));
  aMessage.set_caller_service(aAttempt.callerService);
  aMessage.set_fingerprint(aAttempt.fingerprint);
}

exchange::Attempt
MoveFromProto(wire::Attempt& aMessage, TimePoint aNow)
{
  auto message = std::make_shared<http1::RequestMessage>();
  message->method = std::move(*aMessage.mutable_method());
  message->target = std::move(*aMessage.mutable_target());
  message->headers = MoveHeaders(aMessage);
  message->body = std::move(*aMessage.mutable_body());
  exchange::Attempt attempt;
  attempt.id = aMessage.id();
  attempt.requestId = aMessage.request_id();
  attempt.message = std::move(message);
  attempt.service = aMessage.service();
  attempt.route = aMessage.route();
  attempt.idempotent = aMessage.idempotent();
  attempt.priority = aMessage.priority();
  attempt.rank = aMessage.rank();
  attempt.nested = aMessage.nested();
  attempt.isRetry = aMessage.repeat();
  attempt.deadline = aNow + std::chrono::milliseconds(aMessage.remaining_ms());
  attempt.objective = aNow + std::chrono::milliseconds(aMessage.objective_ms());
  attempt.callerService = aMessage.caller_service();
  attempt.fingerprint = aMessage.fingerprint();
  attempt.fromPeer = true;
  return attempt;
}

void
FillProto(const exchange::AttemptResult& aResult, wire::Result& aMessage)
{
  switch (aResult.outcome) {
    case exchange::Outcome::kResponded:
      aMessage.set_outcome(wire::Result::ANSWERED);
      break;
    case exchange::Outcome::kNotRun:
      aMessage.set_outcome(wire::Result::NOT_RUN);
      break;
    case exchange::Outcome::kUnknown:
      aMessage.set_outcome(wire::Result::UNKNOWN);
      break;
  }
  if (aResult.outcome == exchange::Outcome::kResponded) {
    aMessage.set_status(static_cast<uint32_t>(aResult.response.status));
    aMessage.set_reason(aResult.response.reason);
    AddHeaders(aResult.response.headers, aMessage);
    aMessage.set_body(aResult.response.body);
    aMessage.set_bodiless(aResult.response.bodiless);
  } else {
    aMessage.set_error(std::string(ErrorResponseFor(aResult.error.kind).name));
    aMessage.set_detail(aResult.error.detail);
  }
  aMessage.set_arrived(aResult.reachedTarget);
  aMessage.set_nested_failed(aResult.nestedFailed);
  aMessage.set_run_us(ToMicroseconds(aResult.runTime));
  *aMessage.mutable_report() = ToProto(aResult.report);
}

exchange::AttemptResult
MoveFromProto(wire::Result& aMessage)
{
  exchange::AttemptResult result;
  switch (aMessage.outcome()) {
    case wire::Result::ANSWERED:
      result.outcome = exchange::Outcome::kResponded;
      break;
    case wire::Result::NOT_RUN:
      result.outcome = exchange::Outcome::kNotRun;
      break;
    default:
      result.outcome = exchange::Outcome::kUnknown;
      break;
  }
  if (result.outcome == exchange::Outcome::kResponded) {
    result.response.status = static_cast<int>(aMessage.status());
    result.response.reason = std::move(*aMessage.mutable_reason());
    result.response.headers = MoveHeaders(aMessage);
    result.response.body = std::move(*aMessage.mutable_body());
    result.response.bodiless = aMessage.bodiless();
    if (!http1::IsFinalResponse(result.response)) {
      result.outcome = exchange::Outcome::kUnknown;
      result.response = {};
      result.error = { ErrorKind::kResponseMismatch,
                       "the peer's result is no valid response" };
    }
  } else {
    result.error = {
      ErrorKindFromName(aMessage.error()).value_or(ErrorKind::kInternal),
      std::move(*aMessage.mutable_detail())
    };
  }
  result.reachedTarget = aMessage.arrived();
  result.nestedFailed = aMessage.nested_failed();
  result.runTime = FromMicroseconds(aMessage.run_us());
  result.report = FromProto(aMessage.report());
  return result;
}

wire::Suspects
ToProto(const std::vector<quarantine::SuspectEntry>& aSuspects)
{
  wire::Suspects message;
  for (const quarantine::SuspectEntry& entry : aSuspects) {
    wire::Suspect* added = message.add_suspects();
    added->set_fingerprint(entry.fingerprint);
    for (const uint64_t id : entry.crashIds) {
      if (id != 0) {
        added->add_crash_ids(id);
      }
    }
    added->set_cleared(entry.cleared);
    added->set_remaining_ms(ToNonNegativeMs(entry.remaining));
  }
  return message;
}

std::vector<quarantine::SuspectEntry>
FromProto(const wire::Suspects& aSuspects)
{
  std::vector<quarantine::SuspectEntry> entries;
  for (const wire::Suspect& suspect : aSuspects.suspects()) {
    quarantine::SuspectEntry entry;
    entry.fingerprint = suspect.fingerprint();
    const size_t count = std::min<size_t>(
      entry.crashIds.size(), static_cast<size_t>(suspect.crash_ids_size()));
    for (size_t i = 0; i < count; ++i) {
      entry.crashIds[i] = suspect.crash_ids(static_cast<int>(i));
    }
    std::ranges::sort(entry.crashIds);
    entry.cleared = suspect.cleared();
    entry.remaining = std::chrono::milliseconds(suspect.remaining_ms());
    entries.push_back(entry);
  }
  return entries;
}

wire::SuspectsRequest
ToProto(const quarantine::ListDigests& aDigests)
{
  wire::SuspectsRequest message;
  message.mutable_digests()->Assign(aDigests.begin(), aDigests.end());
  return message;
}

quarantine::ListDigests
FromProto(const wire::SuspectsRequest& aRequest)
{
  quarantine::ListDigests digests{};
  const int count =
    std::min(aRequest.digests_size(), static_cast<int>(digests.size()));
  std::copy_n(aRequest.digests().begin(), count, digests.begin());
  return digests;
}

wire::RouteConfig
ToProto(const routes::RouteConfig& aConfig)
{
  wire::RouteConfig message;
  message.set_version(aConfig.version);
  for (const routes::Route& route : aConfig.routes) {
    wire::Route* added = message.add_routes();
    added->set_name(route.name);
    added->set_host(route.host);
    added->set_prefix(route.prefix);
    added->set_idempotent(route.idempotent);
    added->set_bulk(route.bulk);
    added->set_timeout_ms(ToNonNegativeMs(route.timeout));
    added->set_objective_ms(ToNonNegativeMs(route.objective));
    added->set_priority(route.priority);
    added->set_max_attempts(route.maxAttempts);
    for (const routes::Split& split : route.splits) {
      wire::Split* addedSplit = added->add_splits();
      addedSplit->set_service(split.service);
      addedSplit->set_weight(split.weight);
    }
  }
  for (const routes::ServiceConfig& service : aConfig.services) {
    wire::ServiceRecord* added = message.add_services();
    added->set_name(service.name);
    added->set_health_path(service.healthPath);
    added->set_connection_limit(service.connectionLimit);
  }
  message.set_max_header_bytes(aConfig.limits.maxHeaderBytes);
  message.set_max_body_bytes(aConfig.limits.maxBodyBytes);
  message.set_header_timeout_ms(ToNonNegativeMs(aConfig.limits.headerTimeout));
  message.set_idle_timeout_ms(ToNonNegativeMs(aConfig.limits.idleTimeout));
  return message;
}

routes::RouteConfig
FromProto(const wire::RouteConfig& aConfig)
{
  routes::RouteConfig config;
  config.version = aConfig.version();
  for (const wire::Route& route : aConfig.routes()) {
    routes::Route added;
    added.name = route.name();
    added.host = route.host();
    added.prefix = route.prefix();
    added.idempotent = route.idempotent();
    added.bulk = route.bulk();
    added.timeout = std::chrono::milliseconds(route.timeout_ms());
    added.objective = std::chrono::milliseconds(route.objective_ms());
    added.priority = route.priority();
    added.maxAttempts = route.max_attempts();
    for (const wire::Split& split : route.splits()) {
      added.splits.push_back({ split.service(), split.weight() });
    }
    config.routes.push_back(std::move(added));
  }
  for (const wire::ServiceRecord& service : aConfig.services()) {
    config.services.push_back(
      { service.name(), service.health_path(), service.connection_limit() });
  }
  config.limits.maxHeaderBytes = aConfig.max_header_bytes();
  config.limits.maxBodyBytes = aConfig.max_body_bytes();
  config.limits.headerTimeout =
    std::chrono::milliseconds(aConfig.header_timeout_ms());
  config.limits.idleTimeout =
    std::chrono::milliseconds(aConfig.idle_timeout_ms());
  return config;
}

std::string
EncodeFrame(const wire::Frame& aFrame)
{
  const size_t length = aFrame.ByteSizeLong();
  std::string bytes;
  bytes.reserve(kLengthPrefixBytes + length);
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<char>((length >> shift) & 0xff));
  }
  aFrame.AppendToString(&bytes);
  return bytes;
}

size_t
DecodeFrameLength(std::string_view aBytes)
{
  size_t length = 0;
  for (size_t i = 0; i < kLengthPrefixBytes; ++i) {
    length = (length << 8) | static_cast<unsigned char>(aBytes[i]);
  }
  return length;
}

} // namespace wagtailbend::mesh
