// Builds request messages by reflection and checks that a response belongs to
// its request. In both schemas (association and vukovic), the first field of
// each response message echoes the first field of the request.
//
//   MessageFactory factory(GetValue(compiled).descriptorSet);
//   const char* path = "/association.Balances/Check";
//   std::string payload = factory.MakeRequest(path, "d-7");
//   bool matches = factory.IsMatchingResponse(path, "d-7", messages);

#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <google/protobuf/descriptor.h>
#include <google/protobuf/dynamic_message.h>

namespace wagtailbend::load {

/// Creates requests and validates responses of a schema. Thread-safe after
/// construction.
class MessageFactory
{
public:
  /// aDescriptorSet is the serialized FileDescriptorSet of a valid schema.
  explicit MessageFactory(std::string_view aDescriptorSet);

  /// Returns a serialized request whose first field is aKey and whose int64 and
  /// uint32 fields are 1. Precondition: the schema declares the method aPath.
  std::string MakeRequest(std::string_view aPath, const std::string& aKey);

  /// Returns true if there is at least one message, every message parses and
  /// has aKey in its first field, and any field `page` counts up from 0 without
  /// gaps. Precondition: the schema declares the method aPath.
  bool IsMatchingResponse(std::string_view aPath,
                          const std::string& aKey,
                          const std::vector<std::string>& aMessages);

private:
  const google::protobuf::MethodDescriptor* FindMethod(std::string_view aPath);

  google::protobuf::DescriptorPool m_pool;
  google::protobuf::DynamicMessageFactory m_dynamicMessages{ &m_pool };
};

} // namespace wagtailbend::load
