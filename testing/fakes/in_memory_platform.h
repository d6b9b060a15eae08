// An in-memory platform with switchable faults, for tests of other modules.
//
//   InMemoryPlatform platform;
//   platform.SetFaults({ .kind = FaultKind::kReplyLost,
//                        .operations = { Operation::kTransact } });
//   platform.Transact(request); // applied, but the result is Unknown

#pragma once

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>

#include "wagtailbend/base/time.h"
#include "wagtailbend/store/platform.h"

namespace wagtailbend::testing_fakes {

enum class Operation : uint8_t
{
  kTransact,
  kReadRow,
  kListRows,
  kPutObject,
  kGetObject,
};

inline constexpr size_t kOperationCount = 5;

enum class FaultKind : uint8_t
{
  kNone,
  /// Fails without effect; writes are Refused.
  kDown,
  /// Takes effect, then the reply is lost; writes are Unknown.
  kReplyLost,
  /// Lost before it takes effect; writes are Unknown.
  kRequestLost,
};

/// Returns "none", "down", "reply-lost" or "request-lost".
std::string
FaultKindName(FaultKind aKind);
std::optional<FaultKind>
FaultKindFromName(const std::string& aName);
/// Returns "transact", "read", "list", "put" or "get".
std::string
OperationName(Operation aOperation);
std::optional<Operation>
OperationFromName(const std::string& aName);

/// Which operations fail, and how.
struct Faults
{
  FaultKind kind = FaultKind::kNone;
  /// Added to each matching operation before it takes effect.
  Duration delay{};
  /// Operations concerned; empty: all.
  std::set<Operation> operations{};
  /// Matching operations that pass unharmed after SetFaults.
  uint32_t skip = 0;
  /// After that, only every nth matching operation is concerned.
  uint32_t everyNth = 1;
  /// Number of operations concerned; 0: no limit.
  uint32_t limit = 0;

  bool operator==(const Faults&) const = default;
};

/// All methods are thread-safe. A delayed operation does not block others.
class InMemoryPlatform : public store::Platform
{
public:
  using Sleep = std::function<void(Duration)>;

  /// aSleep implements Faults::delay; the default blocks the thread.
  explicit InMemoryPlatform(Sleep aSleep = nullptr);

  /// Replaces the faults and restarts their counters.
  void SetFaults(Faults aFaults);

  /// Keeps a copy of all rows for Restore.
  void TakeBackup();
  /// Goes back to the rows and the version of the copy.
  void Restore();

  /// Operations received so far, failed ones included.
  uint64_t Count(Operation aOperation) const;
  uint64_t TotalCount() const;

  store::TransactResult Transact(
    const store::TransactRequest& aRequest) override;
  Result<std::optional<store::Row>> ReadRow(const std::string& aTable,
                                            const std::string& aKey) override;
  Result<std::vector<store::Row>> ListRows(const std::string& aTable,
                                           const std::string& aPrefix) override;
  store::PutResult PutObject(const std::string& aKey,
                             const std::string& aBytes) override;
  Result<std::optional<std::string>> GetObject(
    const std::string& aKey) override;
  uint64_t Generation() const override;

private:
  /// Counts the operation, waits for the delay, returns the fault to apply.
  FaultKind Begin(Operation aOperation);
  store::TransactResult Apply(const store::TransactRequest& aRequest);

  const Sleep m_sleep;
  mutable std::mutex m_mutex;
  Faults m_faults;
  uint32_t m_matching = 0;
  uint32_t m_concerned = 0;
  std::array<uint64_t, kOperationCount> m_counts{};
  uint64_t m_lastVersion = 0;
  std::map<std::pair<std::string, std::string>, store::Row> m_rows;
  std::map<std::pair<std::string, std::string>, store::Row> m_backupRows;
  uint64_t m_backupVersion = 0;
  uint64_t m_generation = 1;
  /// Generation of the last operation.
  uint64_t m_seenGeneration = 0;
  std::map<std::string, std::string> m_objects;
};

} // namespace wagtailbend::testing_fakes
