#include "wagtailbend/load/message_factory.h"

#include <algorithm>

#include <google/protobuf/descriptor.pb.h>
#include <google/protobuf/message.h>

namespace wagtailbend::load {

namespace pb = google::protobuf;

MessageFactory::MessageFactory(std::string_view aDescriptorSet)
{
  pb::FileDescriptorSet set;
  set.ParseFromArray(aDescriptorSet.data(),
                     static_cast<int>(aDescriptorSet.size()));
  for (const pb::FileDescriptorProto& file : set.file()) {
    m_pool.BuildFile(file);
  }
}

std::string
MessageFactory::MakeRequest(std::string_view aPath, const std::string& aKey)
{
  const pb::Descriptor* type = FindMethod(aPath)->input_type();
  const std::unique_ptr<pb::Message> message(
    m_dynamicMessages.GetPrototype(type)->New());
  const pb::Reflection* reflection = message->GetReflection();
  for (int i = 0; i < type->field_count(); ++i) {
    const pb::FieldDescriptor* field = type->field(i);
    if (field->number() == 1) {
      reflection->SetString(message.get(), field, aKey);
    } else if (field->cpp_type() == pb::FieldDescriptor::CPPTYPE_INT64) {
      reflection->SetInt64(message.get(), field, 1);
    } else if (field->cpp_type() == pb::FieldDescriptor::CPPTYPE_UINT32) {
      reflection->SetUInt32(message.get(), field, 1);
    }
  }
  return message->SerializeAsString();
}

bool
MessageFactory::IsMatchingResponse(std::string_view aPath,
                                   const std::string& aKey,
                                   const std::vector<std::string>& aMessages)
{
  const pb::Descriptor* type = FindMethod(aPath)->output_type();
  const pb::FieldDescriptor* keyField = type->FindFieldByNumber(1);
  const pb::FieldDescriptor* pageField = type->FindFieldByName("page");
  const std::unique_ptr<pb::Message> message(
    m_dynamicMessages.GetPrototype(type)->New());
  const pb::Reflection* reflection = message->GetReflection();
  for (size_t i = 0; i < aMessages.size(); ++i) {
    if (!message->ParseFromString(aMessages[i]) ||
        reflection->GetString(*message, keyField) != aKey) {
      return false;
    }
    if (pageField && reflection->GetUInt32(*message, pageField) != i) {
      return false;
    }
  }
  return !aMessages.empty();
}

const pb::MethodDescriptor*
MessageFactory::FindMethod(std::string_view aPath)
{
  std::string name(aPath.substr(1));
  std::replace(name.begin(), name.end(), '/', '.');
  return m_pool.FindMethodByName(name);
}

} // namespace wagtailbend::load
