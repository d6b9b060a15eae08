#include "wagtailbend/observability/bounded_log.h"

#include <algorithm>
#include <utility>

#include <poll.h>
#include <unistd.h>

#include <fmt/format.h>
#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include "wagtailbend/observability/event_log.h"

namespace wagtailbend::observability {
namespace {

// PIPE_BUF on Linux: a pipe that poll() reports as writable accepts this many
// bytes without blocking.
constexpr size_t kPipeBufferBytes = 4096;

/// Formats log events and appends them to a BoundedLog.
class BoundedAppender : public log4cplus::Appender
{
public:
  explicit BoundedAppender(BoundedLog& aLog)
    : m_log(aLog)
  {
  }
  ~BoundedAppender() override { destructorImpl(); }
  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    m_log.Append(formatEvent(aEvent));
  }

private:
  BoundedLog& m_log;
};

} // namespace

BoundedLog::BoundedLog(size_t aMaxBytes, int aDescriptor)
  : m_maxBytes(aMaxBytes)
  , m_descriptor(aDescriptor)
{
}

BoundedLog::~BoundedLog()
{
  if (m_attached) {
    StopLogging();
  }
}

void
BoundedLog::Attach(std::string_view aLevel)
{
  StartLogging(aLevel);
  log4cplus::SharedAppenderPtr appender(new BoundedAppender(*this));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
    LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%qZ} %m%n")));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  m_attached = true;
}

void
BoundedLog::Append(std::string_view aLine)
{
  const std::lock_guard lock(m_mutex);
  if (m_pendingLines.size() + aLine.size() > m_maxBytes) {
    ++m_dropped;
    return;
  }
  m_pendingLines.append(aLine);
}

void
BoundedLog::Flush()
{
  {
    // A partly written buffer is finished before new lines are taken.
    const std::lock_guard lock(m_mutex);
    if (m_writeBuffer.empty()) {
      m_writeBuffer = std::exchange(m_pendingLines, {});
      if (m_dropped > m_reportedDropped) {
        m_writeBuffer +=
          fmt::format("level=warn event=log_lines_dropped count={}\n",
                      m_dropped - m_reportedDropped);
        m_reportedDropped = m_dropped;
      }
    }
  }
  size_t written = 0;
  while (written < m_writeBuffer.size()) {
    pollfd pollRequest{ m_descriptor, POLLOUT, 0 };
    if (poll(&pollRequest, 1, 0) != 1 || (pollRequest.revents & POLLOUT) == 0) {
      break;
    }
    const ssize_t count =
      write(m_descriptor,
            m_writeBuffer.data() + written,
            std::min(kPipeBufferBytes, m_writeBuffer.size() - written));
    if (count <= 0) {
      break;
    }
    written += static_cast<size_t>(count);
  }
  m_writeBuffer.erase(0, written);
}

uint64_t
BoundedLog::DroppedLines() const
{
  const std::lock_guard lock(m_mutex);
  return m_dropped;
}

} // namespace wagtailbend::observability
