// What the request path and the gRPC services use to run orders at most once.

#pragma once

#include <memory>

#include "wagtailbend/daemon/home_directory.h"
#include "wagtailbend/daemon/key_claims.h"
#include "wagtailbend/daemon/order_book.h"

namespace wagtailbend::daemon {

/// Shared by all traffic threads; each part is thread-safe.
struct OrderParts
{
  explicit OrderParts(DaemonId aSelf)
    : book(std::move(aSelf))
  {
  }

  OrderBook book;
  HomeDirectory homes;
  /// Null without a platform: orders with an idempotency key are rejected.
  std::unique_ptr<KeyClaims> claims;
};

} // namespace wagtailbend::daemon
