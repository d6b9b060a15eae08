// The record of a case: lines with the time since the start, in the order in
// which they were written.
//
//   Record record("record.txt");
//   record.Add("client 3 sent a1b2");

#pragma once

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

#include "review/common/connection.h"

namespace wagtailbend::review {

/// Thread-safe.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : m_file(aPath)
    , m_start(Clock::now())
  {
  }

  void Add(const std::string& aLine)
  {
    const std::lock_guard lock(m_mutex);
    m_file << MillisecondsSinceStart() << " ms " << aLine << std::endl;
  }
  int64_t MillisecondsSinceStart() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                                 m_start)
      .count();
  }

private:
  std::ofstream m_file;
  const Clock::time_point m_start;
  std::mutex m_mutex;
};

} // namespace wagtailbend::review
