// Bytes that are no response by RFC 9112 and RFC 9110, for tests of everything
// that reads responses.
//
//   INSTANTIATE_TEST_SUITE_P(Table, MyTest,
//                            ::testing::ValuesIn(InvalidStatuses()));
//
// "{id}" stands for the value of the request's Id header, see ScriptedServer.

#pragma once

#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailbend::http1::testing {

struct BrokenResponse
{
  std::string name;
  std::string bytes;
};

inline constexpr std::string_view kDefaultBody = "whole";

/// Returns a response with this status line and these header lines in front of
/// its own.
inline std::string
MakeResponseBytes(std::string_view aBody,
                  std::string_view aStatusLine,
                  std::string_view aHeaderLines = "")
{
  return std::string(aStatusLine) + "\r\n" + std::string(aHeaderLines) +
         "Id: {id}\r\nSeal: s\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + std::string(aBody);
}

/// Returns a response in one chunk with these header and trailer lines.
inline std::string
MakeChunkedResponseBytes(std::string_view aBody,
                         std::string_view aHeaderLines,
                         std::string_view aTrailerLines = "")
{
  char size[2 * sizeof(size_t) + 1];
  std::snprintf(size, sizeof(size), "%zx", aBody.size());
  return "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\n" +
         std::string(aHeaderLines) + "\r\n" + size + "\r\n" +
         std::string(aBody) + "\r\n0\r\n" + std::string(aTrailerLines) + "\r\n";
}

/// Responses whose status line is malformed or whose status code is none.
inline std::vector<BrokenResponse>
InvalidStatuses(std::string_view aBody = kDefaultBody)
{
  const auto with = [aBody](std::string_view aStatusLine) {
    return MakeResponseBytes(aBody, aStatusLine);
  };
  return {
    { "Zero", with("HTTP/1.1 000 Nothing") },
    { "One", with("HTTP/1.1 001 Nothing") },
    { "JustBelowTheRange", with("HTTP/1.1 099 Nothing") },
    { "JustAboveTheRange", with("HTTP/1.1 600 Nothing") },
    { "Highest", with("HTTP/1.1 999 Nothing") },
    { "TwoDigits", with("HTTP/1.1 20 OK") },
    { "FourDigits", with("HTTP/1.1 2000 OK") },
    { "Letter", with("HTTP/1.1 2x0 OK") },
    { "Negative", with("HTTP/1.1 -20 OK") },
    { "None", with("HTTP/1.1  OK") },
    { "OtherVersion", with("HTTP/2.0 200 OK") },
    { "OtherProtocol", with("ICY 200 OK") },
    { "ControlByteInReason", with("HTTP/1.1 200 O\x01K") },
    { "ZeroBeforeAResponse",
      "HTTP/1.1 000 Nothing\r\n\r\n" + with("HTTP/1.1 200 OK") },
  };
}

/// Responses with a header line that RFC 9112 doesn't allow.
inline std::vector<BrokenResponse>
InvalidHeaderLines(std::string_view aBody = kDefaultBody)
{
  using std::string_literals::operator""s;
  const auto with = [aBody](std::string_view aHeaderLines) {
    return MakeResponseBytes(aBody, "HTTP/1.1 200 OK", aHeaderLines);
  };
  const std::string valid = with("");
  return {
    { "BlankInName", with("A B: x\r\n") },
    { "TabInName", with("A\tB: x\r\n") },
    { "NulInName", with("A\0B: x\r\n"s) },
    { "ControlByteInName", with("A\x01: x\r\n") },
    { "DeleteInName", with("A\x7f: x\r\n") },
    { "LineFeedInName", with("A\nB: x\r\n") },
    { "NonAsciiName", with("A\xe9: x\r\n") },
    { "BlankBeforeColon", with("A : x\r\n") },
    { "TabBeforeColon", with("A\t: x\r\n") },
    { "NoName", with(": x\r\n") },
    { "NoColon", with("A\r\n") },
    { "BlankBeforeFirstLine", with(" A: x\r\n") },
    { "BlankBeforeLine", with("X: y\r\n A: x\r\n") },
    { "TabBeforeLine", with("X: y\r\n\tA: x\r\n") },
    { "BlankBeforeLineAfterEmptyValue", with("X:\r\n A: x\r\n") },
    { "LineOfBlanks", with("X: y\r\n \r\n") },
    { "BlankBeforeLength",
      "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\n Content-Length: " +
        std::to_string(aBody.size()) + "\r\n\r\n" + std::string(aBody) },
    { "BlankBeforeTransferEncoding",
      MakeChunkedResponseBytes(aBody, " Transfer-Encoding: chunked\r\n") },
    { "BlankBeforeLastLine",
      MakeChunkedResponseBytes(aBody,
                               "Transfer-Encoding: chunked\r\n A: x\r\n") },
    { "NulInValue", with("A: x\0y\r\n"s) },
    { "ControlByteInValue", with("A: x\x01y\r\n") },
    { "CarriageReturnInValue", with("A: x\ry\r\n") },
    { "TwoLengths", with("Content-Length: 4\r\n") },
    { "LengthAndChunks", with("Transfer-Encoding: chunked\r\n") },
    { "BlankInNameOfInterimResponse",
      "HTTP/1.1 103 Early Hints\r\nA B: x\r\n\r\n" + valid },
    { "BlankBeforeLineOfInterimResponse",
      "HTTP/1.1 103 Early Hints\r\nX: y\r\n A: x\r\n\r\n" + valid },
    { "BlankInNameOfTrailer",
      MakeChunkedResponseBytes(
        aBody, "Transfer-Encoding: chunked\r\n", "A B: x\r\n") },
    { "BlankBeforeLineOfTrailer",
      MakeChunkedResponseBytes(
        aBody, "Transfer-Encoding: chunked\r\n", "X: y\r\n A: x\r\n") },
  };
}

} // namespace wagtailbend::http1::testing
