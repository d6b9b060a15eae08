#include "wagtailbend/http1/response_syntax.h"

namespace wagtailbend::http1 {
namespace {

// RFC 9110, section 15.
constexpr int kMinStatusCode = 100;
constexpr int kMaxStatusCode = 599;

} // namespace

bool
IsStatusCode(int aStatus)
{
  return aStatus >= kMinStatusCode && aStatus <= kMaxStatusCode;
}

} // namespace wagtailbend::http1
