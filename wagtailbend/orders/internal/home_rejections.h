// Helpers shared by the source files of HomeTable.
//
//   return MakeRejection(ErrorKind::kNotRun, "ticket expired");

#pragma once

#include "wagtailbend/orders/home_table.h"

namespace wagtailbend::orders::internal {

inline constexpr const char* kPayloadMismatchDetail =
  "ticket was already used for a different payload";

/// Returns a decision to reject the order with an error. Thread-safe.
inline BeginDecision
MakeRejection(ErrorKind aKind, const char* aDetail)
{
  return { BeginKind::kReject, nullptr, {}, { aKind, aDetail } };
}

} // namespace wagtailbend::orders::internal
