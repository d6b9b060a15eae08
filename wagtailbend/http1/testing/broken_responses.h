// Bytes that are no response by RFC 9112 and RFC 9110, for tests of everything
// that reads responses.
//
//   INSTANTIATE_TEST_SUITE_P(Table, MyTest,
//                            ::testing::ValuesIn(InvalidStatuses()));
//
// "{id}" stands for the value of the request's Id header, see ScriptedServer.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wagtailbend::http1::testing {

struct BrokenResponse
{
  std::string name;
  std::string bytes;
};

/// Returns a well-formed response with this status line and these header lines
/// in front of its own.
inline std::string
MakeResponseBytes(std::string_view aStatusLine,
                  std::string_view aHeaderLines = "")
{
  return std::string(aStatusLine) + "\r\n" + std::string(aHeaderLines) +
         "Id: {id}\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole";
}

/// Responses whose status line is malformed or whose status code is none.
inline std::vector<BrokenResponse>
InvalidStatuses()
{
  const std::string valid = MakeResponseBytes("HTTP/1.1 200 OK");
  return {
    { "Zero", MakeResponseBytes("HTTP/1.1 000 Nothing") },
    { "One", MakeResponseBytes("HTTP/1.1 001 Nothing") },
    { "JustBelowTheRange", MakeResponseBytes("HTTP/1.1 099 Nothing") },
    { "JustAboveTheRange", MakeResponseBytes("HTTP/1.1 600 Nothing") },
    { "Highest", MakeResponseBytes("HTTP/1.1 999 Nothing") },
    { "TwoDigits", MakeResponseBytes("HTTP/1.1 20 OK") },
    { "FourDigits", MakeResponseBytes("HTTP/1.1 2000 OK") },
    { "Letter", MakeResponseBytes("HTTP/1.1 2x0 OK") },
    { "Negative", MakeResponseBytes("HTTP/1.1 -20 OK") },
    { "None", MakeResponseBytes("HTTP/1.1  OK") },
    { "OtherVersion", MakeResponseBytes("HTTP/2.0 200 OK") },
    { "OtherProtocol", MakeResponseBytes("ICY 200 OK") },
    { "ControlByteInReason", MakeResponseBytes("HTTP/1.1 200 O\x01K") },
    { "ZeroBeforeAResponse", "HTTP/1.1 000 Nothing\r\n\r\n" + valid },
  };
}

} // namespace wagtailbend::http1::testing
