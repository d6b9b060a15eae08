// What a response is by RFC 9112 and RFC 9110, for everything that reads
// responses.
//
//   if (!IsFinalResponse(result.response)) {
//     // What the peer sent is no response.
//   }
//
// ResponseParser applies these rules to bytes.

#pragma once

#include <string_view>

#include "wagtailbend/http1/message.h"

namespace wagtailbend::http1 {

/// Returns whether aStatus is a status code of HTTP: 100 to 599. Thread-safe.
bool
IsStatusCode(int aStatus);

/// Returns whether one of aLines, which end with CRLF, begins with a blank or a
/// tab. Such a line is obsolete line folding, which a gateway may reject (RFC
/// 9112, section 5.2): recipients disagree on whether it continues the line
/// before or is a header of its own. Thread-safe.
bool
HasFoldedLine(std::string_view aLines);

/// Returns whether aResponse, which was not parsed from HTTP, can be sent as
/// the final response to a request: its status code is not an interim one,
/// header names are tokens, and values and the reason have no control bytes but
/// tabs. Thread-safe.
bool
IsFinalResponse(const ResponseMessage& aResponse);

} // namespace wagtailbend::http1
