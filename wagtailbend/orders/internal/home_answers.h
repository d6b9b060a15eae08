// Helpers shared by the source files of HomeTable.
//
//   return Reject(ErrorKind::kNotRun, "ticket expired");

#pragma once

#include "wagtailbend/orders/home_table.h"

namespace wagtailbend::orders::internal {

inline constexpr const char* kOtherPayload =
  "ticket was used for another payload";

/// Returns a decision that answers with an error. Thread-safe.
inline BeginDecision
Reject(ErrorKind aKind, const char* aDetail)
{
  return { BeginKind::kReject, nullptr, {}, { aKind, aDetail } };
}

} // namespace wagtailbend::orders::internal
