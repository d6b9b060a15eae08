// The cheapest caller that gRPC offers: a blocking unary call.
//
//   UnaryCaller caller(address);
//   bool ok = caller.Call("/association.Settlements/Lookup", "trip");

#pragma once

#include <memory>
#include <string>

#include <grpcpp/channel.h>

namespace wagtailbend::testing {

/// Not thread-safe: one thread, one caller, one connection.
class UnaryCaller
{
public:
  explicit UnaryCaller(const std::string& aAddress);

  /// Returns true if a response message arrived within 5 s.
  bool Call(const std::string& aMethod, const std::string& aKey);

private:
  std::shared_ptr<grpc::Channel> m_channel;
};

} // namespace wagtailbend::testing
