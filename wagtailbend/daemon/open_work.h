// Keeps shared objects alive for attempts that outlive their request, such as
// the cancelled one of two hedged attempts.
//
//   OpenWork open;
//   auto done = [hold = open.Enter()] { ... };

#pragma once

#include <atomic>
#include <chrono>
#include <thread>
#include <utility>

namespace wagtailbend::daemon {

/// Thread-safe. The destructor waits for all holds, so declare it after what
/// the work uses.
class OpenWork
{
public:
  /// A share of the open work; copies are shares of their own.
  class Hold
  {
  public:
    Hold() = default;
    explicit Hold(OpenWork& aWork)
      : m_work(&aWork)
    {
      m_work->m_count.fetch_add(1);
    }
    Hold(const Hold& aOther)
      : m_work(aOther.m_work)
    {
      if (m_work) {
        m_work->m_count.fetch_add(1);
      }
    }
    Hold(Hold&& aOther) noexcept
      : m_work(std::exchange(aOther.m_work, nullptr))
    {
    }
    Hold& operator=(Hold aOther) noexcept
    {
      std::swap(m_work, aOther.m_work);
      return *this;
    }
    ~Hold()
    {
      if (m_work) {
        m_work->m_count.fetch_sub(1);
      }
    }

  private:
    OpenWork* m_work = nullptr;
  };

  OpenWork() = default;
  OpenWork(const OpenWork&) = delete;
  OpenWork& operator=(const OpenWork&) = delete;
  ~OpenWork()
  {
    // Only while the process stops, for the time that a cancellation takes.
    while (m_count.load() > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  Hold Enter() { return Hold(*this); }

private:
  std::atomic<int> m_count{ 0 };
};

} // namespace wagtailbend::daemon
