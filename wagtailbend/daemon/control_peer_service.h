// The part of the Peer service that concerns configuration and summaries.
//
//   ControlPeerService service(control, config, summaries);
//   builder.RegisterService(&service);

#pragma once

#include <asio/io_context.hpp>

#include "wagtailbend/daemon/config_runner.h"
#include "wagtailbend/daemon/summary_controller.h"
#include "wagtailbend/peer.grpc.pb.h"

namespace wagtailbend::daemon {

/// Answers on the control thread, which must run until the server has shut
/// down. Thread-safe.
class ControlPeerService : public peer::Peer::CallbackService
{
public:
  ControlPeerService(asio::io_context& aControl,
                     ConfigRunner& aConfig,
                     SummaryController& aSummaries)
    : m_control(aControl)
    , m_config(aConfig)
    , m_summaries(aSummaries)
  {
  }

  /// Not found if the version in force is lower than the one asked for.
  grpc::ServerUnaryReactor* FetchConfig(
    grpc::CallbackServerContext* aCall,
    const peer::FetchConfigRequest* aRequest,
    peer::FetchConfigReply* aReply) override;
  grpc::ServerUnaryReactor* ExchangeSummary(
    grpc::CallbackServerContext* aCall,
    const peer::ExchangeSummaryRequest* aRequest,
    peer::ExchangeSummaryReply* aReply) override;
  grpc::ServerUnaryReactor* Probe(grpc::CallbackServerContext* aCall,
                                  const peer::ProbeRequest* aRequest,
                                  peer::ProbeReply* aReply) override;

private:
  asio::io_context& m_control;
  ConfigRunner& m_config;
  SummaryController& m_summaries;
};

} // namespace wagtailbend::daemon
