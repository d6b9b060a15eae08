// A client that downloads one response and reads it at a steady rate.
//
//   Download download = ReadSteadily(connection, request, rate, deadlineMs);
//   if (!download.IsComplete()) { ... }

#pragma once

#include <cstddef>
#include <string>

#include "review/common/connection.h"

namespace wagtailbend::review {

enum class DownloadEnd : uint8_t
{
  kComplete,
  /// The daemon closed or reset the connection.
  kConnectionEnded,
  kDeadline,
  kNotSent,
};

/// Returns a short name for the record.
const char*
ToString(DownloadEnd aEnd);

struct Download
{
  DownloadEnd end = DownloadEnd::kNotSent;
  /// 0: no head of a response came.
  int status = 0;
  size_t bodyBytes = 0;
  size_t receivedBytes = 0;

  std::string Describe() const;
};

/// Sends aRequest and reads its response with at most aBytesPerSecond. Gives up
/// after aDeadlineMs.
Download
ReadSteadily(Connection& aConnection,
             const std::string& aRequest,
             double aBytesPerSecond,
             int aDeadlineMs);

} // namespace wagtailbend::review
