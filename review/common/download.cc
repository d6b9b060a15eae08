#include "review/common/download.h"

#include <thread>

namespace wagtailbend::review {
namespace {

constexpr size_t kReadBytes = 16UL * 1024;

} // namespace

const char*
ToString(DownloadEnd aEnd)
{
  switch (aEnd) {
    case DownloadEnd::kComplete:
      return "complete";
    case DownloadEnd::kConnectionEnded:
      return "connection ended by the daemon";
    case DownloadEnd::kDeadline:
      return "deadline of the client";
    case DownloadEnd::kNotSent:
      return "not sent";
  }
  return "";
}

std::string
Download::Describe() const
{
  return std::string(ToString(end)) + ", status " + std::to_string(status) +
         ", " + std::to_string(receivedBytes) + " of " +
         std::to_string(bodyBytes) + " bytes";
}

Download
ReadSteadily(Connection& aConnection,
             const std::string& aRequest,
             double aBytesPerSecond,
             int aDeadlineMs)
{
  Download download;
  if (!aConnection.IsOpen() || !aConnection.SendAll(aRequest)) {
    return download;
  }
  const auto end = Clock::now() + std::chrono::milliseconds(aDeadlineMs);
  const auto head = aConnection.ReadHead(end);
  const auto begin = Clock::now();
  if (head) {
    download.status = head->Status();
    download.bodyBytes = head->ContentLength();
  }
  while (head && download.receivedBytes < download.bodyBytes) {
    const size_t count = aConnection.Skip(kReadBytes, end);
    if (count == 0) {
      break;
    }
    download.receivedBytes += count;
    std::this_thread::sleep_until(
      begin +
      std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(
        static_cast<double>(download.receivedBytes) / aBytesPerSecond)));
  }
  download.end = head && download.receivedBytes >= download.bodyBytes
                   ? DownloadEnd::kComplete
                 : aConnection.HasEnded() ? DownloadEnd::kConnectionEnded
                                          : DownloadEnd::kDeadline;
  return download;
}

} // namespace wagtailbend::review
