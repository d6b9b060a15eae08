#include "wagtailbend/orders/idempotency_key_claimer.h"

#include <gtest/gtest.h>

namespace wagtailbend::orders {
namespace {

constexpr TimePoint kNow{};
constexpr TimePoint kDeadline = kNow + std::chrono::seconds(2);
const Ticket kLocalTicket{ { "home", 1 }, 0, 0 };
const Ticket kPeerTicket{ { "other", 1 }, 0, 0 };

// In-memory table service with conditional inserts.
class FakeTable
{
public:
  ClaimResult Apply(const ClaimRequest& aRequest)
  {
    ClaimsConflict conflict;
    if (const auto* read = std::get_if<ReadClaims>(&aRequest)) {
      ClaimsRead result;
      for (const std::string& key : read->keys) {
        if (m_rows.contains(key)) {
          result.rows.push_back({ key, m_rows.at(key) });
        }
      }
      return result;
    }
    const auto& insert = std::get<InsertClaims>(aRequest);
    for (const ClaimRow& row : insert.rows) {
      if (m_rows.contains(row.key)) {
        conflict.rows.push_back({ row.key, m_rows.at(row.key) });
      }
    }
    if (!conflict.rows.empty()) {
      return conflict;
    }
    for (const ClaimRow& row : insert.rows) {
      m_rows.emplace(row.key, row.value);
    }
    return ClaimsCommitted{};
  }

  std::map<std::string, ClaimValue> m_rows;
};

struct Case
{
  const char* fault;
  bool claimedBefore;
  // Fate of each request. o: succeeds; l: takes effect, but its response is
  // lost; d: is lost before it takes effect; s: takes effect only at the end.
  const char* requests;
  ClaimOutcome outcome;
};

// Applies the faults of aCase to the requests for the claim of "key".
std::vector<ClaimResolution>
ClaimThroughFaults(const Case& aCase,
                   FakeTable& aStore,
                   IdempotencyKeyClaimer& aClaimer)
{
  std::optional<ClaimRequest> delayed;
  std::vector<ClaimResolution> resolutions;
  for (const char step : std::string_view(aCase.requests)) {
    EXPECT_TRUE(resolutions.empty());
    const auto request = aClaimer.NextRequest();
    if (!request) {
      ADD_FAILURE() << "no request for step " << step;
      break;
    }
    ClaimResult result = ClaimsUnknown{};
    if (step == 'o' || step == 'l') {
      result = aStore.Apply(*request);
    } else if (step == 's') {
      delayed = request;
    }
    if (step != 'o') {
      result = ClaimsUnknown{};
    }
    const uint64_t id =
      std::visit([](const auto& aRequest) { return aRequest.id; }, *request);
    resolutions = aClaimer.OnResult(id, result, kNow);
    // A duplicate result is ignored.
    EXPECT_TRUE(aClaimer.OnResult(id, ClaimsCommitted{}, kNow).empty());
  }
  if (delayed) {
    EXPECT_TRUE(std::holds_alternative<ClaimsConflict>(aStore.Apply(*delayed)));
  }
  return resolutions;
}

// Guards against an order being lost, run by two homes, or reported as
// unavailable although its claim was resolved, when requests or responses are
// lost or delayed.
TEST(IdempotencyKeyClaimer, FaultCases)
{
  const std::vector<Case> cases = {
    { "none", false, "o", ClaimOutcome::kClaimed },
    { "key claimed by another daemon",
      true,
      "o",
      ClaimOutcome::kAlreadyClaimed },
    { "response lost after the write", false, "lo", ClaimOutcome::kClaimed },
    { "write lost", false, "doo", ClaimOutcome::kClaimed },
    { "response lost, then conflict",
      true,
      "lo",
      ClaimOutcome::kAlreadyClaimed },
    { "write lost twice", false, "dodoo", ClaimOutcome::kClaimed },
    { "write delayed past its retry", false, "soo", ClaimOutcome::kClaimed },
    { "store down", false, "dd", ClaimOutcome::kUnavailable },
    { "store down after the write", false, "ll", ClaimOutcome::kUnavailable },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.fault);
    FakeTable store;
    if (testCase.claimedBefore) {
      store.m_rows["key"] = { kPeerTicket, 9 };
    }
    Rng rng(1);
    IdempotencyKeyClaimer claimer;
    ASSERT_TRUE(IsOk(claimer.Add("key", kLocalTicket, kDeadline, rng)));
    const Ticket ticket = testCase.claimedBefore ? kPeerTicket : kLocalTicket;
    EXPECT_EQ(
      ClaimThroughFaults(testCase, store, claimer),
      (std::vector<ClaimResolution>{ { "key", ticket, testCase.outcome } }));
    EXPECT_EQ(claimer.PendingCount(), 0U);
  }
}

// Guards against two daemons holding the same key, and against a conflict on
// one key failing the other claims of its batch.
TEST(IdempotencyKeyClaimer, TwoDaemonsClaimTheSameKeys)
{
  FakeTable store;
  Rng rng(1);
  IdempotencyKeyClaimer first;
  IdempotencyKeyClaimer second;
  ASSERT_TRUE(IsOk(first.Add("shared", kLocalTicket, kDeadline, rng)));
  ASSERT_TRUE(IsOk(second.Add("shared", kPeerTicket, kDeadline, rng)));
  ASSERT_TRUE(
    IsOk(second.Add("own", { { "other", 1 }, 0, 1 }, kDeadline, rng)));
  const auto fromFirst = first.NextRequest();
  const auto fromSecond = second.NextRequest();
  EXPECT_EQ(first.OnResult(1, store.Apply(*fromFirst), kNow),
            (std::vector<ClaimResolution>{
              { "shared", kLocalTicket, ClaimOutcome::kClaimed } }));
  EXPECT_EQ(second.OnResult(1, store.Apply(*fromSecond), kNow),
            (std::vector<ClaimResolution>{
              { "shared", kLocalTicket, ClaimOutcome::kAlreadyClaimed } }));
  const auto rest = second.NextRequest();
  EXPECT_EQ(second.OnResult(2, store.Apply(*rest), kNow),
            (std::vector<ClaimResolution>{
              { "own", { { "other", 1 }, 0, 1 }, ClaimOutcome::kClaimed } }));
}

// Guards against a slow store delaying an order past its deadline, and against
// a late result resolving a later claim of the same key.
TEST(IdempotencyKeyClaimer, ClaimExpiresAtDeadlineIfStoreIsSlow)
{
  FakeTable store;
  Rng rng(1);
  IdempotencyKeyClaimer claimer;
  ASSERT_TRUE(IsOk(claimer.Add("key", kLocalTicket, kDeadline, rng)));
  EXPECT_EQ(GetError(claimer.Add("key", kLocalTicket, kDeadline, rng))->kind,
            ErrorKind::kConflict);
  const auto request = claimer.NextRequest();
  EXPECT_EQ(claimer.Expire(kDeadline),
            (std::vector<ClaimResolution>{
              { "key", kLocalTicket, ClaimOutcome::kUnavailable } }));
  const Ticket later{ { "home", 1 }, 0, 1 };
  ASSERT_TRUE(
    IsOk(claimer.Add("key", later, kDeadline + std::chrono::seconds(2), rng)));
  EXPECT_TRUE(claimer.OnResult(1, store.Apply(*request), kDeadline).empty());
  const auto retry = claimer.NextRequest();
  EXPECT_EQ(claimer.OnResult(2, store.Apply(*retry), kDeadline),
            (std::vector<ClaimResolution>{
              { "key", kLocalTicket, ClaimOutcome::kAlreadyClaimed } }));
}

// Guards against unbounded numbers of claims, requests and rows per request.
TEST(IdempotencyKeyClaimer, LimitsHold)
{
  Rng rng(1);
  IdempotencyKeyClaimer claimer({ 2, 1, 3 });
  for (const char* key : { "a", "b", "c" }) {
    ASSERT_TRUE(IsOk(claimer.Add(key, kLocalTicket, kDeadline, rng)));
  }
  EXPECT_EQ(GetError(claimer.Add("d", kLocalTicket, kDeadline, rng))->kind,
            ErrorKind::kOverloaded);
  const auto request = claimer.NextRequest();
  EXPECT_EQ(std::get<InsertClaims>(*request).rows.size(), 2U);
  EXPECT_FALSE(claimer.NextRequest().has_value());
}

// Guards against a stored row being altered by formatting and parsing, and
// against a row without a nonce being accepted.
TEST(ClaimValue, TextFormRoundTrips)
{
  const ClaimValue value{ kLocalTicket, 0x1234 };
  EXPECT_EQ(ClaimValue::Parse(value.ToString()), value);
  EXPECT_EQ(ClaimValue::Parse(kLocalTicket.ToString()), std::nullopt);
}

} // namespace
} // namespace wagtailbend::orders
