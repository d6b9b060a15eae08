#include "testing/fake_replies.h"

#include <memory>

#include <fmt/format.h>
#include <google/protobuf/message.h>
#include <schemas/association.pb.h>
#include <schemas/vukovic.pb.h>
#include <xxhash.h>

namespace wagtailbend::testing {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::MethodDescriptor;

std::unique_ptr<Message>
NewMessage(const Descriptor& aType)
{
  // Names the schemas, so that their generated code is linked.
  [[maybe_unused]] const void* used[] = {
    association::BalanceRequest::descriptor(),
    vukovic::StockRequest::descriptor(),
  };
  auto* factory = google::protobuf::MessageFactory::generated_factory();
  return std::unique_ptr<Message>(factory->GetPrototype(&aType)->New());
}

uint64_t
HashOf(const std::string& aKey, uint64_t aSeed)
{
  return XXH64(aKey.data(), aKey.size(), aSeed);
}

std::string
BytesFor(const std::string& aKey, uint32_t aPage, size_t aBytes)
{
  std::string bytes;
  bytes.reserve(aBytes + sizeof(uint64_t));
  for (uint64_t i = 0; bytes.size() < aBytes; ++i) {
    uint64_t word = HashOf(aKey, (uint64_t{ aPage } << 32) + i);
    bytes.append(reinterpret_cast<const char*>(&word), sizeof(word));
  }
  bytes.resize(aBytes);
  return bytes;
}

// The first text field repeats the key, others derive from it.
std::string
TextFor(const FieldDescriptor& aField, const std::string& aKey)
{
  return aField.number() == 1
           ? aKey
           : fmt::format("{}-{:x}",
                         aField.name(),
                         HashOf(aKey, static_cast<uint64_t>(aField.number())));
}

void
Fill(Message& aMessage,
     const FieldDescriptor& aField,
     const std::string& aKey,
     uint32_t aPage,
     size_t aPageBytes)
{
  const auto* reflection = aMessage.GetReflection();
  constexpr uint64_t kAmounts = 1000000;
  uint64_t amount = HashOf(aKey, 0) % kAmounts;
  switch (aField.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
      if (aField.is_repeated()) {
        reflection->AddString(&aMessage, &aField, aKey + "-1");
        reflection->AddString(&aMessage, &aField, aKey + "-2");
      } else if (aField.type() == FieldDescriptor::TYPE_BYTES) {
        reflection->SetString(
          &aMessage, &aField, BytesFor(aKey, aPage, aPageBytes));
      } else {
        reflection->SetString(&aMessage, &aField, TextFor(aField, aKey));
      }
      return;
    case FieldDescriptor::CPPTYPE_INT64:
      reflection->SetInt64(&aMessage, &aField, static_cast<int64_t>(amount));
      return;
    case FieldDescriptor::CPPTYPE_UINT32:
      reflection->SetUInt32(
        &aMessage,
        &aField,
        aField.name() == "page" ? aPage : static_cast<uint32_t>(amount));
      return;
    default:
      return;
  }
}

} // namespace

const MethodDescriptor*
FindMethod(std::string_view aPath)
{
  std::string name(aPath.substr(aPath.empty() ? 0 : 1));
  if (size_t slash = name.rfind('/'); slash != std::string::npos) {
    name[slash] = '.';
  }
  NewMessage(*association::BalanceRequest::descriptor());
  return google::protobuf::DescriptorPool::generated_pool()->FindMethodByName(
    name);
}

std::string
KeyOf(const MethodDescriptor& aMethod, const std::string& aRequest)
{
  auto request = NewMessage(*aMethod.input_type());
  const FieldDescriptor* field = aMethod.input_type()->FindFieldByNumber(1);
  if (!request->ParseFromString(aRequest)) {
    return "";
  }
  return request->GetReflection()->GetString(*request, field);
}

std::string
RequestFor(const MethodDescriptor& aMethod, const std::string& aKey)
{
  auto request = NewMessage(*aMethod.input_type());
  request->GetReflection()->SetString(
    request.get(), aMethod.input_type()->FindFieldByNumber(1), aKey);
  return request->SerializeAsString();
}

std::string
ReplyFor(const MethodDescriptor& aMethod,
         const std::string& aKey,
         uint32_t aPage,
         size_t aPageBytes)
{
  auto reply = NewMessage(*aMethod.output_type());
  for (int i = 0; i < aMethod.output_type()->field_count(); ++i) {
    Fill(*reply, *aMethod.output_type()->field(i), aKey, aPage, aPageBytes);
  }
  return reply->SerializeAsString();
}

} // namespace wagtailbend::testing
