#include "wagtailbend/observability/event_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <array>
#include <memory>

namespace wagtailbend::observability {
namespace {

struct LevelMapping
{
  LogLevel level;
  std::string_view name;
  log4cplus::LogLevel log4cplusLevel;
};

constexpr std::array<LevelMapping, 4> kLevelMappings = { {
  { LogLevel::kDebug, "debug", log4cplus::DEBUG_LOG_LEVEL },
  { LogLevel::kInfo, "info", log4cplus::INFO_LOG_LEVEL },
  { LogLevel::kWarn, "warn", log4cplus::WARN_LOG_LEVEL },
  { LogLevel::kError, "error", log4cplus::ERROR_LOG_LEVEL },
} };

std::unique_ptr<log4cplus::Initializer> gInitializer;

bool
NeedsQuotes(std::string_view aValue)
{
  if (aValue.empty()) {
    return true;
  }
  for (const unsigned char byte : aValue) {
    if (byte <= ' ' || byte == '"' || byte == '=' || byte == '\\' ||
        byte == 0x7f) {
      return true;
    }
  }
  return false;
}

void
AppendQuoted(std::string& aLine, std::string_view aValue)
{
  aLine += '"';
  for (const char character : aValue) {
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      aLine += '\\';
      aLine += character;
    } else if (byte < ' ' || byte == 0x7f) {
      aLine += fmt::format("\\x{:02x}", byte);
    } else {
      aLine += character;
    }
  }
  aLine += '"';
}

} // namespace

void
StartLogging(std::string_view aLevel)
{
  gInitializer = std::make_unique<log4cplus::Initializer>();
  log4cplus::SharedAppenderPtr appender(
    new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
    LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%qZ} %m%n")));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.addAppender(appender);
  for (const LevelMapping& mapping : kLevelMappings) {
    if (mapping.name == aLevel) {
      root.setLogLevel(mapping.log4cplusLevel);
    }
  }
}

void
StopLogging()
{
  gInitializer.reset();
}

Event::Event(std::string_view aName)
  : m_line(fmt::format("event={}", aName))
{
}

void
Event::AddText(std::string_view aKey, std::string_view aValue)
{
  m_line += ' ';
  m_line += aKey;
  m_line += '=';
  if (NeedsQuotes(aValue)) {
    AppendQuoted(m_line, aValue);
    return;
  }
  m_line += aValue;
}

void
Event::Write(LogLevel aLevel) const
{
  if (!gInitializer) {
    return;
  }
  const LevelMapping& mapping = kLevelMappings[static_cast<size_t>(aLevel)];
  const log4cplus::Logger root = log4cplus::Logger::getRoot();
  if (!root.isEnabledFor(mapping.log4cplusLevel)) {
    return;
  }
  root.forcedLog(mapping.log4cplusLevel,
                 fmt::format("level={} {}", mapping.name, m_line));
}

} // namespace wagtailbend::observability
