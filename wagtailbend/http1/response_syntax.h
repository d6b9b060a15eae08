// What a response is by RFC 9112 and RFC 9110, for everything that reads
// responses.
//
//   if (!IsStatusCode(status)) {
//     // The bytes received are no response.
//   }

#pragma once

namespace wagtailbend::http1 {

/// Returns whether aStatus is a status code of HTTP: 100 to 599. Thread-safe.
bool
IsStatusCode(int aStatus);

} // namespace wagtailbend::http1
