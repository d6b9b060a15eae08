#include "wagtailbend/exchange/target_gateway.h"

#include <thread>

#include <gtest/gtest.h>

#include "wagtailbend/base/boot_time.h"
#include "wagtailbend/exchange/testing/fakes.h"
#include "wagtailbend/http1/testing/endless_server.h"
#include "wagtailbend/http1/testing/scripted_server.h"

namespace wagtailbend::exchange {
namespace {

using http1::testing::ScriptedServer;
using After = ScriptedServer::After;
using std::chrono::milliseconds;

std::string
Ok(const std::string& aBody, const std::string& aHeaders = "Seal: s\r\n")
{
  return "HTTP/1.1 200 OK\r\nId: {id}\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

class TargetGatewayTest : public ::testing::Test
{
protected:
  TargetGatewayTest() { UseTarget(m_server.Endpoint()); }

  /// Replaces the gateway by one whose target is at aEndpoint.
  void UseTarget(const asio::ip::tcp::endpoint& aEndpoint)
  {
    GatewayOptions options;
    options.target = aEndpoint;
    options.service = "orders";
    m_gateway.emplace(m_io, testing::Names(), options, m_observer);
    SetTarget(true);
  }

  void SetTarget(bool aAccepting, uint32_t aSlots = 2)
  {
    targets::TargetView view;
    view.run = { "t-1", 5 };
    view.accepting = aAccepting;
    view.slots = aSlots;
    m_gateway->SetTarget(view);
  }

  Attempt MakeAttempt(uint64_t aId, bool aIdempotent = true)
  {
    auto message = std::make_shared<http1::RequestMessage>();
    message->method = "GET";
    message->target = "/a/1?x=2";
    message->headers = { { "Host", "h" },
                         { "Id", std::to_string(aId) },
                         { "Caller", "forged" },
                         { "Connection", "X-Hop" },
                         { "X-Hop", "1" } };
    Attempt attempt;
    attempt.id = aId;
    attempt.requestId = std::to_string(aId);
    attempt.message = message;
    attempt.service = "orders";
    attempt.route = "r";
    attempt.idempotent = aIdempotent;
    attempt.objective = BootNow() + milliseconds(500);
    attempt.deadline = BootNow() + milliseconds(700);
    attempt.callerService = "stock";
    attempt.fingerprint = 40 + aId;
    return attempt;
  }

  uint64_t Start(const Attempt& aAttempt)
  {
    return m_gateway->Run(aAttempt, [this](AttemptResult aResult) {
      m_results.push_back(std::move(aResult));
    });
  }

  void RunFor(int aMs)
  {
    m_io.restart();
    m_io.run_for(milliseconds(aMs));
  }

  /// Runs the event loop and calls Tick as the daemon does.
  void TickFor(int aMs)
  {
    const TimePoint end = BootNow() + milliseconds(aMs);
    while (BootNow() < end) {
      m_gateway->Tick(BootNow());
      RunFor(10);
      // RunFor returns at once while nothing is pending.
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  AttemptResult RunOne(const Attempt& aAttempt)
  {
    Start(aAttempt);
    const TimePoint end = BootNow() + milliseconds(1500);
    while (BootNow() < end && m_results.empty()) {
      TickFor(1);
    }
    EXPECT_EQ(m_results.size(), 1U);
    return m_results.empty() ? AttemptResult{} : m_results.back();
  }

  asio::io_context m_io;
  ScriptedServer m_server{ m_io };
  testing::FakeGatewayObserver m_observer;
  std::optional<TargetGateway> m_gateway;
  std::vector<AttemptResult> m_results;
};

// Guards against a target that receives a forged caller, an expired deadline or
// hop-by-hop headers of the client's connection.
TEST_F(TargetGatewayTest, ReplacesTheProtocolHeadersOfTheClient)
{
  m_server.AddResponse(Ok("x"));
  const AttemptResult result = RunOne(MakeAttempt(1));
  EXPECT_EQ(result.outcome, Outcome::kResponded);
  EXPECT_EQ(result.response.body, "x");
  const std::string& head = m_server.Requests().at(0);
  EXPECT_EQ(head.substr(0, head.find('\r')), "GET /a/1?x=2 HTTP/1.1");
  EXPECT_NE(head.find("Caller: stock\r\n"), std::string::npos);
  EXPECT_EQ(head.find("forged"), std::string::npos);
  EXPECT_EQ(head.find("X-Hop"), std::string::npos);
  EXPECT_NE(head.find("Expected: t-1\r\n"), std::string::npos);
  EXPECT_NE(head.find("Id: 1\r\n"), std::string::npos);
  EXPECT_NE(head.find("Deadline: 69"), std::string::npos);
}

struct ResponseCase
{
  const char* name;
  std::string bytes;
  After after;
  Outcome outcome;
  bool arrived;
};

class Answers
  : public TargetGatewayTest
  , public ::testing::WithParamInterface<ResponseCase>
{};

// Guards against reporting a request as not run that may have run, and against
// responses that were not produced by the target.
TEST_P(Answers, AreClassified)
{
  m_server.AddResponse(GetParam().bytes, GetParam().after);
  const AttemptResult result = RunOne(MakeAttempt(1, false));
  EXPECT_EQ(result.outcome, GetParam().outcome);
  EXPECT_EQ(result.reachedTarget, GetParam().arrived);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  Answers,
  ::testing::Values(
    ResponseCase{ "Good",
                  Ok("x"),
                  After::kKeepOpen,
                  Outcome::kResponded,
                  true },
    ResponseCase{ "Failed",
                  "HTTP/1.1 500 No\r\nId: {id}\r\nContent-Length: 0\r\n\r\n",
                  After::kKeepOpen,
                  Outcome::kResponded,
                  true },
    ResponseCase{ "Shed",
                  "HTTP/1.1 503 No\r\nId: {id}\r\nNot-Run: 1\r\n"
                  "Content-Length: 0\r\n\r\n",
                  After::kKeepOpen,
                  Outcome::kNotRun,
                  true },
    ResponseCase{ "OtherTarget",
                  "HTTP/1.1 421 No\r\nId: {id}\r\nTarget: t-2\r\n"
                  "Content-Length: 0\r\n\r\n",
                  After::kKeepOpen,
                  Outcome::kNotRun,
                  true },
    ResponseCase{ "Unsealed",
                  Ok("x", ""),
                  After::kKeepOpen,
                  Outcome::kUnknown,
                  true },
    ResponseCase{ "Encoded",
                  Ok("x", "Seal: s\r\nContent-Encoding: gzip\r\n"),
                  After::kKeepOpen,
                  Outcome::kUnknown,
                  true },
    ResponseCase{ "Reset", "", After::kReset, Outcome::kUnknown, true },
    ResponseCase{ "Silent", "", After::kKeepOpen, Outcome::kUnknown, true }),
  [](const auto& aInfo) { return aInfo.param.name; });

// Guards against a request that was never sent but counts as possibly run, so
// that an order is not retried.
TEST_F(TargetGatewayTest, AnUnreachableTargetMeansNotRun)
{
  m_server.Stop();
  const AttemptResult result = RunOne(MakeAttempt(1, false));
  EXPECT_EQ(result.outcome, Outcome::kNotRun);
  EXPECT_FALSE(result.reachedTarget);
  EXPECT_FALSE(result.report.accepting);
}

// Guards against a request that was running when the target crashed and does
// not become a crash suspect.
TEST_F(TargetGatewayTest, ReportsRequestsThatRanAtACrash)
{
  m_server.AddResponse("", After::kReset);
  RunOne(MakeAttempt(1, false));
  m_server.Stop();
  RunFor(10);
  m_results.clear();
  RunOne(MakeAttempt(2, false));
  EXPECT_EQ(m_observer.m_crashedFingerprints, std::vector<uint64_t>{ 41 });
}

// Guards against a request that crashes one target after another because a
// crash is detected only with the next request, after the detection window.
TEST_F(TargetGatewayTest, DetectsACrashWithoutFurtherRequests)
{
  m_server.AddResponse("", After::kReset);
  Start(MakeAttempt(1, false));
  RunFor(10);
  m_server.Stop();
  TickFor(200);
  EXPECT_EQ(m_observer.m_crashedFingerprints, std::vector<uint64_t>{ 41 });
  EXPECT_FALSE(m_gateway->Report("r").accepting);
}

struct CrashCase
{
  const char* name;
  bool idempotent;
  bool keptConnection;
};

class Crashes
  : public TargetGatewayTest
  , public ::testing::WithParamInterface<CrashCase>
{};

// Guards against a request that crashed its target and counts as not run.
TEST_P(Crashes, MakeTheRunningRequestASuspect)
{
  if (GetParam().keptConnection) {
    m_server.AddResponse(Ok("x"));
    RunOne(MakeAttempt(1));
    m_results.clear();
  }
  m_server.AddResponse("", After::kCrash);
  const AttemptResult result = RunOne(MakeAttempt(2, GetParam().idempotent));
  EXPECT_EQ(result.outcome, Outcome::kUnknown);
  EXPECT_TRUE(result.reachedTarget);
  EXPECT_EQ(m_observer.m_crashedFingerprints, std::vector<uint64_t>{ 42 });
  EXPECT_FALSE(m_gateway->Report("r").accepting);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  Crashes,
  ::testing::Values(CrashCase{ "LookupOnNewConnection", true, false },
                    CrashCase{ "LookupOnKeptConnection", true, true },
                    CrashCase{ "OrderOnNewConnection", false, false },
                    CrashCase{ "OrderOnKeptConnection", false, true }),
  [](const auto& aInfo) { return aInfo.param.name; });

// Guards against results that arrive before the crash is known, so that the
// request is sent to the next target.
TEST_F(TargetGatewayTest, ACrashIsReportedBeforeTheResult)
{
  m_server.AddResponse("", After::kCrash);
  std::vector<uint64_t> knownAtResult;
  m_gateway->Run(MakeAttempt(1), [&](const AttemptResult&) {
    knownAtResult = m_observer.m_crashedFingerprints;
  });
  TickFor(200);
  EXPECT_EQ(knownAtResult, std::vector<uint64_t>{ 41 });
}

// Guards against losing the suspect when the target is back before a connect
// fails.
TEST_F(TargetGatewayTest, ANewRunOfTheTargetShowsACrash)
{
  m_server.AddResponse("", After::kReset);
  Start(MakeAttempt(1, false));
  RunFor(20);
  targets::TargetView view;
  view.run = { "t-2", 9 };
  view.accepting = true;
  view.slots = 2;
  m_gateway->SetTarget(view);
  EXPECT_EQ(m_observer.m_crashedFingerprints, std::vector<uint64_t>{ 41 });
  EXPECT_EQ(m_results.size(), 1U);
}

// Guards against failing lookups whose idle connection a live target closed.
TEST_F(TargetGatewayTest, ALookupOnAStaleConnectionIsSentAgain)
{
  m_server.AddResponse(Ok("x"));
  RunOne(MakeAttempt(1));
  m_results.clear();
  m_server.AddResponse("", After::kReset);
  m_server.AddResponse(Ok("y"));
  const AttemptResult result = RunOne(MakeAttempt(2));
  EXPECT_EQ(result.response.body, "y");
  EXPECT_TRUE(m_observer.m_crashedFingerprints.empty());
}

// Guards against "not run" for a lookup that an earlier send may have run.
TEST_F(TargetGatewayTest, ARejectedResendMayHaveRun)
{
  m_server.AddResponse(Ok("x"));
  RunOne(MakeAttempt(1));
  m_results.clear();
  m_server.AddResponse("", After::kReset);
  m_server.AddResponse("HTTP/1.1 503 No\r\nId: {id}\r\nNot-Run: 1\r\n"
                       "Content-Length: 0\r\n\r\n");
  EXPECT_EQ(RunOne(MakeAttempt(2)).outcome, Outcome::kUnknown);
}

// Guards against new work for a target that is leaving.
TEST_F(TargetGatewayTest, ALeavingTargetGetsNoResend)
{
  m_server.AddResponse(Ok("x"));
  RunOne(MakeAttempt(1));
  m_results.clear();
  m_server.AddResponse("", After::kReset);
  m_server.AddResponse(Ok("y"));
  Start(MakeAttempt(2));
  RunFor(10);
  m_gateway->RecordLeaving({ "t-1", 5 });
  TickFor(200);
  ASSERT_EQ(m_results.size(), 1U);
  EXPECT_EQ(m_results[0].outcome, Outcome::kUnknown);
  EXPECT_EQ(m_server.Requests().size(), 2U);
}

// Guards against sending a request again that meanwhile became a suspect.
TEST_F(TargetGatewayTest, ASuspectIsNotSentAgain)
{
  m_server.AddResponse(Ok("x"));
  RunOne(MakeAttempt(1));
  m_results.clear();
  m_server.AddResponse("", After::kReset);
  m_server.AddResponse(Ok("y"));
  Start(MakeAttempt(2));
  RunFor(10);
  m_observer.m_blockedFingerprint = 42;
  TickFor(200);
  ASSERT_EQ(m_results.size(), 1U);
  EXPECT_EQ(m_results[0].outcome, Outcome::kUnknown);
  EXPECT_EQ(m_server.Requests().size(), 2U);
}

// Guards against unnecessary probe connections to a live target: one is
// sufficient, and none is needed if the target responds in the meantime.
TEST_F(TargetGatewayTest, ProbesALiveTargetAtMostOnce)
{
  m_server.AddResponse("", After::kReset);
  RunOne(MakeAttempt(1, false));
  TickFor(2200);
  EXPECT_EQ(m_server.AcceptedConnections(), 2U);
  EXPECT_TRUE(m_observer.m_crashedFingerprints.empty());

  m_server.AddResponse("", After::kReset);
  m_results.clear();
  RunOne(MakeAttempt(2, false));
  m_server.AddResponse(Ok("x"));
  m_results.clear();
  EXPECT_EQ(RunOne(MakeAttempt(3)).outcome, Outcome::kResponded);
  const size_t accepted = m_server.AcceptedConnections();
  TickFor(400);
  EXPECT_EQ(m_server.AcceptedConnections(), accepted);
}

// Guards against sending an order on an idle connection that the target may
// have dropped without notice: its outcome would be unknown.
TEST_F(TargetGatewayTest, OrdersDoNotUseLongIdleConnections)
{
  m_server.AddResponse(Ok("x"));
  RunOne(MakeAttempt(1));
  RunFor(600);
  m_server.AddResponse(Ok("y"));
  m_results.clear();
  EXPECT_EQ(RunOne(MakeAttempt(2, false)).outcome, Outcome::kResponded);
  EXPECT_EQ(m_server.AcceptedConnections(), 2U);
  m_server.AddResponse(Ok("z"));
  m_results.clear();
  EXPECT_EQ(RunOne(MakeAttempt(3)).outcome, Outcome::kResponded);
  EXPECT_EQ(m_server.AcceptedConnections(), 2U);
}

// Guards against a target that keeps working for a disconnected client, and
// against interrupting an order.
TEST_F(TargetGatewayTest, CancelInterruptsOnlyIdempotentRuns)
{
  SetTarget(true, 4);
  const uint64_t lookup = Start(MakeAttempt(1));
  const uint64_t order = Start(MakeAttempt(2, false));
  RunFor(30);
  EXPECT_EQ(m_gateway->RunningCount(), 2U);
  m_gateway->Cancel(lookup);
  m_gateway->Cancel(order);
  EXPECT_EQ(m_gateway->RunningCount(), 1U);
  EXPECT_TRUE(m_results.empty());
}

// Guards against sending new or queued requests to a draining target.
TEST_F(TargetGatewayTest, ADrainingTargetReceivesNoMoreRequests)
{
  // The queue uses only a share of the slots: one of two here.
  Start(MakeAttempt(1));
  Start(MakeAttempt(2));
  RunFor(10);
  SetTarget(false);
  Start(MakeAttempt(3));
  RunFor(10);
  ASSERT_EQ(m_results.size(), 2U);
  for (const AttemptResult& result : m_results) {
    EXPECT_EQ(result.outcome, Outcome::kNotRun);
    EXPECT_EQ(result.error.kind, ErrorKind::kDraining);
  }
  EXPECT_EQ(m_server.Requests().size(), 1U);
}

// Guards against treating nested calls of a run as requests of clients.
TEST_F(TargetGatewayTest, FindsTheParentOfANestedCall)
{
  Attempt attempt = MakeAttempt(1);
  attempt.priority = 1;
  attempt.rank = 77;
  Start(attempt);
  RunFor(10);
  const auto byName =
    m_gateway->FindParent("1.abc", BootNow() + std::chrono::seconds(9));
  ASSERT_TRUE(byName);
  EXPECT_EQ(byName->rank, 77U);
  const auto byDeadline = m_gateway->FindParent("zzz", attempt.deadline);
  ASSERT_TRUE(byDeadline);
  EXPECT_EQ(byDeadline->priority, 1U);
  EXPECT_FALSE(
    m_gateway->FindParent("zzz", attempt.deadline + milliseconds(50)));
}

// Guards against an unavailable service while all its daemons restart, and
// against requests that are aborted by the daemon's shutdown.
TEST_F(TargetGatewayTest, AStoppingDaemonAcceptsRequestsThatCanFinish)
{
  m_server.AddResponse(Ok("x"));
  m_gateway->BeginClose(BootNow() + milliseconds(500));
  EXPECT_TRUE(m_gateway->Report("r").stopping);
  EXPECT_EQ(RunOne(MakeAttempt(1)).outcome, Outcome::kResponded);
  m_gateway->BeginClose(BootNow());
  m_results.clear();
  EXPECT_EQ(RunOne(MakeAttempt(2)).outcome, Outcome::kNotRun);
  EXPECT_EQ(m_server.Requests().size(), 1U);
}

constexpr const char* kRejected =
  "HTTP/1.1 503 No\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

// Guards against orders that fail at a target which has free slots but rejects
// half of its requests, although the next try would succeed.
TEST_F(TargetGatewayTest, RetriesAnOrderThatTheTargetRejected)
{
  m_observer.m_allowedRetries = 2;
  m_server.AddResponse(kRejected);
  m_server.AddResponse(kRejected);
  m_server.AddResponse(Ok("x"));
  EXPECT_EQ(RunOne(MakeAttempt(1, false)).outcome, Outcome::kResponded);
  EXPECT_EQ(m_server.Requests().size(), 3U);
}

// Guards against a rejection that the target writes once more and that is taken
// for the response to the retry, which runs.
TEST_F(TargetGatewayTest, ARepeatedRejectionDoesNotAnswerTheRetry)
{
  m_observer.m_allowedRetries = 1;
  m_server.AddResponse("HTTP/1.1 503 No\r\nId: {id}\r\nNot-Run: 1\r\n"
                       "Content-Length: 0\r\n\r\n",
                       After::kRepeatLater);
  m_server.AddResponse(Ok("y"));
  const AttemptResult result = RunOne(MakeAttempt(1, false));
  EXPECT_EQ(result.outcome, Outcome::kResponded);
  EXPECT_EQ(result.response.body, "y");
}

// Guards against retries beyond the system-wide bound, and against nested
// lookups that exhaust it.
TEST_F(TargetGatewayTest, RetriesOnlyWithinTheBudget)
{
  m_observer.m_allowedRetries = 1;
  m_server.AddResponse(kRejected);
  m_server.AddResponse(kRejected);
  EXPECT_EQ(RunOne(MakeAttempt(1, false)).outcome, Outcome::kNotRun);
  EXPECT_EQ(m_server.Requests().size(), 2U);
  m_observer.m_allowedRetries = 5;
  m_results.clear();
  Attempt lookup = MakeAttempt(2);
  lookup.priority = 2;
  lookup.nested = true;
  m_server.AddResponse(kRejected);
  m_server.AddResponse(kRejected);
  EXPECT_EQ(RunOne(lookup).outcome, Outcome::kNotRun);
  EXPECT_EQ(m_server.Requests().size(), 4U);
}

// Guards against a crash suspect that runs concurrently with another one.
TEST_F(TargetGatewayTest, AsksTheObserverBeforeARun)
{
  m_observer.m_blockedFingerprint = 41;
  const AttemptResult result = RunOne(MakeAttempt(1, false));
  EXPECT_EQ(result.outcome, Outcome::kNotRun);
  EXPECT_EQ(result.error.kind, ErrorKind::kQuarantined);
  EXPECT_TRUE(m_server.Requests().empty());
}

// Guards against rejecting customers whose requests only happened to be running
// when a target crashed.
TEST_F(TargetGatewayTest, ASuspectWaitsForItsTurn)
{
  m_observer.m_blockedFingerprint = 41;
  m_observer.m_blockedPermission = RunPermission::kWait;
  m_server.AddResponse(Ok("x"));
  Start(MakeAttempt(1, false));
  TickFor(60);
  EXPECT_TRUE(m_results.empty());
  EXPECT_TRUE(m_server.Requests().empty());
  m_observer.m_blockedFingerprint.reset();
  TickFor(60);
  ASSERT_EQ(m_results.size(), 1U);
  EXPECT_EQ(m_results[0].outcome, Outcome::kResponded);
}

// Guards against using a connection again on which a full target has fallen
// silent: it answers nothing that comes later on it, either.
TEST_F(TargetGatewayTest, ASilentConnectionIsNotUsedAgain)
{
  SetTarget(true, 1);
  m_server.AddResponse(Ok("x"));
  m_server.AddResponse("");
  m_server.AddResponse(Ok("y"));
  EXPECT_EQ(RunOne(MakeAttempt(1)).outcome, Outcome::kResponded);
  for (const bool idempotent : { false, true }) {
    m_results.clear();
    const AttemptResult result = RunOne(MakeAttempt(2, idempotent));
    if (result.outcome == Outcome::kResponded) {
      break;
    }
    // The target may have run it, so that only the caller can decide.
    EXPECT_EQ(result.outcome, Outcome::kUnknown);
    EXPECT_EQ(result.error.kind, ErrorKind::kDeadlineExceeded);
    EXPECT_TRUE(result.reachedTarget);
  }
  EXPECT_EQ(m_server.Requests().size(), 3U);
  // The first two requests share a connection, the third has one of its own.
  EXPECT_EQ(m_server.AcceptedConnections(), 2U);
  EXPECT_EQ(m_gateway->RunningCount(), 0U);
  EXPECT_GT(m_gateway->Report("r").failureShare, 0.0);
}

// Guards against a target in trouble whose endless responses hold slots until
// the deadline, are retried on the same connection, or go unnoticed.
TEST_F(TargetGatewayTest, EndlessResponseEndsTheAttempt)
{
  http1::testing::EndlessServer server(
    m_io, { "HTTP/1.1 200 OK\r\nId: {id}\r\n", "X-Line: 1\r\n" });
  UseTarget(server.Endpoint());
  for (uint64_t id : { 1, 2 }) {
    m_results.clear();
    const TimePoint start = BootNow();
    const AttemptResult result = RunOne(MakeAttempt(id, false));
    EXPECT_EQ(result.outcome, Outcome::kUnknown);
    EXPECT_TRUE(result.reachedTarget);
    EXPECT_EQ(result.error.kind, ErrorKind::kResponseIncomplete);
    EXPECT_LT(BootNow() - start, milliseconds(500));
  }
  EXPECT_EQ(server.AcceptedConnections(), 2U);
  EXPECT_EQ(server.ReceivedRequests(), 2U);
  EXPECT_EQ(m_gateway->Counts().invalidResponses, 2U);
  EXPECT_EQ(m_observer.m_invalidResponses.size(), 2U);
  EXPECT_EQ(m_gateway->RunningCount(), 0U);
  EXPECT_EQ(m_gateway->ConnectionCount(), 0U);
  EXPECT_GT(m_gateway->Report("r").failureShare, 0.0);
}

// Guards against an endless response that starves the other requests of the
// traffic thread: they share it fairly, one read buffer at a time.
TEST_F(TargetGatewayTest, EndlessResponseDoesNotDelayOthers)
{
  http1::testing::EndlessServer server(
    m_io, { "HTTP/1.1 200 OK\r\nId: {id}\r\n\r\n", std::string(1024, 'x') });
  UseTarget(server.Endpoint());
  Start(MakeAttempt(1));
  constexpr int kWarmUpEvents = 40;
  for (int i = 0; i < kWarmUpEvents; ++i) {
    m_io.run_one_for(milliseconds(100));
  }
  ASSERT_TRUE(m_results.empty());
  m_server.AddResponse(Ok("x"));
  GatewayOptions options;
  options.target = m_server.Endpoint();
  options.service = "orders";
  TargetGateway other(m_io, testing::Names(), options, m_observer);
  targets::TargetView view;
  view.accepting = true;
  view.slots = 2;
  other.SetTarget(view);
  std::optional<AttemptResult> result;
  other.Run(MakeAttempt(2),
            [&result](AttemptResult aResult) { result = std::move(aResult); });
  // A request takes about ten events; each may wait for a few of the endless
  // response, which also has the test's server on this thread.
  constexpr int kMaxEvents = 120;
  int events = 0;
  while (!result && events < kMaxEvents) {
    m_io.run_one_for(milliseconds(100));
    ++events;
  }
  ASSERT_TRUE(result);
  EXPECT_EQ(result->outcome, Outcome::kResponded);
}

// Guards against keeping a connection on which the target sends bytes that
// belong to no request: they would be taken for the next response.
TEST_F(TargetGatewayTest, BytesOnAnIdleConnectionCloseIt)
{
  http1::testing::EndlessServer server(
    m_io,
    { "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 1\r\n\r\nx",
      "garbage",
      milliseconds(20) });
  UseTarget(server.Endpoint());
  for (uint64_t id : { 1, 2 }) {
    m_results.clear();
    EXPECT_EQ(RunOne(MakeAttempt(id)).outcome, Outcome::kResponded);
    RunFor(100);
  }
  EXPECT_EQ(server.AcceptedConnections(), 2U);
}

// Guards against using a leaving target, and against excluding its successor.
TEST_F(TargetGatewayTest, ATargetThatIsLeavingGetsNoNewRequests)
{
  m_server.AddResponse(Ok("x", "Seal: s\r\nLeaving: 1\r\n"));
  EXPECT_EQ(RunOne(MakeAttempt(1)).outcome, Outcome::kResponded);
  EXPECT_FALSE(m_gateway->IsAccepting());
  ASSERT_EQ(m_observer.m_conditions.size(), 1U);
  EXPECT_TRUE(m_observer.m_conditions[0].leaving);
  // A heartbeat that doesn't know it yet.
  SetTarget(true);
  m_results.clear();
  const AttemptResult rejected = RunOne(MakeAttempt(2));
  EXPECT_EQ(rejected.outcome, Outcome::kNotRun);
  EXPECT_EQ(rejected.error.kind, ErrorKind::kDraining);
  EXPECT_EQ(m_server.Requests().size(), 1U);

  targets::TargetView next;
  next.run = { "t-1", 6 };
  next.accepting = true;
  next.slots = 2;
  m_gateway->SetTarget(next);
  EXPECT_TRUE(m_gateway->IsAccepting());
}

// Guards against applying the response of another run to the present one.
TEST_F(TargetGatewayTest, OnlyTheAddressedRunDescribesItsCondition)
{
  m_server.AddResponse("HTTP/1.1 421 No\r\nId: {id}\r\nLimit: 1\r\n"
                       "Leaving: 1\r\nContent-Length: 0\r\n\r\n");
  RunOne(MakeAttempt(1));
  m_results.clear();
  m_server.AddResponse(Ok("x", "Limit: 1\r\nLeaving: 1\r\n"));
  RunOne(MakeAttempt(2));
  EXPECT_TRUE(m_observer.m_conditions.empty());
  EXPECT_TRUE(m_gateway->IsAccepting());
  EXPECT_EQ(m_gateway->RequestsPerSecond(), std::nullopt);
}

} // namespace
} // namespace wagtailbend::exchange
