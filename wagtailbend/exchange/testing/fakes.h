// Fakes for tests that use a TargetGateway.

#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wagtailbend/exchange/target_gateway.h"
#include "wagtailbend/http1/protocol_names.h"

namespace wagtailbend::exchange::testing {

/// Short header names, so that tests can tell header names from values.
inline http1::ProtocolNames
Names()
{
  return { .requestId = "Id",
           .deadlineMs = "Deadline",
           .expectedTarget = "Expected",
           .callerService = "Caller",
           .responseSignature = "Seal",
           .notRun = "Not-Run",
           .targetId = "Target",
           .requestRateLimit = "Limit",
           .targetLeaving = "Leaving" };
}

/// Allows all runs except those of one blocked fingerprint.
class FakeGatewayObserver : public GatewayObserver
{
public:
  void OnTargetCrashed(const std::vector<uint64_t>& aFingerprints) override
  {
    m_crashedFingerprints = aFingerprints;
  }
  RunPermission BeginRun(const Attempt& aAttempt) override
  {
    return aAttempt.fingerprint == m_blockedFingerprint ? m_blockedPermission
                                                        : RunPermission::kRun;
  }
  bool MayResend(uint64_t aFingerprint) override
  {
    return aFingerprint != m_blockedFingerprint;
  }
  bool TryTakeRetry(const Attempt&) override { return m_allowedRetries-- > 0; }
  void OnAttemptLost(const Attempt&, bool aKeptConnection) override
  {
    m_lostOnKeptConnection.push_back(aKeptConnection);
  }
  void OnInvalidResponse(const Attempt&,
                         const http1::NoResponse& aFailure) override
  {
    m_invalidResponses.push_back(aFailure.reason);
  }
  void OnTargetCondition(const targets::TargetRun&,
                         const targets::TargetNotice& aState) override
  {
    m_conditions.push_back(aState);
  }
  void EndRun(uint64_t, bool) override {}
  std::array<double, gate::kPriorityClasses> DownstreamAdmissionLevels(
    const std::string&) override
  {
    return m_downstreamLevels;
  }

  std::vector<uint64_t> m_crashedFingerprints;
  std::vector<bool> m_lostOnKeptConnection;
  std::vector<http1::FailureReason> m_invalidResponses;
  std::vector<targets::TargetNotice> m_conditions;
  std::optional<uint64_t> m_blockedFingerprint;
  RunPermission m_blockedPermission = RunPermission::kReject;
  /// Number of retries that are still allowed.
  int m_allowedRetries = 0;
  std::array<double, gate::kPriorityClasses> m_downstreamLevels{ 1, 1, 1, 1 };
};

} // namespace wagtailbend::exchange::testing
