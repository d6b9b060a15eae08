// The operators' service.
//
//   AdminService admin(control, hooks);
//   builder.RegisterService(&admin);

#pragma once

#include <functional>
#include <optional>
#include <string>

#include <asio/io_context.hpp>

#include "wagtailbend/admin.grpc.pb.h"
#include "wagtailbend/base/error.h"

namespace wagtailbend::daemon {

/// Called on the control thread.
struct AdminHooks
{
  std::function<void(admin::StatusReply&)> status;
  /// Returns the version in force afterwards.
  std::function<uint64_t(const admin::PushConfigRequest&)> push;
  /// Starts a graceful stop. Returns false if it had started before.
  std::function<bool()> drain;
  /// Says what this daemon knows about an order. Returns kInvalidRequest for a
  /// malformed ticket.
  std::function<std::optional<Error>(const std::string& aTicket,
                                     admin::LookupOrderReply& aReply)>
    order;
};

/// Answers on the control thread, which must run until the server has shut
/// down. Thread-safe.
class AdminService final : public admin::Admin::CallbackService
{
public:
  AdminService(asio::io_context& aControl, AdminHooks aHooks)
    : m_control(aControl)
    , m_hooks(std::move(aHooks))
  {
  }

  grpc::ServerUnaryReactor* Status(grpc::CallbackServerContext* aCall,
                                   const admin::StatusRequest* aRequest,
                                   admin::StatusReply* aReply) override;
  grpc::ServerUnaryReactor* PushConfig(grpc::CallbackServerContext* aCall,
                                       const admin::PushConfigRequest* aRequest,
                                       admin::PushConfigReply* aReply) override;
  grpc::ServerUnaryReactor* Drain(grpc::CallbackServerContext* aCall,
                                  const admin::DrainRequest* aRequest,
                                  admin::DrainReply* aReply) override;
  grpc::ServerUnaryReactor* LookupOrder(
    grpc::CallbackServerContext* aCall,
    const admin::LookupOrderRequest* aRequest,
    admin::LookupOrderReply* aReply) override;

private:
  asio::io_context& m_control;
  AdminHooks m_hooks;
};

} // namespace wagtailbend::daemon
