// Builds request messages by reflection and recognizes the response that
// belongs to a request. Both schemas echo the first field of a request in the
// first field of each response message.
//
//   MessageFactory factory(GetValue(compiled).descriptorSet);
//   std::string payload = factory.MakeRequest("/association.Balances/Check",
//   "d-7"); bool own = factory.IsOwnResponse("/association.Balances/Check",
//   "d-7", messages);

#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <google/protobuf/descriptor.h>
#include <google/protobuf/dynamic_message.h>

namespace wagtailbend::load {

/// Thread-safe after construction.
class MessageFactory
{
public:
  /// aDescriptorSet: serialized FileDescriptorSet of a valid schema.
  explicit MessageFactory(std::string_view aDescriptorSet);

  /// Returns a request whose first field is aKey. Precondition: the schema has
  /// the method aPath.
  std::string MakeRequest(std::string_view aPath, const std::string& aKey);

  /// True if every message parses and has aKey in its first field, and the
  /// messages are numbered without a gap where they have a field `page`.
  bool IsOwnResponse(std::string_view aPath,
                     const std::string& aKey,
                     const std::vector<std::string>& aMessages);

private:
  const google::protobuf::MethodDescriptor* FindMethod(std::string_view aPath);

  google::protobuf::DescriptorPool m_pool;
  google::protobuf::DynamicMessageFactory m_messages{ &m_pool };
};

} // namespace wagtailbend::load
