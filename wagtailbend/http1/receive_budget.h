// Limits the memory that the responses of several connections may use while
// they are being received.
//
//   auto budget = std::make_shared<ReceiveBudget>(10 << 20);
//   ReceiveReservation reservation(budget);
//   if (!reservation.Grow(received.bytes.size())) { /* close the connection */
//   }

#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace wagtailbend::http1 {

/// Shared by its reservations. Not thread-safe.
class ReceiveBudget
{
public:
  /// aLimitBytes bounds the sum of what the reservations hold above
  /// kFreeBytes each.
  explicit ReceiveBudget(size_t aLimitBytes)
    : m_limitBytes(aLimitBytes)
  {
  }

  /// Not counted, so that a short response is received even while long ones
  /// have used up the budget.
  static constexpr size_t kFreeBytes = 64UL * 1024;

  size_t UsedBytes() const { return m_usedBytes; }

private:
  friend class ReceiveReservation;

  const size_t m_limitBytes;
  size_t m_usedBytes = 0;
};

/// The share of one response in a budget. Not thread-safe.
class ReceiveReservation
{
public:
  /// aBudget may be null, which means no limit.
  explicit ReceiveReservation(std::shared_ptr<ReceiveBudget> aBudget)
    : m_budget(std::move(aBudget))
  {
  }
  ~ReceiveReservation() { Release(); }
  ReceiveReservation(const ReceiveReservation&) = delete;
  ReceiveReservation& operator=(const ReceiveReservation&) = delete;

  /// Adds received bytes. Returns false if the budget does not allow them; they
  /// are then not added.
  bool Grow(size_t aBytes)
  {
    const size_t counted = CountedBytes(m_bytes + aBytes);
    const size_t added = counted - CountedBytes(m_bytes);
    if (m_budget != nullptr) {
      if (m_budget->m_usedBytes + added > m_budget->m_limitBytes) {
        return false;
      }
      m_budget->m_usedBytes += added;
    }
    m_bytes += aBytes;
    return true;
  }

  /// Returns the bytes to the budget.
  void Release()
  {
    if (m_budget != nullptr) {
      m_budget->m_usedBytes -= CountedBytes(m_bytes);
    }
    m_bytes = 0;
  }

  /// Bytes added since the construction or the last Release.
  size_t Bytes() const { return m_bytes; }

private:
  static size_t CountedBytes(size_t aBytes)
  {
    return aBytes > ReceiveBudget::kFreeBytes
             ? aBytes - ReceiveBudget::kFreeBytes
             : 0;
  }

  const std::shared_ptr<ReceiveBudget> m_budget;
  size_t m_bytes = 0;
};

} // namespace wagtailbend::http1
