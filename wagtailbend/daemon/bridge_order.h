// The part that a Bridge takes in an order that runs at most once.

#pragma once

#include <optional>

#include "wagtailbend/daemon/routing_snapshot.h"
#include "wagtailbend/orders/home_table.h"

namespace wagtailbend::daemon {

enum class OrderRole : uint8_t
{
  /// Not an order.
  kNone,
  /// Its home is not known yet, or is this daemon.
  kEntry,
  /// Passed on to its home.
  kRelay,
  /// Granted by its home to this daemon, whose target runs it.
  kExecutor,
};

struct OrderProgress
{
  OrderRole role = OrderRole::kNone;
  /// Empty until an idempotency key was resolved.
  std::optional<orders::Ticket> ticket;
  /// This daemon is the home and waits for the outcome of this grant.
  std::optional<orders::Grant> grant;
  /// The run state was reported by the target or by the home, or by the table
  /// of this daemon: it needs no confirmation.
  bool settled = false;
  /// The home, with role kRelay.
  Destination home;
};

} // namespace wagtailbend::daemon
