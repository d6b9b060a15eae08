// What a response is by RFC 9112 and RFC 9110, for everything that reads
// responses.
//
//   if (!IsStatusCode(status)) {
//     // The bytes received are no response.
//   }

#pragma once

#include <string_view>

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

} // namespace wagtailbend::http1
