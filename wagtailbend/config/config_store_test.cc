#include "wagtailbend/config/config_store.h"

#include <thread>
#include <utility>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "wagtailbend/config/config_test_util.h"

namespace wagtailbend::config {
namespace {

using testing::SizeIs;
using testing_fakes::FaultKind;
using testing_fakes::Faults;
using testing_fakes::InMemoryPlatform;
using testing_fakes::Operation;

const std::string&
OutcomeName(const AcceptResult& aResult)
{
  static const std::string kNames[] = {
    "accepted", "lost", "unknown", "error"
  };
  return kNames[aResult.index()];
}

// Guards against an accepted change that is missing from the head, the body
// objects or the history.
TEST(ConfigStoreTest, AcceptedChangeIsReadBack)
{
  InMemoryPlatform platform;
  ConfigStore store(platform);
  EXPECT_EQ(GetValue(store.ReadHead()), std::nullopt);
  const ConfigVersion first{ 1, "c1", ComputeDigest(BodyA()) };
  EXPECT_EQ(store.Accept({ "c1", BodyA() }), AcceptResult(Accepted{ first }));
  const ConfigVersion second{ 2, "c2", ComputeDigest(BodyB()) };
  EXPECT_EQ(store.Accept({ "c2", BodyB() }), AcceptResult(Accepted{ second }));
  // A rollback is a new, higher version with an older body.
  const ConfigVersion third{ 3, "c3", ComputeDigest(BodyA()) };
  EXPECT_EQ(store.Accept({ "c3", BodyA() }), AcceptResult(Accepted{ third }));
  EXPECT_EQ(GetValue(store.ReadHead()), third);
  EXPECT_EQ(GetValue(store.ReadBody(third.digest)), BodyA());
  EXPECT_EQ(GetValue(store.History()),
            (std::vector<ConfigVersion>{ first, second, third }));
}

// Guards against a change that is applied twice because it was submitted twice.
TEST(ConfigStoreTest, SameChangeIdIsAcceptedOnce)
{
  InMemoryPlatform platform;
  ConfigStore store(platform);
  const AcceptResult first = store.Accept({ "c1", BodyA() });
  EXPECT_EQ(store.Accept({ "c1", BodyA() }), first);
  store.Accept({ "c2", BodyB() });
  EXPECT_EQ(store.Accept({ "c1", BodyA() }), first);
  EXPECT_EQ(store.Accept({ "c1", BodyA(), 0 }), first);
  const AcceptResult other = store.Accept({ "c1", BodyB() });
  ASSERT_EQ(OutcomeName(other), "error");
  EXPECT_EQ(std::get<Error>(other).kind, ErrorKind::kInvalidRequest);
  EXPECT_THAT(GetValue(store.History()), SizeIs(2));
}

// Guards against an invalid change, or one based on an old version, that
// replaces the head.
TEST(ConfigStoreTest, StaleBaseAndWrongBodyChangeNothing)
{
  InMemoryPlatform platform;
  ConfigStore store(platform);
  store.Accept({ "c1", BodyA() });
  const ConfigVersion head = *GetValue(store.ReadHead());
  EXPECT_EQ(store.Accept({ "c2", BodyB(), 0 }), AcceptResult(LostRace{ head }));
  EXPECT_EQ(OutcomeName(store.Accept({ "c3", "not a schema" })), "error");
  EXPECT_EQ(OutcomeName(store.Accept({ "", BodyA() })), "error");
  EXPECT_EQ(GetValue(store.ReadHead()), head);
}

struct FaultCase
{
  const char* name;
  Faults faults;
  const char* outcome;
  /// Accepted versions after the fault. The retry is accepted in every case.
  size_t historyAfter;
};

class ConfigStoreFaultTest : public testing::TestWithParam<FaultCase>
{};

// Guards against reporting an accepted change as failed or a failed one as
// accepted, and against a retry that is applied twice, for a fault at each
// step.
TEST_P(ConfigStoreFaultTest, OutcomeIsCorrectAndRetryIsAccepted)
{
  InMemoryPlatform platform([](Duration) {});
  ConfigStore store(platform);
  platform.SetFaults(GetParam().faults);
  const AcceptResult result = store.Accept({ "c1", BodyA() });
  EXPECT_EQ(OutcomeName(result), GetParam().outcome);
  platform.SetFaults({});
  EXPECT_THAT(GetValue(store.History()), SizeIs(GetParam().historyAfter));
  EXPECT_EQ(OutcomeName(store.Accept({ "c1", BodyA() })), "accepted");
  EXPECT_THAT(GetValue(store.History()), SizeIs(1));
}

constexpr auto kDown = FaultKind::kDown;
constexpr auto kLostReply = FaultKind::kReplyLost;
constexpr auto kLostRequest = FaultKind::kRequestLost;

INSTANTIATE_TEST_SUITE_P(
  Steps,
  ConfigStoreFaultTest,
  testing::Values(
    FaultCase{ "Down", { .kind = kDown }, "error", 0 },
    FaultCase{ "Slow", { .delay = std::chrono::seconds(5) }, "accepted", 1 },
    FaultCase{ "DownAtHead",
               { .kind = kDown, .operations = { Operation::kReadRow } },
               "error",
               0 },
    FaultCase{ "DownAtBody",
               { .kind = kDown, .operations = { Operation::kPutObject } },
               "error",
               0 },
    FaultCase{ "DownAtCommit",
               { .kind = kDown, .operations = { Operation::kTransact } },
               "error",
               0 },
    FaultCase{ "BodyReplyLost",
               { .kind = kLostReply,
                 .operations = { Operation::kPutObject },
                 .limit = 1 },
               "accepted",
               1 },
    FaultCase{ "CommitReplyLost",
               { .kind = kLostReply, .operations = { Operation::kTransact } },
               "accepted",
               1 },
    FaultCase{ "CommitRequestLostOnce",
               { .kind = kLostRequest,
                 .operations = { Operation::kTransact },
                 .limit = 1 },
               "accepted",
               1 },
    FaultCase{ "CommitRequestsLost",
               { .kind = kLostRequest, .operations = { Operation::kTransact } },
               "unknown",
               0 },
    // Accept reads the head, stores the body, commits and reads the outcome;
    // skip = 2 injects the fault from the commit on.
    FaultCase{ "ReplyLostThenDown",
               { .kind = kLostReply, .skip = 2 },
               "unknown",
               1 },
    FaultCase{ "RequestLostThenDown",
               { .kind = kLostRequest, .skip = 2 },
               "unknown",
               0 }),
  [](const auto& aInfo) { return aInfo.param.name; });

// Delays the first transaction until Deliver is called and refuses later ones.
class DelayedThenRefused : public InMemoryPlatform
{
public:
  store::TransactResult Transact(
    const store::TransactRequest& aRequest) override
  {
    if (!std::exchange(m_isFirst, false)) {
      return store::Refused{ { ErrorKind::kPlatformUnavailable, "down" } };
    }
    m_inFlight = aRequest;
    return store::Unknown{ "no reply" };
  }
  void Deliver() { InMemoryPlatform::Transact(m_inFlight); }

private:
  bool m_isFirst = true;
  store::TransactRequest m_inFlight;
};

// Guards against taking a refused retry as proof that the first transaction,
// which is applied later, was not accepted.
TEST(ConfigStoreTest, RefusedRetryLeavesTheOutcomeUnknown)
{
  DelayedThenRefused platform;
  ConfigStore store(platform);
  EXPECT_EQ(OutcomeName(store.Accept({ "c1", BodyA() })), "unknown");
  platform.Deliver();
  EXPECT_EQ(OutcomeName(store.Accept({ "c1", BodyA() })), "accepted");
  EXPECT_THAT(GetValue(store.History()), SizeIs(1));
}

// Guards against returning a body whose content does not match its digest.
TEST(ConfigStoreTest, CorruptedBodyIsNotReturned)
{
  InMemoryPlatform platform;
  ConfigStore store(platform);
  const std::string digest = ComputeDigest(BodyA());
  EXPECT_EQ(GetError(store.ReadBody(digest))->kind, ErrorKind::kNotFound);
  platform.PutObject(digest, BodyA() + "x");
  EXPECT_EQ(GetError(store.ReadBody(digest))->kind, ErrorKind::kInternal);
}

// Guards against two accepted changes with the same version when operators
// submit changes concurrently.
TEST(ConfigStoreTest, RacingOperatorsHaveOneWinnerPerVersion)
{
  InMemoryPlatform platform;
  platform.SetFaults({ .delay = std::chrono::microseconds(200) });
  constexpr int kOperators = 8;
  std::vector<AcceptResult> results(kOperators, OutcomeUnknown{});
  std::vector<std::thread> threads;
  threads.reserve(kOperators);
  for (int i = 0; i < kOperators; ++i) {
    threads.emplace_back([&, i] {
      results[i] = ConfigStore(platform).Accept(
        { "c" + std::to_string(i), i % 2 ? BodyA() : BodyB(), 0 });
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  platform.SetFaults({});
  const auto history = GetValue(ConfigStore(platform).History());
  ASSERT_THAT(history, SizeIs(1));
  int accepted = 0;
  for (const auto& result : results) {
    if (const auto* lost = std::get_if<LostRace>(&result)) {
      EXPECT_EQ(lost->winner, history[0]);
      continue;
    }
    ASSERT_EQ(OutcomeName(result), "accepted");
    EXPECT_EQ(std::get<Accepted>(result).version, history[0]);
    ++accepted;
  }
  EXPECT_EQ(accepted, 1);
}

} // namespace
} // namespace wagtailbend::config
