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

/// Responses with a header line that RFC 9112 doesn't allow.
inline std::vector<BrokenResponse>
InvalidHeaderLines()
{
  using std::string_literals::operator""s;
  constexpr std::string_view kOk = "HTTP/1.1 200 OK";
  const std::string valid = MakeResponseBytes(kOk);
  return {
    { "BlankInName", MakeResponseBytes(kOk, "A B: x\r\n") },
    { "TabInName", MakeResponseBytes(kOk, "A\tB: x\r\n") },
    { "NulInName", MakeResponseBytes(kOk, "A\0B: x\r\n"s) },
    { "ControlByteInName", MakeResponseBytes(kOk, "A\x01: x\r\n") },
    { "DeleteInName", MakeResponseBytes(kOk, "A\x7f: x\r\n") },
    { "LineFeedInName", MakeResponseBytes(kOk, "A\nB: x\r\n") },
    { "NonAsciiName", MakeResponseBytes(kOk, "A\xe9: x\r\n") },
    { "BlankBeforeColon", MakeResponseBytes(kOk, "A : x\r\n") },
    { "TabBeforeColon", MakeResponseBytes(kOk, "A\t: x\r\n") },
    { "NoName", MakeResponseBytes(kOk, ": x\r\n") },
    { "NoColon", MakeResponseBytes(kOk, "A\r\n") },
    { "BlankBeforeFirstLine", MakeResponseBytes(kOk, " A: x\r\n") },
    { "BlankBeforeLine", MakeResponseBytes(kOk, "X: y\r\n A: x\r\n") },
    { "TabBeforeLine", MakeResponseBytes(kOk, "X: y\r\n\tA: x\r\n") },
    { "BlankBeforeLineAfterEmptyValue",
      MakeResponseBytes(kOk, "X:\r\n A: x\r\n") },
    { "LineOfBlanks", MakeResponseBytes(kOk, "X: y\r\n \r\n") },
    { "BlankBeforeLength",
      "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\n Content-Length: 5\r\n"
      "\r\nwhole" },
    { "BlankBeforeTransferEncoding",
      "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\n Transfer-Encoding: chunked"
      "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" },
    { "BlankBeforeLastLine",
      "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 5\r\nSeal: s\r\n A: x"
      "\r\n\r\nwhole" },
    { "NulInValue", MakeResponseBytes(kOk, "A: x\0y\r\n"s) },
    { "ControlByteInValue", MakeResponseBytes(kOk, "A: x\x01y\r\n") },
    { "CarriageReturnInValue", MakeResponseBytes(kOk, "A: x\ry\r\n") },
    { "TwoLengths", MakeResponseBytes(kOk, "Content-Length: 4\r\n") },
    { "LengthAndChunks",
      MakeResponseBytes(kOk, "Transfer-Encoding: chunked\r\n") },
    { "BlankInNameOfInterimResponse",
      "HTTP/1.1 103 Early Hints\r\nA B: x\r\n\r\n" + valid },
    { "BlankBeforeLineOfInterimResponse",
      "HTTP/1.1 103 Early Hints\r\nX: y\r\n A: x\r\n\r\n" + valid },
    { "BlankInNameOfTrailer",
      "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked"
      "\r\n\r\n5\r\nwhole\r\n0\r\nA B: x\r\n\r\n" },
    { "BlankBeforeLineOfTrailer",
      "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked"
      "\r\n\r\n5\r\nwhole\r\n0\r\nX: y\r\n A: x\r\n\r\n" },
  };
}

} // namespace wagtailbend::http1::testing
