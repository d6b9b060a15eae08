// Valid replies for every method of both schemas, computed from the request's
// key field, so that a caller can verify a response without any state.
//
//   const Method* method = Find("/association.Balances/Check");
//   std::string reply = ReplyFor(*method, "somchai", 0);

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <google/protobuf/descriptor.h>

namespace wagtailbend::testing {

/// Returns the method with gRPC path aPath, or nullptr. Thread-safe.
const google::protobuf::MethodDescriptor*
FindMethod(std::string_view aPath);

/// Returns the first text field of a serialized request of aMethod; "" if the
/// request is not valid. Thread-safe.
std::string
KeyOf(const google::protobuf::MethodDescriptor& aMethod,
      const std::string& aRequest);

/// Returns a serialized request of aMethod for aKey. Thread-safe.
std::string
RequestFor(const google::protobuf::MethodDescriptor& aMethod,
           const std::string& aKey);

/// Returns page aPage of the response to aKey, serialized; aPageBytes is the
/// size of a bytes field. Thread-safe.
std::string
ReplyFor(const google::protobuf::MethodDescriptor& aMethod,
         const std::string& aKey,
         uint32_t aPage,
         size_t aPageBytes);

} // namespace wagtailbend::testing
