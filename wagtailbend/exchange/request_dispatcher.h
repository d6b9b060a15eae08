// Dispatches requests of clients and of the local target to targets, and
// responds to each exactly once.
//
//   RequestDispatcher dispatcher(io, names, options, targets, gateway, log);
//   http1::Server server(io, dispatcher, limits); dispatcher.SetTable(table);

#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "wagtailbend/base/rng.h"
#include "wagtailbend/exchange/rejected_clients.h"
#include "wagtailbend/exchange/retry_budget.h"
#include "wagtailbend/exchange/target_directory.h"
#include "wagtailbend/exchange/target_gateway.h"
#include "wagtailbend/http1/protocol_names.h"
#include "wagtailbend/http1/server.h"
#include "wagtailbend/routes/route_table.h"
#include "wagtailbend/routes/split_picker.h"

namespace wagtailbend::exchange {

struct DispatcherOptions
{
  /// Service of the local target; sent to targets as the caller.
  std::string localService;
  RetryBudgetLimits retries;
};

/// A daemon or its target that rejected a request, and why.
struct Rejection
{
  std::string address;
  std::string reason;

  bool operator==(const Rejection&) const = default;
};

/// Summary of a completed request, for logs and metrics.
struct RequestSummary
{
  std::string requestId;
  std::string path;
  std::string route;
  std::string service;
  /// Daemons whose targets received the request, in order.
  std::vector<std::string> targets;
  int status = 0;
  /// Set if the response was not produced by a target.
  std::optional<ErrorKind> error;
  std::string detail;
  bool nested = false;
  bool clientDisconnected = false;
  uint32_t rank = 0;
  double admissionLevel = 1;
  /// In the order of the attempts; only a few.
  std::vector<Rejection> rejections;
  /// The client retried after a rejection.
  bool isRetryAfterRejection = false;
  Duration duration{};
  uint64_t configVersion = 0;
};

class DispatcherObserver
{
public:
  virtual ~DispatcherObserver() = default;
  virtual void OnRequestCompleted(const RequestSummary& aEnd) = 0;
  /// Returns false if the request is quarantined.
  virtual bool IsRunAllowed(uint64_t aFingerprint) = 0;
};

/// Must be used on the traffic thread only, and must outlive the run of the
/// io_context.
class RequestDispatcher : public http1::RequestHandler
{
public:
  RequestDispatcher(asio::io_context& aIo,
                    http1::ProtocolNames aNames,
                    DispatcherOptions aOptions,
                    TargetDirectory& aDirectory,
                    TargetGateway& aGateway,
                    DispatcherObserver& aObserver);

  void SetTable(std::shared_ptr<const routes::RouteTable> aTable);
  const std::shared_ptr<const routes::RouteTable>& Table() const
  {
    return m_table;
  }
  /// The daemon stops at aEnd at the latest. From now on a request, a call of a
  /// running request among them, is sent only to a target that is expected to
  /// respond before that; if there is none, it is rejected as not run.
  void BeginClose(TimePoint aEnd) { m_closeEnd = aEnd; }
  /// From now on rejects requests of clients as not run. Calls of requests that
  /// run at the local target are still served.
  void RejectClients() { m_isRejectingClients = true; }
  /// Completes every open request immediately, for process shutdown: as not run
  /// if no target received it, otherwise with an unknown outcome.
  void CompleteAllOpen();
  void SetDaemons(size_t aCount) { m_retryBudget.SetDaemons(aCount); }

  void OnRequest(http1::RequestMessage aRequest,
                 http1::Responder aResponder) override;

  /// Returns by priority class the lowest admission level of the services that
  /// requests of aRoute have called from this daemon.
  Levels DownstreamAdmissionLevels(const std::string& aRoute);

  size_t OpenRequests() const { return m_openRequests.size(); }

private:
  struct OpenRequest;
  using OpenRequestPtr = std::shared_ptr<OpenRequest>;

  OpenRequestPtr MakeOpenRequest(http1::RequestMessage aRequest,
                                 http1::Responder aResponder,
                                 TimePoint aNow);
  void SetTimes(OpenRequest& aOpenRequest, TimePoint aNow) const;
  void InheritFromParent(OpenRequest& aOpenRequest);
  void RecognizeRetryingClient(OpenRequest& aOpenRequest, TimePoint aNow);
  bool Admit(const OpenRequestPtr& aOpenRequest);
  void StartAttempt(const OpenRequestPtr& aOpenRequest);
  bool CanFinishBeforeClose(const OpenRequest& aOpenRequest,
                            const TargetOption& aOption,
                            TimePoint aNow) const;
  void WaitForTarget(const OpenRequestPtr& aOpenRequest, TimePoint aNow);
  void SendAttempt(const OpenRequestPtr& aOpenRequest,
                   const TargetOption& aOption);
  void OnResult(const OpenRequestPtr& aOpenRequest, AttemptResult aResult);
  void OnNotRun(const OpenRequestPtr& aOpenRequest,
                const AttemptResult& aResult);
  void OnUnknown(const OpenRequestPtr& aOpenRequest,
                 const AttemptResult& aResult);
  bool TryTakeRetry(OpenRequest& aOpenRequest, TimePoint aNow);
  void StartDeadlineTimer(const OpenRequestPtr& aOpenRequest);
  void OnDeadline(const OpenRequestPtr& aOpenRequest);
  void OnClientDisconnected(const OpenRequestPtr& aOpenRequest);
  void SendResponse(const OpenRequestPtr& aOpenRequest,
                    http1::ResponseMessage aResponse);
  void Reject(const OpenRequestPtr& aOpenRequest,
              ErrorKind aKind,
              std::string aDetail);
  /// Responds with the target's failure that was held back for a retry, if
  /// there is one, otherwise with an empty response of status aStatus.
  void Fail(const OpenRequestPtr& aOpenRequest,
            int aStatus,
            ErrorKind aKind,
            std::string aDetail);
  void Finish(const OpenRequestPtr& aOpenRequest);

  asio::io_context& m_io;
  const http1::ProtocolNames m_names;
  const DispatcherOptions m_options;
  TargetDirectory& m_directory;
  TargetGateway& m_gateway;
  DispatcherObserver& m_observer;
  std::shared_ptr<const routes::RouteTable> m_table;
  routes::SplitPicker m_splits;
  RetryBudget m_retryBudget;
  RejectedClients m_rejectedClients;
  Rng m_rng;
  uint64_t m_lastId = 0;
  bool m_isRejectingClients = false;
  std::optional<TimePoint> m_closeEnd;
  std::unordered_map<uint64_t, OpenRequestPtr> m_openRequests;
  struct NestedCall
  {
    std::string service;
    std::string route;
    // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const NestedCall&) const = default;
  };
  /// By route: nested calls observed from its runs at the local target.
  std::unordered_map<std::string, std::set<NestedCall>> m_nestedCalls;
};

} // namespace wagtailbend::exchange
