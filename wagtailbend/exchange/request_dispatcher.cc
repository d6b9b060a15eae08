#include "wagtailbend/exchange/request_dispatcher.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include <fmt/format.h>

#include "wagtailbend/base/boot_time.h"
#include "wagtailbend/exchange/retry_after.h"
#include "wagtailbend/quarantine/quarantine_list.h"

namespace wagtailbend::exchange {
namespace {

// Deadline of requests without a deadline header.
constexpr Duration kDefaultDeadline = std::chrono::seconds(30);
// Latency objective of routes without one.
constexpr Duration kDefaultObjective = std::chrono::seconds(1);
// Rejections after which a request may still be tried at another target. A
// rejection by a target's daemon costs only one message and does not load the
// target.
constexpr size_t kMaxRejections = 3;
// While no target is reachable, a request waits for at most its
// objective divided by this number.
constexpr int kTargetWaitDivisor = 8;
constexpr Duration kTargetWaitInterval = std::chrono::milliseconds(25);
// A target responds by the deadline that it was sent; the dispatcher waits
// longer by this time so that the response can arrive.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(120);
// Retry-After value while this daemon has no configuration.
constexpr double kStartupRetryAfterSeconds = 0.5;
// Mean run times that must remain before a stopping daemon ends. After a nested
// call the run that made it has to go on.
constexpr int kMinRunTimesBeforeClose = 2;
constexpr int kMinRunTimesOfNestedCallBeforeClose = 4;
// Expected run times that must remain before the deadline for a retry.
constexpr int kMinRunTimesForRetry = 1;

http1::ResponseMessage
MakeEmptyResponse(int aStatus)
{
  http1::ResponseMessage response;
  response.status = aStatus;
  return response;
}

std::optional<int64_t>
ParseNumber(const std::string* aText)
{
  if (aText == nullptr) {
    return std::nullopt;
  }
  int64_t value = 0;
  const char* end = aText->data() + aText->size();
  const auto [stop, error] = std::from_chars(aText->data(), end, value);
  if (error != std::errc{} || stop != end || value < 0) {
    return std::nullopt;
  }
  return value;
}

Duration
ObjectiveOf(const routes::Route& aRoute)
{
  return aRoute.objective > Duration{} ? aRoute.objective : kDefaultObjective;
}

} // namespace

struct RequestDispatcher::OpenRequest
{
  explicit OpenRequest(asio::io_context& aIo)
    : timer(aIo)
  {
  }

  uint64_t id = 0;
  http1::Responder responder;
  std::shared_ptr<http1::RequestMessage> message;
  std::shared_ptr<const routes::RouteTable> table;
  const routes::Route* route = nullptr;
  std::string service;
  std::string requestId;
  TimePoint arrived;
  /// Arrival of the client's first attempt if this is a retry after a
  /// rejection, otherwise equal to arrived.
  TimePoint firstArrival;
  TimePoint clientDeadline;
  /// The earlier of the client's deadline and the route's timeout.
  TimePoint deadline;
  TimePoint objective;
  bool nested = false;
  uint64_t parentKey = 0;
  uint32_t priority = 0;
  uint32_t rank = 0;
  double admissionLevel = 1;
  /// An earlier attempt may have run.
  bool isRetry = false;
  bool mayHaveRun = false;
  uint64_t fingerprint = 0;
  /// Daemons that are not tried again.
  std::vector<std::string> tried;
  /// Daemons whose targets received the request.
  std::vector<std::string> receivedBy;
  std::vector<Rejection> rejections;
  /// A target's response with status 500, sent if a retry brings no response.
  std::optional<http1::ResponseMessage> failedResponse;
  Attempt attempt;
  AttemptChannel* channel = nullptr;
  std::string address;
  Duration expectedRun{};
  bool ended = false;
  asio::steady_timer timer;
  RequestSummary summary;
};

RequestDispatcher::RequestDispatcher(asio::io_context& aIo,
                                     http1::ProtocolNames aNames,
                                     DispatcherOptions aOptions,
                                     TargetDirectory& aDirectory,
                                     TargetGateway& aGateway,
                                     DispatcherObserver& aObserver)
  : m_io(aIo)
  , m_names(std::move(aNames))
  , m_options(std::move(aOptions))
  , m_directory(aDirectory)
  , m_gateway(aGateway)
  , m_observer(aObserver)
  , m_retryBudget(m_options.retries)
  , m_rng(MakeSeededRng())
{
}

void
RequestDispatcher::SetTable(std::shared_ptr<const routes::RouteTable> aTable)
{
  m_table = std::move(aTable);
}

void
RequestDispatcher::OnRequest(http1::RequestMessage aRequest,
                             http1::Responder aResponder)
{
  const TimePoint now = BootNow();
  const OpenRequestPtr request =
    MakeOpenRequest(std::move(aRequest), std::move(aResponder), now);
  if (!m_table) {
    http1::ResponseMessage response = MakeEmptyResponse(503);
    http1::SetHeader(response.headers,
                     "Retry-After",
                     fmt::format("{:.2f}", kStartupRetryAfterSeconds));
    request->summary.error = ErrorKind::kNoConfiguration;
    SendResponse(request, std::move(response));
    return;
  }
  const std::string* id =
    http1::FindHeader(request->message->headers, m_names.requestId);
  const std::string* host =
    http1::FindHeader(request->message->headers, "Host");
  if (id == nullptr || id->empty() || host == nullptr) {
    Fail(request,
         400,
         ErrorKind::kInvalidRequest,
         "request id or Host header is missing");
    return;
  }
  request->requestId = *id;
  request->route = m_table->Find(*host, request->message->target);
  if (request->route == nullptr) {
    Fail(request,
         404,
         ErrorKind::kUnknownMethod,
         "no route matches host and path");
    return;
  }
  request->service = m_splits.Pick(*request->route, m_rng);
  SetTimes(*request, now);
  InheritFromParent(*request);
  request->fingerprint =
    quarantine::FingerprintOf(request->message->target, request->message->body);
  RecognizeRetryingClient(*request, now);
  if (!m_observer.IsRunAllowed(request->fingerprint)) {
    Reject(request,
           ErrorKind::kQuarantined,
           "request is quarantined because it crashed targets");
    return;
  }
  if (!Admit(request)) {
    return;
  }
  m_retryBudget.RecordCall(request->service, now);
  if (request->nested && request->isRetry) {
    // A call of a retried run is a retry as well. It only counts against the
    // budget: the run that makes it has been allowed already.
    m_retryBudget.RecordExtra(request->service, now);
  }
  StartDeadlineTimer(request);
  request->responder.SetDisconnectHandler(
    [this, weak = std::weak_ptr<OpenRequest>(request)] {
      if (const auto locked = weak.lock()) {
        OnClientDisconnected(locked);
      }
    });
  StartAttempt(request);
}

RequestDispatcher::OpenRequestPtr
RequestDispatcher::MakeOpenRequest(http1::RequestMessage aRequest,
                                   http1::Responder aResponder,
                                   TimePoint aNow)
{
  auto request = std::make_shared<OpenRequest>(m_io);
  request->id = ++m_lastId;
  request->responder = std::move(aResponder);
  request->message =
    std::make_shared<http1::RequestMessage>(std::move(aRequest));
  request->table = m_table;
  request->arrived = aNow;
  request->rank = static_cast<uint32_t>(UniformBelow(m_rng, gate::kRankCount));
  m_openRequests.emplace(request->id, request);
  return request;
}

void
RequestDispatcher::SetTimes(OpenRequest& aOpenRequest, TimePoint aNow) const
{
  const auto requestedDeadlineMs = ParseNumber(
    http1::FindHeader(aOpenRequest.message->headers, m_names.deadlineMs));
  aOpenRequest.clientDeadline =
    aNow + (requestedDeadlineMs
              ? Duration(std::chrono::milliseconds(*requestedDeadlineMs))
              : kDefaultDeadline);
  aOpenRequest.deadline = aOpenRequest.clientDeadline;
  if (aOpenRequest.route->timeout > Duration{}) {
    aOpenRequest.deadline =
      std::min(aOpenRequest.deadline, aNow + aOpenRequest.route->timeout);
  }
  aOpenRequest.objective = aNow + ObjectiveOf(*aOpenRequest.route);
  aOpenRequest.priority = aOpenRequest.route->priority;
}

void
RequestDispatcher::InheritFromParent(OpenRequest& aOpenRequest)
{
  const auto parent =
    m_gateway.FindParent(aOpenRequest.requestId, aOpenRequest.clientDeadline);
  if (!parent) {
    return;
  }
  aOpenRequest.nested = true;
  aOpenRequest.parentKey = parent->key;
  aOpenRequest.priority = parent->priority;
  aOpenRequest.rank = parent->rank;
  aOpenRequest.isRetry = parent->isRetry;
  m_nestedCalls[parent->route].insert(
    { aOpenRequest.service, aOpenRequest.route->name });
}

void
RequestDispatcher::RecognizeRetryingClient(OpenRequest& aOpenRequest,
                                           TimePoint aNow)
{
  aOpenRequest.firstArrival = aNow;
  if (aOpenRequest.nested) {
    return;
  }
  const auto first =
    m_rejectedClients.TakeFirstArrival(aOpenRequest.fingerprint, aNow);
  if (!first) {
    return;
  }
  aOpenRequest.firstArrival = *first;
  aOpenRequest.summary.isRetryAfterRejection = true;
  aOpenRequest.objective -= aNow - *first;
  if (aOpenRequest.objective > aNow) {
    aOpenRequest.rank = RankAfterRejection(aOpenRequest.rank);
  }
}

bool
RequestDispatcher::Admit(const OpenRequestPtr& aOpenRequest)
{
  if (aOpenRequest->nested) {
    return true;
  }
  if (m_isRejectingClients) {
    Reject(aOpenRequest, ErrorKind::kDraining, "daemon is draining");
    return false;
  }
  const size_t priorityClass = gate::PriorityClassOf(aOpenRequest->priority);
  aOpenRequest->admissionLevel = m_directory.AdmissionLevels(
    aOpenRequest->service, aOpenRequest->route->name)[priorityClass];
  if (aOpenRequest->rank < aOpenRequest->admissionLevel * gate::kRankCount) {
    return true;
  }
  Reject(
    aOpenRequest, ErrorKind::kOverloaded, "rank is above the admission level");
  return false;
}

void
RequestDispatcher::StartAttempt(const OpenRequestPtr& aOpenRequest)
{
  if (!m_observer.IsRunAllowed(aOpenRequest->fingerprint)) {
    Reject(aOpenRequest,
           ErrorKind::kQuarantined,
           "request is quarantined because it crashed targets");
    return;
  }
  const TimePoint now = BootNow();
  std::vector<TargetOption> options =
    m_directory.TargetOptions(aOpenRequest->service, aOpenRequest->route->name);
  std::erase_if(options, [&aOpenRequest, now](const TargetOption& aOption) {
    return now + aOption.candidate.roundTrip >= aOpenRequest->deadline ||
           std::find(aOpenRequest->tried.begin(),
                     aOpenRequest->tried.end(),
                     aOption.address) != aOpenRequest->tried.end();
  });
  if (std::erase_if(options,
                    [this, &aOpenRequest, now](const TargetOption& aOption) {
                      return !CanFinishBeforeClose(*aOpenRequest, aOption, now);
                    }) > 0 &&
      options.empty()) {
    Reject(aOpenRequest,
           ErrorKind::kDraining,
           "no target can respond before the daemon stops");
    return;
  }
  std::vector<placement::Candidate> candidates;
  candidates.reserve(options.size());
  for (const TargetOption& option : options) {
    candidates.push_back(option.candidate);
  }
  placement::AttemptRequirements need;
  need.objective = std::max<Duration>(aOpenRequest->route->objective,
                                      std::chrono::milliseconds(1));
  need.remaining = aOpenRequest->deadline - now;
  need.bulk = aOpenRequest->route->bulk;
  const auto chosen = placement::ChooseTarget(candidates, need, m_rng);
  if (!chosen) {
    WaitForTarget(aOpenRequest, now);
    return;
  }
  SendAttempt(aOpenRequest, options[*chosen]);
}

bool
RequestDispatcher::CanFinishBeforeClose(const OpenRequest& aOpenRequest,
                                        const TargetOption& aOption,
                                        TimePoint aNow) const
{
  if (!m_closeEnd) {
    return true;
  }
  const placement::Candidate& candidate = aOption.candidate;
  const int runTimes = aOpenRequest.nested ? kMinRunTimesOfNestedCallBeforeClose
                                           : kMinRunTimesBeforeClose;
  const Duration needed = candidate.meanRunTime > Duration{}
                            ? runTimes * candidate.meanRunTime
                            : ObjectiveOf(*aOpenRequest.route);
  return aNow + candidate.roundTrip + candidate.expectedWait + needed <
         *m_closeEnd;
}

void
RequestDispatcher::WaitForTarget(const OpenRequestPtr& aOpenRequest,
                                 TimePoint aNow)
{
  const Duration wait = aOpenRequest->route->objective / kTargetWaitDivisor;
  if (!aOpenRequest->tried.empty() || aNow - aOpenRequest->arrived > wait) {
    Reject(aOpenRequest,
           ErrorKind::kNoTarget,
           aOpenRequest->tried.empty() ? "no target is reachable"
                                       : "every reachable target was tried");
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(m_io, kTargetWaitInterval);
  timer->async_wait(
    [this, timer, weak = std::weak_ptr<OpenRequest>(aOpenRequest)](
      const std::error_code& aCode) {
      const auto request = weak.lock();
      if (!aCode && request && !request->ended) {
        StartAttempt(request);
      }
    });
}

void
RequestDispatcher::SendAttempt(const OpenRequestPtr& aOpenRequest,
                               const TargetOption& aOption)
{
  Attempt& attempt = aOpenRequest->attempt;
  attempt.id = ++m_lastId;
  attempt.requestId = aOpenRequest->requestId;
  attempt.message = aOpenRequest->message;
  attempt.service = aOpenRequest->service;
  attempt.route = aOpenRequest->route->name;
  attempt.idempotent = aOpenRequest->route->idempotent;
  attempt.priority = aOpenRequest->priority;
  attempt.rank = aOpenRequest->rank;
  attempt.nested = aOpenRequest->nested;
  attempt.isRetry = aOpenRequest->isRetry;
  attempt.objective = aOpenRequest->objective - aOption.candidate.roundTrip;
  attempt.deadline = aOpenRequest->deadline - aOption.candidate.roundTrip;
  attempt.callerService = m_options.localService;
  attempt.fingerprint = aOpenRequest->fingerprint;
  aOpenRequest->channel = aOption.channel;
  aOpenRequest->address = aOption.address;
  aOpenRequest->expectedRun = aOption.candidate.meanRunTime;
  m_directory.OnSent(aOption.address);
  aOption.channel->Start(
    attempt,
    [this,
     weak = std::weak_ptr<OpenRequest>(aOpenRequest)](AttemptResult aResult) {
      if (const auto request = weak.lock()) {
        OnResult(request, std::move(aResult));
      }
    });
}

void
RequestDispatcher::OnResult(const OpenRequestPtr& aOpenRequest,
                            AttemptResult aResult)
{
  if (aOpenRequest->ended) {
    return;
  }
  aOpenRequest->channel = nullptr;
  m_directory.OnResult(aOpenRequest->address, aOpenRequest->attempt, aResult);
  if (aResult.reachedTarget) {
    aOpenRequest->receivedBy.push_back(aOpenRequest->address);
  }
  aOpenRequest->tried.push_back(aOpenRequest->address);
  switch (aResult.outcome) {
    case Outcome::kNotRun:
      OnNotRun(aOpenRequest, aResult);
      return;
    case Outcome::kUnknown:
      OnUnknown(aOpenRequest, aResult);
      return;
    case Outcome::kResponded:
      break;
  }
  const bool failed = aResult.response.status == 500;
  if (failed && !aResult.nestedFailed && aOpenRequest->route->idempotent &&
      TryTakeRetry(*aOpenRequest, BootNow())) {
    aOpenRequest->mayHaveRun = true;
    aOpenRequest->isRetry = true;
    aOpenRequest->failedResponse = std::move(aResult.response);
    StartAttempt(aOpenRequest);
    return;
  }
  SendResponse(aOpenRequest, std::move(aResult.response));
}

void
RequestDispatcher::OnNotRun(const OpenRequestPtr& aOpenRequest,
                            const AttemptResult& aResult)
{
  aOpenRequest->rejections.push_back(
    { aOpenRequest->address, aResult.error.detail });
  const TimePoint now = BootNow();
  if (aOpenRequest->rejections.size() > kMaxRejections ||
      now >= aOpenRequest->deadline ||
      aResult.error.kind == ErrorKind::kQuarantined) {
    Reject(aOpenRequest, aResult.error.kind, aResult.error.detail);
    return;
  }
  if (aResult.reachedTarget && !TryTakeRetry(*aOpenRequest, now)) {
    Reject(aOpenRequest, aResult.error.kind, aResult.error.detail);
    return;
  }
  StartAttempt(aOpenRequest);
}

void
RequestDispatcher::OnUnknown(const OpenRequestPtr& aOpenRequest,
                             const AttemptResult& aResult)
{
  const TimePoint now = BootNow();
  aOpenRequest->mayHaveRun = true;
  if (aOpenRequest->route->idempotent && TryTakeRetry(*aOpenRequest, now)) {
    aOpenRequest->isRetry = true;
    StartAttempt(aOpenRequest);
    return;
  }
  const bool deadlineExceeded =
    aResult.error.kind == ErrorKind::kDeadlineExceeded ||
    now >= aOpenRequest->deadline;
  Fail(aOpenRequest,
       deadlineExceeded ? 504 : 502,
       aResult.error.kind,
       aResult.error.detail);
}

bool
RequestDispatcher::TryTakeRetry(OpenRequest& aOpenRequest, TimePoint aNow)
{
  const uint32_t attemptLimit =
    std::max<uint32_t>(aOpenRequest.route->maxAttempts, 1);
  if (aOpenRequest.receivedBy.size() >= attemptLimit ||
      aNow + kMinRunTimesForRetry * aOpenRequest.expectedRun >=
        aOpenRequest.deadline) {
    return false;
  }
  return m_retryBudget.TryTake(
    aOpenRequest.service, ClaimOf(aOpenRequest.attempt), aNow);
}

void
RequestDispatcher::StartDeadlineTimer(const OpenRequestPtr& aOpenRequest)
{
  aOpenRequest->timer.expires_after(aOpenRequest->deadline - BootNow() +
                                    kDeadlineGrace);
  aOpenRequest->timer.async_wait(
    [this, weak = std::weak_ptr<OpenRequest>(aOpenRequest)](
      const std::error_code& aCode) {
      const auto request = weak.lock();
      if (!aCode && request) {
        OnDeadline(request);
      }
    });
}

void
RequestDispatcher::OnDeadline(const OpenRequestPtr& aOpenRequest)
{
  if (aOpenRequest->ended) {
    return;
  }
  if (aOpenRequest->channel != nullptr) {
    aOpenRequest->channel->Cancel(aOpenRequest->attempt.id);
    aOpenRequest->mayHaveRun = true;
  }
  if (aOpenRequest->mayHaveRun) {
    Fail(aOpenRequest,
         504,
         ErrorKind::kDeadlineExceeded,
         "no response before the deadline");
  } else {
    Reject(aOpenRequest,
           ErrorKind::kDeadlineExceeded,
           "no target accepted the request before the deadline");
  }
}

void
RequestDispatcher::CompleteAllOpen()
{
  std::vector<OpenRequestPtr> open;
  for (const auto& [id, request] : m_openRequests) {
    open.push_back(request);
  }
  for (const OpenRequestPtr& request : open) {
    if (request->channel != nullptr) {
      request->channel->Cancel(request->attempt.id);
      request->mayHaveRun = true;
    }
    Reject(request, ErrorKind::kDraining, "daemon is shutting down");
  }
}

void
RequestDispatcher::OnClientDisconnected(const OpenRequestPtr& aOpenRequest)
{
  if (aOpenRequest->ended) {
    return;
  }
  if (aOpenRequest->channel != nullptr) {
    aOpenRequest->channel->Cancel(aOpenRequest->attempt.id);
  }
  aOpenRequest->summary.clientDisconnected = true;
  aOpenRequest->summary.error = ErrorKind::kCancelled;
  Finish(aOpenRequest);
}

void
RequestDispatcher::SendResponse(const OpenRequestPtr& aOpenRequest,
                                http1::ResponseMessage aResponse)
{
  http1::Headers& headers = aResponse.headers;
  const std::string* length = http1::FindHeader(headers, "Content-Length");
  const std::string headLength = length == nullptr ? "" : *length;
  http1::RemoveConnectionHeaders(headers);
  if (aResponse.bodiless && !headLength.empty()) {
    http1::SetHeader(headers, "Content-Length", headLength);
  }
  aOpenRequest->summary.status = aResponse.status;
  if (aOpenRequest->nested && aOpenRequest->parentKey != 0 &&
      aResponse.status >= 400) {
    m_gateway.RecordNestedFailure(aOpenRequest->parentKey);
  }
  aOpenRequest->responder.Respond(aResponse);
  Finish(aOpenRequest);
}

void
RequestDispatcher::Reject(const OpenRequestPtr& aOpenRequest,
                          ErrorKind aKind,
                          std::string aDetail)
{
  if (aOpenRequest->mayHaveRun) {
    Fail(aOpenRequest, 502, aKind, std::move(aDetail));
    return;
  }
  const TimePoint now = BootNow();
  http1::ResponseMessage response = MakeEmptyResponse(503);
  if (!aOpenRequest->nested) {
    const Duration after = RetryAfterDelay(aOpenRequest->clientDeadline - now,
                                           aOpenRequest->objective - now,
                                           aOpenRequest->admissionLevel,
                                           aOpenRequest->expectedRun,
                                           m_rng);
    http1::SetHeader(
      response.headers,
      "Retry-After",
      fmt::format("{:.3f}", ToFractionalMilliseconds(after) / 1000.0));
    m_rejectedClients.RecordRejection(
      aOpenRequest->fingerprint, aOpenRequest->firstArrival, after, now);
  }
  aOpenRequest->summary.error = aKind;
  aOpenRequest->summary.detail = std::move(aDetail);
  SendResponse(aOpenRequest, std::move(response));
}

void
RequestDispatcher::Fail(const OpenRequestPtr& aOpenRequest,
                        int aStatus,
                        ErrorKind aKind,
                        std::string aDetail)
{
  aOpenRequest->summary.error = aKind;
  aOpenRequest->summary.detail = std::move(aDetail);
  SendResponse(aOpenRequest,
               aOpenRequest->failedResponse
                 ? std::move(*aOpenRequest->failedResponse)
                 : MakeEmptyResponse(aStatus));
}

void
RequestDispatcher::Finish(const OpenRequestPtr& aOpenRequest)
{
  if (std::exchange(aOpenRequest->ended, true)) {
    return;
  }
  aOpenRequest->timer.cancel();
  m_openRequests.erase(aOpenRequest->id);
  RequestSummary& summary = aOpenRequest->summary;
  summary.requestId = aOpenRequest->requestId;
  summary.path = aOpenRequest->message->target;
  summary.route =
    aOpenRequest->route == nullptr ? "" : aOpenRequest->route->name;
  summary.service = aOpenRequest->service;
  summary.targets = aOpenRequest->receivedBy;
  summary.nested = aOpenRequest->nested;
  summary.rank = aOpenRequest->rank;
  summary.admissionLevel = aOpenRequest->admissionLevel;
  summary.rejections = std::move(aOpenRequest->rejections);
  summary.duration = BootNow() - aOpenRequest->arrived;
  summary.configVersion =
    aOpenRequest->table ? aOpenRequest->table->Version() : 0;
  m_observer.OnRequestCompleted(summary);
}

Levels
RequestDispatcher::DownstreamAdmissionLevels(const std::string& aRoute)
{
  Levels admit;
  admit.fill(1.0);
  const auto found = m_nestedCalls.find(aRoute);
  if (found == m_nestedCalls.end()) {
    return admit;
  }
  for (const NestedCall& called : found->second) {
    const auto below =
      m_directory.AdmissionLevels(called.service, called.route);
    for (size_t i = 0; i < gate::kPriorityClasses; ++i) {
      admit[i] = std::min(admit[i], below[i]);
    }
  }
  return admit;
}

} // namespace wagtailbend::exchange
