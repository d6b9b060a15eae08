#include "wagtailbend/daemon/metadata.h"

#include <charconv>

#include <fmt/format.h>

namespace wagtailbend::daemon {

std::string_view
FindMetadata(const MetadataMap& aMetadata, const char* aKey)
{
  auto found = aMetadata.find(aKey);
  if (found == aMetadata.end()) {
    return {};
  }
  return { found->second.data(), found->second.size() };
}

uint32_t
ParseNumber(std::string_view aText, uint32_t aDefault)
{
  uint32_t value = 0;
  const char* end = aText.data() + aText.size();
  auto [parsed, code] = std::from_chars(aText.data(), end, value);
  return aText.empty() || code != std::errc{} || parsed != end ? aDefault
                                                               : value;
}

grpc::Status
StatusOf(const Error& aError)
{
  const ErrorResponse& answer = ErrorResponseFor(aError.kind);
  return { static_cast<grpc::StatusCode>(answer.grpcCode),
           fmt::format("{}: {}", answer.name, aError.detail) };
}

} // namespace wagtailbend::daemon
