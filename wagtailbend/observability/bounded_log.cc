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

// A pipe that poll calls writable takes this many bytes without blocking.
constexpr size_t kAtomicWrite = 4096;

/// Formats events into a BoundedLog.
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

BoundedLog::BoundedLog(size_t aMaxBytes, int aOut)
  : m_maxBytes(aMaxBytes)
  , m_out(aOut)
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
  if (m_pending.size() + aLine.size() > m_maxBytes) {
    ++m_dropped;
    return;
  }
  m_pending.append(aLine);
}

void
BoundedLog::Flush()
{
  {
    const std::lock_guard lock(m_mutex);
    if (m_writing.empty()) {
      m_writing = std::exchange(m_pending, {});
      if (m_dropped > m_reported) {
        m_writing +=
          fmt::format("level=warn event=log_lines_dropped count={}\n",
                      m_dropped - m_reported);
        m_reported = m_dropped;
      }
    }
  }
  size_t written = 0;
  while (written < m_writing.size()) {
    pollfd writable{ m_out, POLLOUT, 0 };
    if (poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0) {
      break;
    }
    const ssize_t count =
      write(m_out,
            m_writing.data() + written,
            std::min(kAtomicWrite, m_writing.size() - written));
    if (count <= 0) {
      break;
    }
    written += static_cast<size_t>(count);
  }
  m_writing.erase(0, written);
}

uint64_t
BoundedLog::Dropped() const
{
  const std::lock_guard lock(m_mutex);
  return m_dropped;
}

} // namespace wagtailbend::observability
